package brentry

import (
	"context"
	"errors"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

const (
	// maxLedgerBody bounds the stored answers, in bytes.
	maxLedgerBody = 64 << 10
	ledgerTimeout = 2 * time.Second
	// ledgerRetry is the first pause between attempts to commit; it doubles up
	// to maxLedgerRetry.
	ledgerRetry    = 100 * time.Millisecond
	maxLedgerRetry = 5 * time.Second
)

// LedgerRecord says which dispatch a non-idempotent request was committed for.
// A release must have no effect on a record with another Attempt.
type LedgerRecord struct {
	RequestID  string
	Customer   string
	EntryID    string
	EndpointID string
	Attempt    string // unique for each begin
}

// LedgerAnswer is the stored answer of a finished request.
type LedgerAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool // Body was larger than 64 KiB and is not kept
}

// LedgerState is what the ledger knows of a request id. LedgerBegin answers
// with the state before it: the zero value means that the record is now begun.
type LedgerState struct {
	Begun    bool // and neither finished nor released
	Finished bool
	Customer string
	Answer   LedgerAnswer // when Finished
}

// settled returns the answer or the error that an earlier run leaves for a
// resend, or neither when there was none.
func (s LedgerState) settled(customer string) (*LedgerAnswer, error) {
	switch {
	case (s.Begun || s.Finished) && s.Customer != customer:
		return nil, brerror.New(brerror.UnknownOutcome, "request id was used before")
	case s.Finished && s.Answer.Truncated:
		return nil, brerror.New(brerror.AlreadyRun, "request has run; its answer was too long to be kept")
	case s.Finished:
		return &s.Answer, nil
	case s.Begun:
		return nil, brerror.New(brerror.UnknownOutcome, "request may have run")
	}
	return nil, nil
}

// lookup finds the answer of an earlier run before a resend is queued.
func (e *Entry) lookup(ctx context.Context, h *held) (*LedgerAnswer, error) {
	if !h.submit.NonIdempotent || h.submit.GeneratedID || e.LedgerLookup == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	s, err := e.LedgerLookup(ctx, h.submit.RequestID)
	if err != nil {
		return nil, unavailable(err)
	}
	return s.settled(h.admission.Customer)
}

// begin commits the record of h once, before its first dispatch.
func (e *Entry) begin(ctx context.Context, h *held, g brwire.Grant) (*LedgerAnswer, error) {
	if h.begun.Attempt != "" {
		return nil, nil
	}
	if e.LedgerBegin == nil || e.LedgerFinish == nil || e.LedgerRelease == nil {
		return nil, brerror.New(brerror.LedgerUnavailable, "this entry has no ledger")
	}
	r := LedgerRecord{RequestID: h.submit.RequestID, Customer: h.admission.Customer, EntryID: e.config.EntryID,
		EndpointID: g.EndpointID, Attempt: uuid.NewString()}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	s, err := e.LedgerBegin(ctx, r)
	if err != nil {
		h.begun = r // it may have been committed all the same
		return nil, unavailable(err)
	}
	if s.Begun || s.Finished {
		return s.settled(h.admission.Customer)
	}
	h.begun = r
	return nil, nil
}

func unavailable(err error) error {
	return brerror.New(brerror.LedgerUnavailable, "ledger: %w", err)
}

// release withdraws the record of a request that provably was never sent.
func (e *Entry) release(h *held) {
	if h.begun.Attempt == "" || h.dispatched {
		return
	}
	r := h.begun
	e.commit(func(ctx context.Context) error { return e.LedgerRelease(ctx, r) })
}

// store commits the answer of a request that ran.
func (e *Entry) store(h *held, a LedgerAnswer) {
	if h.begun.Attempt == "" {
		return
	}
	if len(a.Body) > maxLedgerBody {
		a.Body, a.Truncated = nil, true
	}
	r := h.begun
	kept := e.commit(func(ctx context.Context) error { return e.LedgerFinish(ctx, r, a) })
	select {
	case <-kept:
	case <-e.clock.After(answerWait):
	}
}

// answerWait is how long the caller's answer waits for the ledger to keep it, so
// that a resend right after the answer gets the same one. The commit goes on in
// the background when it takes longer.
const answerWait = 500 * time.Millisecond

// commit repeats do in the background until it succeeds or the entry is closed.
// The channel is closed when that is over.
func (e *Entry) commit(do func(context.Context) error) <-chan struct{} {
	over := make(chan struct{})
	e.work.Go(func() {
		defer close(over)
		for pause := ledgerRetry; ; pause = min(2*pause, maxLedgerRetry) {
			ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
			err := do(ctx)
			cancel()
			if err == nil {
				return
			}
			e.Counters.LedgerErrors.Add(1)
			if e.Record != nil {
				e.Record(Event{At: e.clock.Now(), Name: EventLedger, Err: errors.Unwrap(unavailable(err))})
			}
			select {
			case <-e.clock.After(pause):
			case <-e.stop:
				return
			}
		}
	})
	return over
}
