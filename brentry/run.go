package brentry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

var (
	// errStale is the error of a dispatch whose grant was voided, for example by a
	// newer epoch.
	errStale = errors.New("grant is void")
	// errExpired is the error of a dispatch after the end of its grant window.
	errExpired = errors.New("grant has expired")
)

// exchange sends a request to an engine or a service under grant g. It must call
// boundary just before the first byte is sent, and send nothing if boundary fails.
type exchange func(ctx context.Context, g brwire.Grant, boundary func() error) (brdispatch.Result, error)

// run waits for a grant of h and dispatches it. It returns a nil error if the complete
// response was forwarded. stored is the response of an earlier run, if the ledger has
// one.
func (e *Entry) run(caller context.Context, h *heldRequest, x exchange) (stored *LedgerResponse, err error) {
	defer e.unregister(h)
	defer e.releaseLedgerRecord(h)
	submit := true
	for {
		g, err := e.awaitGrant(caller, h, submit)
		if err != nil {
			return nil, err
		}
		e.record(EventGranted, h, g, nil)
		if h.submit.NonIdempotent {
			stored, err := e.beginLedgerRecord(caller, h, g)
			if stored != nil || err != nil {
				e.returnGrant(h, g, brdispatch.Result{}, err)
				return stored, err
			}
		}
		res, err := e.dispatch(caller, h, g, x)
		if res.Dispatched {
			return nil, err
		}
		e.returnGrant(h, g, res, err)
		if submit, err = e.retryGrant(h, err); err != nil {
			e.Withdraw(h.submit.Pool, brwire.Withdraw{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number})
			return nil, err
		}
	}
}

// retryGrant handles the error err of a grant that wasn't used. It returns an error if
// the request ends, and otherwise reports whether it must be submitted again.
func (e *Entry) retryGrant(h *heldRequest, err error) (submit bool, _ error) {
	switch {
	case errors.Is(err, errStale):
		return false, nil // the new owner received the request from Join
	case errors.Is(err, errExpired):
		return true, nil
	case !brerror.Is(err, brerror.EndpointUnavailable):
		return false, err
	}
	if h.failedGrants++; h.failedGrants >= e.config.GrantAttempts {
		return false, err
	}
	return true, nil
}

// awaitGrant waits for a grant of h, and submits h first if submit is set. If the
// request ends without a grant, it is withdrawn before the caller gets its response.
func (e *Entry) awaitGrant(caller context.Context, h *heldRequest, submit bool) (brwire.Grant, error) {
	deadline := e.clock.After(h.deadline.Sub(e.clock.Now()))
	var retry <-chan time.Time
	for {
		if e.ended.Err() != nil {
			return e.withdrawRequest(h, errUndispatchedEnd)
		}
		if submit {
			err := e.submit(caller, h)
			if err != nil && !noSchedulerReached(err) {
				return brwire.Grant{}, err
			}
			if err != nil {
				retry = e.clock.After(e.config.ResubmitDelay)
			}
			submit = false
		}
		select {
		case v := <-h.decision:
			if v.shed {
				return e.withdrawRequest(h, v.err)
			}
			if v.err != nil && brerror.Is(v.err, brerror.NotOwner) {
				retry = e.clock.After(e.config.ResubmitDelay)
				continue
			}
			return v.grant, v.err
		case <-retry:
			submit, retry = true, nil
		case <-deadline:
			return e.withdrawRequest(h, brerror.New(brerror.QueueTimeout, "no dispatch within the deadline of %v", h.submit.Deadline))
		case <-e.ended.Done():
			return e.withdrawRequest(h, errUndispatchedEnd)
		case <-caller.Done():
			e.Counters.CallerDisconnects.Add(1)
			return e.withdrawRequest(h, brerror.New(brerror.Canceled, "caller disconnected before the dispatch"))
		}
	}
}

// submit sends h to the scheduler with its remaining time. It does nothing if the
// deadline has passed.
func (e *Entry) submit(caller context.Context, h *heldRequest) error {
	s := h.submit
	s.Deadline = h.deadline.Sub(e.clock.Now())
	if s.Deadline <= 0 {
		return nil // awaitGrant ends the request at its deadline
	}
	ctx, cancel := context.WithTimeout(caller, s.Deadline)
	defer cancel()
	return e.Submit(ctx, s)
}

// noSchedulerReached reports whether a submit failed with err because it reached no
// scheduler.
func noSchedulerReached(err error) bool {
	switch brerror.From(err).Kind {
	case brerror.NotOwner, brerror.NotLeader, brerror.NoQuorum, brerror.Internal:
		return true
	}
	return false
}

// withdrawRequest removes h, withdraws it from the scheduler and returns err.
func (e *Entry) withdrawRequest(h *heldRequest, err error) (brwire.Grant, error) {
	e.mu.Lock()
	e.remove(h)
	w := brwire.Withdraw{RequestID: h.submit.RequestID, Epoch: h.grant.Epoch, Number: h.grant.Number}
	e.mu.Unlock()
	e.Withdraw(h.submit.Pool, w)
	return brwire.Grant{}, err
}

// passBoundary marks h as running and dispatched. It returns an error if g isn't the
// current, unused grant of h, or if the grant or the deadline has expired.
func (e *Entry) passBoundary(h *heldRequest, g brwire.Grant, cancel context.CancelCauseFunc) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	switch {
	case e.ended.Err() != nil:
		return errUndispatchedEnd
	case h.phase != granted || h.grant != g || g.Epoch < e.registry.epochs[h.submit.Pool]:
		return errStale
	case now.After(h.grantExpires):
		return errExpired
	case !now.Before(h.deadline):
		return brerror.New(brerror.QueueTimeout, "no dispatch within the deadline of %v", h.submit.Deadline)
	}
	h.phase, h.dispatched, h.cancel = running, true, cancel
	h.dispatchedAt = now
	h.lastProgress.Store(now.UnixNano())
	e.dequeue(h)
	return nil
}

// returnGrant returns the unused grant g to the scheduler, with the result of its failed
// dispatch. It does nothing if g isn't the current grant of h.
func (e *Entry) returnGrant(h *heldRequest, g brwire.Grant, res brdispatch.Result, err error) {
	e.mu.Lock()
	current := h.phase == granted && h.grant == g
	if current {
		h.phase, h.boundEpoch = queued, 0
	}
	e.mu.Unlock()
	if !current {
		return // the epoch of g has ended
	}
	kind := brerror.EndpointUnavailable
	if be := brerror.From(err); be != nil && be.Kind != brerror.Internal {
		kind = be.Kind
	}
	e.Counters.ReturnedGrants.Add(1)
	e.record(EventGrantReturned, h, g, err)
	e.Done(h.submit.Pool, brwire.Done{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number, Outcome: brerror.NotRun, Kind: kind, PathFailed: res.PathFailed})
}

// dispatch performs the exchange x. Its context is independent of caller's, so that
// the exchange goes on when the caller disconnects; see watch.
func (e *Entry) dispatch(caller context.Context, h *heldRequest, g brwire.Grant, x exchange) (brdispatch.Result, error) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	defer cancel(nil)
	defer e.cancelAtEnd(cancel)()
	done := make(chan struct{})
	boundary := func() error {
		if caller.Err() != nil {
			return brerror.New(brerror.Canceled, "caller disconnected before the dispatch")
		}
		if err := e.passBoundary(h, g, cancel); err != nil {
			return err
		}
		e.Counters.Dispatched.Add(1)
		e.record(EventDispatched, h, g, nil)
		e.Started(h.submit.Pool, brwire.Started{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number})
		go e.watch(caller, h, g, done, cancel)
		return nil
	}
	res, err := x(ctx, g, boundary)
	close(done)
	if !res.Dispatched {
		return res, err
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	err = correctOutcome(err)
	e.reportDone(h, g, res, err)
	return res, err
}

// correctOutcome returns the error of a request that was dispatched. It replaces an
// error whose outcome is not_run, because the request may have run.
func correctOutcome(err error) error {
	if err == nil || brerror.From(err).Kind.Response().Outcome != brerror.NotRun {
		return err
	}
	return brerror.New(brerror.EndpointFailed, "%w", err)
}

// reportDone reports the end of a dispatched request to the scheduler, the counters
// and the timeline.
func (e *Entry) reportDone(h *heldRequest, g brwire.Grant, res brdispatch.Result, err error) {
	d := brwire.Done{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number, OK: err == nil, Outcome: brerror.Ran,
		PromptTokens: cmp.Or(res.Usage.PromptTokens, h.submit.PromptTokens), CachedTokens: res.Usage.CachedTokens,
		OutputTokens: res.NextOffset, FirstToken: res.FirstToken, Duration: res.Duration}
	if err != nil {
		be := brerror.From(err)
		d.Kind, d.Outcome = be.Kind, be.Kind.Response().Outcome
		d.PathFailed = res.PathFailed
		d.EndpointLost = be.Kind == brerror.EndpointFailed && (res.Resumes > 0 || res.Lost) && !res.PathFailed
		e.Counters.Failed.Add(1)
		if be.Kind == brerror.Stuck {
			e.Counters.Stuck.Add(1)
			e.record(EventStuck, h, g, err)
		}
	} else {
		e.Counters.Completed.Add(1)
		if res.Status >= http.StatusInternalServerError {
			// The caller gets the response, but it counts as a failure of the endpoint.
			d.OK, d.Kind = false, brerror.EndpointFailed
		}
	}
	h.ran = d.OK || d.Outcome == brerror.Ran
	e.record(EventEnded, h, g, err)
	e.Done(h.submit.Pool, d)
}

// watch cancels a dispatched request if its first token misses the deadline, or if its
// caller disconnects and no other reader attaches within Config.DisconnectGrace. It
// cancels no non-idempotent request. It returns when done is closed.
func (e *Entry) watch(caller context.Context, h *heldRequest, g brwire.Grant, done <-chan struct{}, cancel context.CancelCauseFunc) {
	var deadline, grace <-chan time.Time
	if !h.submit.NonIdempotent {
		deadline = e.clock.After(h.deadline.Sub(e.clock.Now()))
	}
	callerDone := caller.Done()
	disconnected, counted := false, false
	for {
		select {
		case <-done:
			return
		case <-deadline:
			deadline = nil
			if !h.firstToken.Load() {
				cancel(brerror.New(brerror.DeadlineExceeded, "no token within the deadline of %v", h.submit.Deadline))
			}
			continue
		case <-callerDone:
			callerDone, disconnected = nil, true
		case <-h.writeFailed:
			callerDone, disconnected = nil, true
		case <-h.readersChanged:
		case <-grace:
			cancel(brerror.New(brerror.Canceled, "caller was disconnected for %v", e.config.DisconnectGrace))
			return
		}
		if callerDone == nil && !counted {
			counted = true
			e.Counters.CallerDisconnects.Add(1)
			e.record(EventCallerDisconnected, h, g, nil)
		}
		grace = nil
		if disconnected && !h.submit.NonIdempotent && e.attachedReaders(h) == 0 {
			grace = e.clock.After(e.config.DisconnectGrace)
		}
	}
}
