// Package brdispatch sends requests to endpoints at most once and reads their
// complete responses.
//
// A dispatch opens its own connection, calls the Boundary hook, and performs one
// HTTP exchange on the connection. Until the hook returns, nothing is sent and the
// outcome is not_run; afterwards the outcome is unknown until the endpoint responds.
// A dispatch is never repeated: the package doesn't use http.Transport, which retries
// requests on reused connections. If a stream breaks off, the client resumes it on a
// new connection, which is not a dispatch.
package brdispatch
