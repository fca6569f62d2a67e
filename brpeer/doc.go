// Package brpeer connects the processes of the system by WebSocket links that carry
// CBOR messages. Both ends of a link can send calls, which get a reply, and pushes,
// which don't. Handlers are generic over the message types. A connection without any
// frame for IdleTimeout is closed, which detects connections that a device between
// the two ends has dropped.
package brpeer
