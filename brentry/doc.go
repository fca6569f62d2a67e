// Package brentry implements the entry role, which serves callers. An entry
// decodes and admits a request, holds it until the pool's scheduler grants a
// dispatch, dispatches it once and forwards the complete response. It
// communicates with the other roles only through function fields and the methods
// of Entry, so that tests and other programs can run it without a network.
package brentry
