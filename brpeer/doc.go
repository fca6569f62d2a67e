// Package brpeer connects the system's processes by WebSocket links that carry
// CBOR messages. Both ends of a link can call and push; handlers are generic
// over the message types. A link that goes silent is closed after IdleTimeout,
// so that a connection forgotten by something between the two ends is noticed.
package brpeer
