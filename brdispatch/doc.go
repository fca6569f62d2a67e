// Package brdispatch sends requests to endpoints at most once and reads their
// streams completely.
//
// A dispatch dials its own connection, calls the boundary hook, and performs one
// HTTP exchange on that connection. Before the hook returns nothing was sent and
// the outcome is not_run; afterwards the outcome is unknown until the endpoint
// answers. No code here sends a dispatch a second time: net/http's transport,
// which retries on reused connections, is not involved. A stream that stops is
// continued with a resume on a new connection, which is not a dispatch.
package brdispatch
