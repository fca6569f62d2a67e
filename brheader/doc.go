// Package brheader selects the header fields that may be forwarded with an HTTP
// message.
package brheader
