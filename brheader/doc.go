// Package brheader reads the headers of HTTP responses, with a limit on their size and with
// the errors of the connection kept, and tells a complete body from one that broke off. It
// selects the header fields that may be forwarded and interprets those that state a pause or
// a limit.
package brheader
