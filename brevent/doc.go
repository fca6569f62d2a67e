// Package brevent parses event streams of HTTP responses (media type
// text/event-stream, WHATWG HTML, section 9.2) without changing or interpreting their
// events. It finds where events end and decides whether a stream that ended is
// complete.
package brevent
