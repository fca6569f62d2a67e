// Package brserver is an HTTP server that closes a connection only after everything that
// has arrived on it was read.
//
// The server of net/http ends a connection from several places: its shutdown closes idle
// connections from another goroutine, so that a request whose bytes wait in the socket, or
// whose header is being read, ends without a response; its header timeout of the first
// request counts from the accept, so that a connection that is opened early and used later
// is closed under its request; and its limits can't change while it runs.
//
// Here State, a reducer without I/O, decides on the life of a connection, and only the
// goroutine that reads the connection carries out the decision: it reads once more without
// blocking, and closes the connection only if nothing has arrived. Whatever arrives before
// that is served. A request that crosses the close on its way isn't read, and the caller
// can send it again.
//
// Limits are taken from the function Config.Limits whenever they are needed, so that a
// kept connection follows a change.
package brserver
