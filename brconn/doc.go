// Package brconn sends HTTP requests to endpoints over pooled persistent
// connections, each request at most once.
//
// A Pool never retries a request. An error of Send tells whether the request may
// have reached the endpoint. It can't have if the dial failed; an idle connection
// found closed before the first byte is written is replaced without an error.
// Responses are matched to requests by the ID that the endpoint echoes, so that a
// late or excess response is discarded. A connection is reused only after a complete
// exchange, and not after a refusal that names no request.
package brconn
