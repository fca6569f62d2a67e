package brentry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brconfig"
	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brprefix"
	"bramleyroute/brquarantine"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

// maxPrefixBlocks is the maximum number of prefix hashes in a submit message. 256
// blocks cover 16,384 tokens and take about 2.3 KB.
const maxPrefixBlocks = 256

// maxDeadlineMS is the longest deadline that a caller may set, in milliseconds: one
// day.
const maxDeadlineMS = 86_400_000

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	defer e.countCaller()()
	h, c, err := e.admitCompletion(w, r)
	if err != nil {
		e.refuse(w, r.Header.Get(brengine.HeaderRequestID), err)
		return
	}
	o := e.newOutput(w, h.submit.RequestID, c, h.admission.Revision)
	o.collect = o.collect || h.submit.NonIdempotent
	o.onDisconnect = func() {
		select {
		case h.writeFailed <- struct{}{}:
		default:
		}
	}
	var last brdispatch.Result
	stored, err := e.serveHeld(r.Context(), h, func(ctx context.Context, g brwire.Grant, boundary func() error) (brdispatch.Result, error) {
		res, err := e.client.Complete(ctx, o.dispatchRequest(h, g, boundary))
		last = res
		if err == nil && h.submit.NonIdempotent {
			e.storeCompletion(h, o, res)
		}
		return res, err
	})
	switch {
	case stored != nil:
		e.writeStored(w, h, *stored)
	case err != nil:
		e.recordRefusal(h, err)
		o.finishWithError(err)
	default:
		o.finish(last)
	}
}

// storeCompletion commits a complete response to the ledger. It runs before the end
// of the request is recorded, so that a resend finds either the running request or
// the ledger record.
func (e *Entry) storeCompletion(h *heldRequest, o *output, res brdispatch.Result) {
	body, err := o.encodeResponse(res)
	if err != nil {
		body = nil
	}
	e.finishLedgerRecord(h, LedgerResponse{Status: http.StatusOK, ContentType: "application/json", Body: body, TooLarge: body == nil})
}

// serveHeld registers h and runs it. It returns the stored response if an earlier
// run of a non-idempotent request has finished.
func (e *Entry) serveHeld(caller context.Context, h *heldRequest, x exchange) (*LedgerResponse, error) {
	if stored, err := e.lookupLedger(caller, h); stored != nil || err != nil {
		return stored, err
	}
	if err := e.register(h); err != nil {
		return nil, err
	}
	e.record(EventReceived, h, brwire.Grant{}, nil)
	return e.run(caller, h, x)
}

// recordRefusal counts and records a request that ended without a dispatch. It does
// nothing for a dispatched request.
func (e *Entry) recordRefusal(h *heldRequest, err error) {
	if h.dispatched {
		return
	}
	e.Counters.Refused.Add(1)
	e.record(EventRefused, h, brwire.Grant{}, err)
}

// refuse counts a request that is refused before its registration and writes the
// error response. An invalid request ID is left out of the response.
func (e *Entry) refuse(w http.ResponseWriter, requestID string, err error) {
	e.Counters.Refused.Add(1)
	if _, bad := idTime(requestID); bad != nil {
		requestID = ""
	}
	e.writeError(w, requestID, err)
}

func (e *Entry) writeStored(w http.ResponseWriter, h *heldRequest, resp LedgerResponse) {
	w.Header().Set(brengine.HeaderRequestID, h.submit.RequestID)
	w.Header().Set(brengine.HeaderEntry, e.config.EntryID)
	w.Header().Set("Content-Type", resp.ContentType)
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

// admitCompletion validates a completion request and returns the held request and
// its parameters. The returned completion has no prompt.
func (e *Entry) admitCompletion(w http.ResponseWriter, r *http.Request) (*heldRequest, brengine.Completion, error) {
	var c brengine.Completion
	key, buffer, body, err := e.readAuthorized(w, r)
	if err != nil {
		return nil, c, err
	}
	defer buffer.Release() // a held request counts in Config.MaxHeldBytes
	if c, err = decodeCompletion(body); err != nil {
		return nil, c, err
	}
	a, err := e.Resolve(key, c.Route, c.Model)
	if err != nil {
		return nil, c, err
	}
	if c.Model != "" && c.Model != a.Route.Model {
		return nil, c, brerror.New(brerror.InvalidRequest, "route %q uses model %q", a.Route.Name, a.Route.Model).WithField("model")
	}
	c.Model = a.Route.Model
	if c, err = limitTokens(c, a.Route); err != nil {
		return nil, c, err
	}
	h, err := e.newHeldRequest(r, a)
	if err != nil {
		return nil, c, err
	}
	h.submit.MaxTokens = c.MaxTokens
	h.submit.PromptTokens, h.submit.PrefixHashes = brprefix.Hashes(c.Prompt, maxPrefixBlocks)
	if h.submit.PromptTokens > e.config.MaxPromptTokens {
		return nil, c, brerror.New(brerror.TooLarge, "%d tokens exceed the limit of %d", h.submit.PromptTokens, e.config.MaxPromptTokens).WithField("prompt")
	}
	h.body, err = json.Marshal(brengine.Completion{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: true})
	if err != nil {
		return nil, c, fmt.Errorf("encode completion for the engine: %w", err)
	}
	c.Prompt = "" // frees the prompt; only the encoded body is needed
	h.submit.Fingerprint = brquarantine.Fingerprint(h.body, a.Customer, a.Route.Name)
	h.bytes = requestOverhead + int64(len(h.body)) + 8*int64(len(h.submit.PrefixHashes))
	return h, c, nil
}

// readAuthorized reads the bearer key and the body of r, which the caller must release. It
// returns an error if the entry doesn't accept work.
func (e *Entry) readAuthorized(w http.ResponseWriter, r *http.Request) (key string, buffer *brbuffer.Body, body []byte, err error) {
	if err := e.acceptsWork(); err != nil {
		return "", nil, nil, err
	}
	if key, err = bearerKey(r); err != nil {
		return "", nil, nil, err
	}
	buffer, body, err = e.readBody(w, r)
	return key, buffer, body, err
}

// newHeldRequest returns a request that was admitted as a, with the ID and the
// deadline of r or generated ones. It panics if the tier is out of range.
func (e *Entry) newHeldRequest(r *http.Request, a Admission) (*heldRequest, error) {
	if a.Route.Tier < 1 || a.Route.Tier > brconfig.Tiers {
		panic(fmt.Sprintf("brentry: tier %d of route %q is out of range", a.Route.Tier, a.Route.Name))
	}
	now := e.clock.Now()
	id := r.Header.Get(brengine.HeaderRequestID)
	generated := id == ""
	if generated {
		u, err := uuid.NewV7()
		if err != nil {
			return nil, fmt.Errorf("generate request ID: %w", err)
		}
		id = u.String()
	} else if err := checkClockLead(id, now); err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(r, a.Route)
	if err != nil {
		return nil, err
	}
	return &heldRequest{
		admission: a, deadline: now.Add(deadline),
		submit: brwire.Submit{RequestID: id, GeneratedID: generated, Pool: brwire.PoolName(a.Route.Model, e.config.Region),
			Customer: a.Customer, Route: a.Route.Name, Tier: a.Route.Tier, Deadline: deadline,
			NonIdempotent: a.Route.NonIdempotent},
		decision: make(chan decision, 1), writeFailed: make(chan struct{}, 1), readersChanged: make(chan struct{}, 1),
	}, nil
}

// deadlineOf returns the shorter of the route's deadline and the one in the caller's
// header. When a caller retries, its remaining time is shorter than the route's
// deadline; without the header, the retry could be dispatched after the caller has
// given up.
func deadlineOf(r *http.Request, route brconfig.Route) (time.Duration, error) {
	v := r.Header.Get(brengine.HeaderDeadline)
	if v == "" {
		return route.Deadline(), nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms < 1 || ms > maxDeadlineMS {
		return 0, brerror.New(brerror.InvalidRequest, "must be an integer number of milliseconds from 1 to %d", maxDeadlineMS).WithField(brengine.HeaderDeadline)
	}
	return min(route.Deadline(), time.Duration(ms)*time.Millisecond), nil
}

// stuckTimeout returns the time without a token after which a request of r is stuck.
func stuckTimeout(r brconfig.Route) time.Duration {
	return cmp.Or(time.Duration(r.StuckMS)*time.Millisecond, brdispatch.DefaultStuckTimeout)
}
