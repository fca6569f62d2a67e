// Package brheader has what all forwarders of HTTP messages need to know about
// header fields.
package brheader
