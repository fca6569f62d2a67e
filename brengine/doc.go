// Package brengine defines the HTTP interface of model engines and the
// completion body that callers use: the JSON bodies, the server-sent event
// stream and the orders. It follows the usual completion interface of such
// engines, with an offset in each chunk so that a stream can be resumed.
package brengine
