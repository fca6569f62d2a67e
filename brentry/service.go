package brentry

import (
	"context"
	"net/http"
	"strings"

	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brquarantine"
	"bramleyroute/brwire"
)

// serveService forwards one call to a plain service, with the path after the service
// name. A call counts as one prompt token, since the limits of a service's pool are in
// requests.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	defer e.countCaller()()
	h, err := e.admitService(w, r)
	if err != nil {
		e.refuse(w, r.Header.Get(brengine.HeaderRequestID), err)
		return
	}
	var response brdispatch.Response
	defer func() { response.Buffer.Release() }()
	var endpointID string
	stored, err := e.serveHeld(r.Context(), h, func(ctx context.Context, g brwire.Grant, boundary func() error) (brdispatch.Result, error) {
		resp, res, err := e.client.Call(ctx, brdispatch.Call{
			RequestID: h.submit.RequestID, Address: g.Address, Method: r.Method, Path: servicePath(r), Route: h.submit.Route,
			Header: r.Header, Body: h.body, Timeout: stuckTimeout(h.admission.Route), Boundary: boundary,
		})
		response.Buffer.Release() // of an attempt before
		response, endpointID = resp, g.EndpointID
		if err == nil {
			e.finishLedgerRecord(h, LedgerResponse{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body})
		}
		return res, err
	})
	switch {
	case stored != nil:
		e.writeStored(w, h, *stored)
	case err != nil:
		e.recordRefusal(h, err)
		e.writeError(w, h.submit.RequestID, err)
	default:
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		e.setResponseHeaders(w.Header(), h.submit.RequestID, endpointID, h.admission.Revision)
		w.WriteHeader(response.Status)
		_, _ = w.Write(response.Body)
	}
}

// admitService validates a call of a plain service and returns the held request.
func (e *Entry) admitService(w http.ResponseWriter, r *http.Request) (*heldRequest, error) {
	key, buffer, body, err := e.readAuthorized(w, r)
	if err != nil {
		return nil, err
	}
	defer buffer.Release() // a held request counts in Config.MaxHeldBytes
	name, route := r.PathValue("name"), r.Header.Get(brengine.HeaderRoute)
	if len(route) > maxNameLength {
		return nil, brerror.New(brerror.InvalidRequest, "must not be longer than %d bytes", maxNameLength).WithField(brengine.HeaderRoute)
	}
	a, err := e.Resolve(key, route, name)
	if err != nil {
		return nil, err
	}
	if a.Route.Model != name {
		return nil, brerror.New(brerror.InvalidRequest, "route %q uses service %q", a.Route.Name, a.Route.Model).WithField(brengine.HeaderRoute)
	}
	h, err := e.newHeldRequest(r, a)
	if err != nil {
		return nil, err
	}
	h.submit.PromptTokens = 1
	h.submit.Fingerprint = brquarantine.Fingerprint(body, a.Customer, a.Route.Name, r.Method, servicePath(r))
	h.body, h.bytes = body, requestOverhead+int64(len(body))
	return h, nil
}

// servicePath returns the escaped path after the service name, with the query.
func servicePath(r *http.Request) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), brengine.PathServices), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
