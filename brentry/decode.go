package brentry

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brconfig"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
)

const (
	// defaultMaxTokens is the token limit that brconfig documents for routes without
	// one.
	defaultMaxTokens = 4096
	maxNameLength    = 256 // bytes in the name of a model or a route
)

const (
	// bodyTime and bodyRate limit the time in which a body must have arrived: bodyTime, and
	// longer for large ones.
	bodyTime = 30 * time.Second
	bodyRate = 1 << 20 // bytes a second
	// decodeCost is the memory that a decoded request takes besides its body, as a multiple
	// of it: the decoded text and the body for the endpoint.
	decodeCost = 2
)

// readBody returns the request body, which the caller must release, and its bytes. It
// returns an error of kind too_large if the body is longer than Config.MaxBody.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) (*brbuffer.Body, []byte, error) {
	limit := e.config.MaxBody
	deadline := e.clock.Now().Add(bodyTime + time.Duration(limit/bodyRate)*time.Second)
	body, err := e.config.Buffers.Read(w, r, brbuffer.Options{Limit: limit, Deadline: deadline, Stop: e.ended})
	if err != nil {
		return nil, nil, bodyError(err, limit)
	}
	b, err := body.Bytes()
	if err == nil {
		err = body.Reserve(decodeCost * len(b))
	}
	if err != nil {
		body.Release()
		return nil, nil, bodyError(err, limit)
	}
	return body, b, nil
}

// bodyError returns the error for the caller for one of brbuffer.
func bodyError(err error, limit int64) error {
	switch {
	case errors.Is(err, brbuffer.ErrTooLarge):
		return brerror.New(brerror.TooLarge, "body exceeds the limit of %d bytes", limit).WithField("body")
	case errors.Is(err, brbuffer.ErrNoRoom):
		return brerror.New(brerror.Overloaded, "unfinished requests are too large").WithRetryAfter(brbuffer.RetryAfter)
	case errors.Is(err, brbuffer.ErrStopped):
		return brerror.New(brerror.ShuttingDown, "entry is shutting down")
	default:
		return brerror.New(brerror.InvalidRequest, "read body: %w", err).WithField("body")
	}
}

// decodeCompletion parses and validates a completion request. It rejects unknown
// fields: they aren't forwarded to the engine, so the response would silently ignore
// them.
func decodeCompletion(body []byte) (brengine.Completion, error) {
	var c brengine.Completion
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return c, brerror.New(brerror.InvalidRequest, "unexpected data after the JSON object").WithField("body")
	}
	for _, f := range []struct {
		name, value string
		limit       int
	}{{"model", c.Model, maxNameLength}, {"route", c.Route, maxNameLength}} {
		if len(f.value) > f.limit {
			return c, brerror.New(brerror.InvalidRequest, "must not be longer than %d bytes", f.limit).WithField(f.name)
		}
	}
	if c.Model == "" && c.Route == "" {
		return c, brerror.New(brerror.InvalidRequest, "must be set if no route is given").WithField("model")
	}
	if strings.TrimSpace(c.Prompt) == "" {
		return c, brerror.New(brerror.InvalidRequest, "must not be empty").WithField("prompt")
	}
	if c.MaxTokens < 0 {
		return c, brerror.New(brerror.InvalidRequest, "must not be negative").WithField("max_tokens")
	}
	return c, nil
}

// decodeError returns an invalid_request error for a JSON error, with the offending
// field, or "body" if it is unknown.
func decodeError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) && te.Field != "" {
		return brerror.New(brerror.InvalidRequest, "must not be a JSON %s", te.Value).WithField(te.Field)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name, uerr := strconv.Unquote(field)
		if uerr != nil || name == "" || len(name) > maxNameLength {
			name = "body"
		}
		return brerror.New(brerror.InvalidRequest, "unknown field").WithField(name)
	}
	return brerror.New(brerror.InvalidRequest, "%w", err).WithField("body")
}

// limitTokens sets c's default token limit. It returns an error if c asks for more
// tokens than the route allows.
func limitTokens(c brengine.Completion, r brconfig.Route) (brengine.Completion, error) {
	limit := cmp.Or(r.MaxTokens, defaultMaxTokens)
	if c.MaxTokens > limit {
		return c, brerror.New(brerror.InvalidRequest, "%d exceeds the route's limit of %d", c.MaxTokens, limit).WithField("max_tokens")
	}
	c.MaxTokens = cmp.Or(c.MaxTokens, limit)
	return c, nil
}

// bearerKey returns the bearer key in the Authorization header.
func bearerKey(r *http.Request) (string, error) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", brerror.New(brerror.Unauthorized, "bearer key is missing").WithField("Authorization")
	}
	return key, nil
}
