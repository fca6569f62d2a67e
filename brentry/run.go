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
	// errStale ends a dispatch whose grant was replaced by a newer epoch's.
	errStale = errors.New("grant is void")
	// errExpired ends a dispatch whose grant window has passed.
	errExpired = errors.New("grant window has passed")
)

// exchange is the part of a run that differs between engines and services. It
// must call pass at the boundary.
type exchange func(ctx context.Context, g brwire.Grant, pass func() error) (brdispatch.Result, error)

// run takes a held request through its grant and its dispatch. It returns nil
// when the whole answer was passed on. stored is set when the ledger had the
// answer of an earlier run.
func (e *Entry) run(caller context.Context, h *held, x exchange) (stored *LedgerAnswer, err error) {
	defer e.end(h)
	defer e.release(h)
	submit := true
	for {
		g, err := e.obtain(caller, h, submit)
		if err != nil {
			return nil, err
		}
		e.record(EventGranted, h, g, nil)
		if h.submit.NonIdempotent {
			stored, err := e.begin(caller, h, g)
			if stored != nil || err != nil {
				e.giveBack(h, g, err)
				return stored, err
			}
		}
		res, err := e.dispatch(caller, h, g, x)
		if res.Dispatched {
			return nil, err
		}
		e.giveBack(h, g, err)
		if submit, err = e.again(h, err); err != nil {
			e.Withdraw(h.submit.Pool, brwire.Withdraw{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number})
			return nil, err
		}
	}
}

// again decides after a grant that was not used whether to wait for another one,
// and whether that needs a new submit.
func (e *Entry) again(h *held, err error) (submit bool, _ error) {
	switch {
	case errors.Is(err, errStale):
		return false, nil // the new owner has it from Join
	case errors.Is(err, errExpired):
		return true, nil
	case !brerror.Is(err, brerror.EndpointUnavailable):
		return false, err
	}
	if h.attempts++; h.attempts >= e.config.GrantAttempts {
		return false, err
	}
	return true, nil
}

// obtain waits for a grant. A request that it gives up is withdrawn before the
// caller is answered.
func (e *Entry) obtain(caller context.Context, h *held, submit bool) (brwire.Grant, error) {
	deadline := e.clock.After(h.deadline.Sub(e.clock.Now()))
	var retry <-chan time.Time
	for {
		if submit {
			err := e.submit(caller, h)
			if err != nil && !reachedNone(err) {
				return brwire.Grant{}, err
			}
			if err != nil {
				retry = e.clock.After(e.config.ResubmitAfter)
			}
			submit = false
		}
		select {
		case v := <-h.verdict:
			if v.shed {
				return e.giveUp(h, v.err)
			}
			if v.err != nil && brerror.Is(v.err, brerror.NotOwner) {
				retry = e.clock.After(e.config.ResubmitAfter)
				continue
			}
			return v.grant, v.err
		case <-retry:
			submit, retry = true, nil
		case <-deadline:
			return e.giveUp(h, brerror.New(brerror.QueueTimeout, "no dispatch within the deadline of %v", h.submit.Deadline))
		case <-caller.Done():
			e.Counters.CallersGone.Add(1)
			return e.giveUp(h, brerror.New(brerror.Canceled, "caller went away before the dispatch"))
		}
	}
}

func (e *Entry) submit(caller context.Context, h *held) error {
	s := h.submit
	s.Deadline = h.deadline.Sub(e.clock.Now())
	if s.Deadline <= 0 {
		return nil // the deadline's own case ends the request
	}
	ctx, cancel := context.WithTimeout(caller, s.Deadline)
	defer cancel()
	return e.Submit(ctx, s)
}

// reachedNone tells that a submit failed because no scheduler was reached.
func reachedNone(err error) bool {
	switch brerror.From(err).Kind {
	case brerror.NotOwner, brerror.NotLeader, brerror.NoQuorum, brerror.Internal:
		return true
	}
	return false
}

func (e *Entry) giveUp(h *held, err error) (brwire.Grant, error) {
	e.mu.Lock()
	e.remove(h)
	w := brwire.Withdraw{RequestID: h.submit.RequestID, Epoch: h.grant.Epoch, Number: h.grant.Number}
	e.mu.Unlock()
	e.Withdraw(h.submit.Pool, w)
	return brwire.Grant{}, err
}

// pass is the dispatch boundary: it succeeds once for a grant in force, and from
// then on the request counts as dispatched.
func (e *Entry) pass(h *held, g brwire.Grant, cancel context.CancelCauseFunc) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	switch {
	case h.phase != granted || h.grant != g || g.Epoch < e.registry.epochs[h.submit.Pool]:
		return errStale
	case now.After(h.expires):
		return errExpired
	case !now.Before(h.deadline):
		return brerror.New(brerror.QueueTimeout, "no dispatch within the deadline of %v", h.submit.Deadline)
	}
	h.phase, h.dispatched, h.cancel = running, true, cancel
	h.started = now
	h.progress.Store(now.UnixNano())
	e.unqueue(h)
	return nil
}

// giveBack returns a grant that was not used.
func (e *Entry) giveBack(h *held, g brwire.Grant, err error) {
	e.mu.Lock()
	current := h.phase == granted && h.grant == g
	if current {
		h.phase, h.bound = queued, 0
	}
	e.mu.Unlock()
	if !current {
		return // its epoch is over
	}
	kind := brerror.EndpointUnavailable
	if be := brerror.From(err); be != nil && be.Kind != brerror.Internal {
		kind = be.Kind
	}
	e.Counters.Returned.Add(1)
	e.record(EventReturned, h, g, err)
	e.Done(h.submit.Pool, brwire.Done{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number, Outcome: brerror.NotRun, Kind: kind})
}

// dispatch performs the exchange under a context of its own, so that a caller
// who goes away doesn't end it at once.
func (e *Entry) dispatch(caller context.Context, h *held, g brwire.Grant, x exchange) (brdispatch.Result, error) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	defer cancel(nil)
	over := make(chan struct{})
	pass := func() error {
		if caller.Err() != nil {
			return brerror.New(brerror.Canceled, "caller went away before the dispatch")
		}
		if err := e.pass(h, g, cancel); err != nil {
			return err
		}
		e.Counters.Dispatched.Add(1)
		e.record(EventDispatched, h, g, nil)
		e.Started(h.submit.Pool, brwire.Started{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number})
		go e.watch(caller, h, g, over, cancel)
		return nil
	}
	res, err := x(ctx, g, pass)
	close(over)
	if !res.Dispatched {
		return res, err
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	err = truthful(err)
	e.finish(h, g, res, err)
	return res, err
}

// truthful keeps an error after the boundary from claiming that nothing ran.
func truthful(err error) error {
	if err == nil || brerror.From(err).Kind.Response().Outcome != brerror.NotRun {
		return err
	}
	return brerror.New(brerror.EndpointFailed, "%w", err)
}

func (e *Entry) finish(h *held, g brwire.Grant, res brdispatch.Result, err error) {
	d := brwire.Done{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number, OK: err == nil, Outcome: brerror.Ran,
		PromptTokens: cmp.Or(res.Usage.PromptTokens, h.submit.PromptTokens), CachedTokens: res.Usage.CachedTokens,
		OutputTokens: res.Next, FirstToken: res.FirstToken, Duration: res.Duration}
	if err != nil {
		be := brerror.From(err)
		d.Kind, d.Outcome = be.Kind, be.Kind.Response().Outcome
		e.Counters.Failed.Add(1)
		if be.Kind == brerror.Stuck {
			e.Counters.Stuck.Add(1)
			e.record(EventStuck, h, g, err)
		}
	} else {
		e.Counters.Completed.Add(1)
		if res.Status >= http.StatusInternalServerError {
			d.OK, d.Kind = false, brerror.EndpointFailed // passed on to the caller, and counted against the endpoint
		}
	}
	h.ran = d.OK || d.Outcome == brerror.Ran
	e.record(EventEnded, h, g, err)
	e.Done(h.submit.Pool, d)
}

// watch ends a dispatched request whose first token misses the deadline, or
// whose caller stays away longer than the grace while nobody else reads it.
func (e *Entry) watch(caller context.Context, h *held, g brwire.Grant, over <-chan struct{}, cancel context.CancelCauseFunc) {
	var deadline, grace <-chan time.Time
	if !h.submit.NonIdempotent {
		deadline = e.clock.After(h.deadline.Sub(e.clock.Now()))
	}
	left := caller.Done()
	away, counted := false, false
	for {
		select {
		case <-over:
			return
		case <-deadline:
			deadline = nil
			if !h.firstToken.Load() {
				cancel(brerror.New(brerror.DeadlineExceeded, "no token within the deadline of %v", h.submit.Deadline))
			}
			continue
		case <-left:
			left, away = nil, true
		case <-h.gone:
			left, away = nil, true
		case <-h.readers:
		case <-grace:
			cancel(brerror.New(brerror.Canceled, "caller was away for %v", e.config.Grace))
			return
		}
		if left == nil && !counted {
			counted = true
			e.Counters.CallersGone.Add(1)
			e.record(EventCallerGone, h, g, nil)
		}
		grace = nil
		if away && !h.submit.NonIdempotent && e.attachedReaders(h) == 0 {
			grace = e.clock.After(e.config.Grace)
		}
	}
}
