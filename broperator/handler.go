package broperator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
)

// maxBody limits the body of an operator's request, in bytes. A configuration
// of 860 customers is well below 1 MiB.
const maxBody = 8 << 20

// Handle registers f for a pattern of http.ServeMux such as "PUT /v1/config".
// Bodies are decoded strictly: an unknown field is an error that names the
// field. The kind of an error of package brerror determines the HTTP status.
func Handle[Req, Resp any](mux *http.ServeMux, keys brpeer.Keys, pattern string, f func(context.Context, Req) (Resp, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !keys.Accepts(r) {
			writeError(w, brerror.New(brerror.Unauthorized, "operator key missing or unknown"))
			return
		}
		var req Req
		if err := decodeBody(w, r, &req); err != nil {
			writeError(w, err)
			return
		}
		resp, err := f(r.Context(), req)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	})
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return brerror.New(brerror.TooLarge, "body exceeds %d bytes", maxBody)
	}
	if err != nil {
		return brerror.New(brerror.InvalidRequest, "read body: %w", err)
	}
	if len(bytes.TrimSpace(b)) == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		e := brerror.New(brerror.InvalidRequest, "decode body: %w", err)
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			e = e.WithField(wrongType.Field)
		}
		return e
	}
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	e := brerror.From(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int64((e.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, e.Kind.Response().Status, ErrorBody{Error: e})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n')) // a write error means that the client has disconnected
}

// Call sends req to the operators' interface of the daemon at base and decodes
// the response. It returns an error that the daemon reported as *brerror.Error.
func Call[Req, Resp any](ctx context.Context, base string, keys brpeer.Keys, method, path string, req Req) (Resp, error) {
	var resp Resp
	b, err := json.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("broperator: encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(b))
	if err != nil {
		return resp, fmt.Errorf("broperator: %w", err)
	}
	r.Header = keys.Header()
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return resp, fmt.Errorf("broperator: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return resp, fmt.Errorf("broperator: read response: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		var e ErrorBody
		if json.Unmarshal(body, &e) == nil && e.Error != nil {
			return resp, e.Error
		}
		return resp, fmt.Errorf("broperator: %s %s: status %d: %.200s", method, path, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return resp, fmt.Errorf("broperator: decode response: %w", err)
	}
	return resp, nil
}
