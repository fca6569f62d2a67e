package brproxy

import (
	"context"
	"mime"
	"net/http"

	"bramleyroute/brconn"
	"bramleyroute/brplace"
)

// streamHead is what the responses that make up one stream have in common.
type streamHead struct {
	status    int
	mediaType string
	encoding  string
}

func streamHeadOf(res *brconn.Response) streamHead {
	// A media type with malformed parameters is returned without them.
	mediaType, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return streamHead{res.Status, mediaType, res.Header.Get("Content-Encoding")}
}

// notResumed handles a response that doesn't go on with the stream: it sends the request
// to another endpoint, or ends it without a byte of the response.
func (p *Proxy) notResumed(ctx context.Context, q *request, a *attempt, reason string) outcome {
	a.result = brplace.Failed
	return p.retry(ctx, q, a, reason, http.StatusBadGateway)
}
