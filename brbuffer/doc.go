// Package brbuffer limits the memory that a process holds for the requests of callers: their
// bodies, from the first byte until the request has ended, and large headers.
//
// Each request has a limit of its own, but many callers may send up to it and never end.
// State, a reducer without I/O, decides who gives way when all of them together reach the
// limit: the largest that makes no progress, then the largest that has been sent for long, and
// if there is neither, the one that asks. A request that has arrived completely may be at work
// at an endpoint and never gives way.
//
// Budget carries the decisions out. Read reads a body into segments, each of which is reserved
// before it is allocated and is allocated only when the bytes before it have arrived, so that
// a stated length costs nothing.
package brbuffer
