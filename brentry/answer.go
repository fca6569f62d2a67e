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
	// retryJitter spreads callers that were refused together.
	retryJitter = 0.25
)

// errorBody returns what a caller is told about err.
func (e *Entry) errorBody(requestID string, err error) (brengine.Error, brerror.Response) {
	be := brerror.From(err)
	a := be.Kind.Response()
	body := brengine.ErrorBody{Kind: a.Name, Message: be.Message, Field: be.Field, Outcome: a.Outcome.String(),
		RequestID: requestID, EntryID: be.EntryID, EndpointAddress: be.EndpointAddress}
	if a.Retry {
		body.RetryAfterMS = e.jitter(cmp.Or(be.RetryAfter, defaultRetryAfter)).Milliseconds()
	}
	return brengine.Error{Error: body}, a
}

func (e *Entry) jitter(d time.Duration) time.Duration {
	random := e.Random
	if random == nil {
		random = rand.Float64
	}
	return max(time.Millisecond, time.Duration(float64(d)*(1+retryJitter*(2*random()-1))))
}

// writeError answers with the row of the error table for err.
func (e *Entry) writeError(w http.ResponseWriter, requestID string, err error) {
	body, a := e.errorBody(requestID, err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(brengine.HeaderEntry, e.config.EntryID)
	if requestID != "" {
		h.Set(brengine.HeaderRequestID, requestID)
	}
	if a.Retry {
		seconds := (body.Error.RetryAfterMS + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(body)
}
