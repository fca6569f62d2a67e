package brentry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brprefix"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

// maxPrefixBlocks bounds the hashes that a submit carries: 256 blocks cover
// 16,384 tokens and take about 2.3 KB.
const maxPrefixBlocks = 256

// maxDeadlineMS bounds the deadline that a caller may state: a day.
const maxDeadlineMS = 86_400_000

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	defer e.serving()()
	h, c, err := e.admitCompletion(r)
	if err != nil {
		e.refuse(w, r.Header.Get(brengine.HeaderRequestID), err)
		return
	}
	o := e.newOutput(w, h.submit.RequestID, c, h.admission.Revision)
	o.keep = o.keep || h.submit.NonIdempotent
	o.onAway = func() {
		select {
		case h.gone <- struct{}{}:
		default:
		}
	}
	var last brdispatch.Result
	stored, err := e.serveHeld(r.Context(), h, func(ctx context.Context, g brwire.Grant, pass func() error) (brdispatch.Result, error) {
		res, err := e.client.Complete(ctx, o.request(h, g, pass))
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
		e.note(h, err)
		o.fail(err)
	default:
		o.end(last)
	}
}

// storeCompletion commits a whole answer. It runs before the end of the request
// is recorded, so that a resend finds the running request or the ledger's record.
func (e *Entry) storeCompletion(h *held, o *output, res brdispatch.Result) {
	body, err := o.whole(res)
	if err != nil {
		body = nil
	}
	e.store(h, LedgerAnswer{Status: http.StatusOK, ContentType: "application/json", Body: body, Truncated: body == nil})
}

// serveHeld registers h and runs it.
func (e *Entry) serveHeld(caller context.Context, h *held, x exchange) (*LedgerAnswer, error) {
	if stored, err := e.lookup(caller, h); stored != nil || err != nil {
		return stored, err
	}
	if err := e.hold(h); err != nil {
		return nil, err
	}
	e.record(EventReceived, h, brwire.Grant{}, nil)
	return e.run(caller, h, x)
}

// note counts a request that ended without a dispatch.
func (e *Entry) note(h *held, err error) {
	if h.dispatched {
		return
	}
	e.Counters.Refused.Add(1)
	e.record(EventRefused, h, brwire.Grant{}, err)
}

func (e *Entry) refuse(w http.ResponseWriter, requestID string, err error) {
	e.Counters.Refused.Add(1)
	if _, bad := idTime(requestID); bad != nil {
		requestID = ""
	}
	e.writeError(w, requestID, err)
}

func (e *Entry) writeStored(w http.ResponseWriter, h *held, a LedgerAnswer) {
	w.Header().Set(brengine.HeaderRequestID, h.submit.RequestID)
	w.Header().Set(brengine.HeaderEntry, e.config.EntryID)
	w.Header().Set("Content-Type", a.ContentType)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (e *Entry) admitCompletion(r *http.Request) (*held, brengine.Completion, error) {
	var c brengine.Completion
	key, body, err := e.receive(r)
	if err != nil {
		return nil, c, err
	}
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
	h, err := e.newHeld(r, a)
	if err != nil {
		return nil, c, err
	}
	h.submit.MaxTokens = c.MaxTokens
	h.submit.PromptTokens, h.submit.PrefixHashes = brprefix.Hashes(c.Prompt, maxPrefixBlocks)
	if h.submit.PromptTokens > e.config.MaxPromptTokens {
		return nil, c, brerror.New(brerror.TooLarge, "%d tokens exceed %d", h.submit.PromptTokens, e.config.MaxPromptTokens).WithField("prompt")
	}
	h.body, err = json.Marshal(brengine.Completion{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: true})
	if err != nil {
		return nil, c, fmt.Errorf("encode for the engine: %w", err)
	}
	c.Prompt = "" // only the encoded body is held
	h.bytes = heldOverhead + int64(len(h.body)) + 8*int64(len(h.submit.PrefixHashes))
	return h, c, nil
}

// receive checks whether the entry takes work and reads the key and the body.
func (e *Entry) receive(r *http.Request) (key string, body []byte, err error) {
	if err := e.takesWork(); err != nil {
		return "", nil, err
	}
	if key, err = bearerKey(r); err != nil {
		return "", nil, err
	}
	body, err = readBody(r, e.config.MaxBody)
	return key, body, err
}

func (e *Entry) newHeld(r *http.Request, a Admission) (*held, error) {
	if a.Route.Tier < 1 || a.Route.Tier > brconfig.Tiers {
		panic(fmt.Sprintf("brentry: tier %d of route %q out of range", a.Route.Tier, a.Route.Name))
	}
	now := e.clock.Now()
	id := r.Header.Get(brengine.HeaderRequestID)
	assigned := id == ""
	if assigned {
		u, err := uuid.NewV7()
		if err != nil {
			return nil, fmt.Errorf("make request id: %w", err)
		}
		id = u.String()
	} else if err := checkAhead(id, now); err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(r, a.Route)
	if err != nil {
		return nil, err
	}
	return &held{
		admission: a, deadline: now.Add(deadline),
		submit: brwire.Submit{RequestID: id, GeneratedID: assigned, Pool: brwire.PoolName(a.Route.Model, e.config.Region),
			Customer: a.Customer, Route: a.Route.Name, Tier: a.Route.Tier, Deadline: deadline,
			NonIdempotent: a.Route.NonIdempotent},
		verdict: make(chan verdict, 1), gone: make(chan struct{}, 1), readers: make(chan struct{}, 1),
	}, nil
}

// deadlineOf returns the route's deadline, or less if the caller states less. A
// caller that retries has less time left than the route gives, and without its
// statement the retry would be dispatched after the caller has given up.
func deadlineOf(r *http.Request, route brconfig.Route) (time.Duration, error) {
	v := r.Header.Get(brengine.HeaderDeadline)
	if v == "" {
		return route.Deadline(), nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms < 1 || ms > maxDeadlineMS {
		return 0, brerror.New(brerror.InvalidRequest, "not a number of milliseconds from 1 to %d", maxDeadlineMS).WithField(brengine.HeaderDeadline)
	}
	return min(route.Deadline(), time.Duration(ms)*time.Millisecond), nil
}

func stuckAfter(r brconfig.Route) time.Duration {
	return cmp.Or(time.Duration(r.StuckMS)*time.Millisecond, brdispatch.DefaultStuckAfter)
}
