// Package brheader interprets header fields of HTTP messages: it selects those that may
// be forwarded and reads Retry-After.
package brheader
