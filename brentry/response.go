package brentry

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
)

const (
	defaultRetryAfter = time.Second
	// retryJitter is the largest relative change of a retry delay. It spreads the
	// retries of callers that were refused at the same time.
	retryJitter = 0.25
)

// errorBody returns the response body for err and the entry of the error table
// that it is based on. The retry delay in the body has jitter.
func (e *Entry) errorBody(requestID string, err error) (brengine.Error, brerror.Response) {
	be := brerror.From(err)
	resp := be.Kind.Response()
	body := brengine.ErrorBody{Kind: resp.Name, Message: be.Message, Field: be.Field, Outcome: resp.Outcome.String(),
		RequestID: requestID, EntryID: be.EntryID, EndpointAddress: be.EndpointAddress}
	if resp.Retry {
		body.RetryAfterMS = e.jitter(cmp.Or(be.RetryAfter, defaultRetryAfter)).Milliseconds()
	}
	return brengine.Error{Error: body}, resp
}

// jitter returns d changed at random by a fraction of at most retryJitter, and at
// least one millisecond.
func (e *Entry) jitter(d time.Duration) time.Duration {
	random := e.Random
	if random == nil {
		random = rand.Float64
	}
	return max(time.Millisecond, time.Duration(float64(d)*(1+retryJitter*(2*random()-1))))
}

// writeError writes the error response for err. The request ID header is omitted
// if requestID is empty.
func (e *Entry) writeError(w http.ResponseWriter, requestID string, err error) {
	body, resp := e.errorBody(requestID, err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(brengine.HeaderEntry, e.config.EntryID)
	if requestID != "" {
		h.Set(brengine.HeaderRequestID, requestID)
	}
	if resp.Retry {
		seconds := (body.Error.RetryAfterMS + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(resp.Status)
	_ = json.NewEncoder(w).Encode(body)
}
