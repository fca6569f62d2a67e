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
	// maxLedgerBody is the maximum size of a stored response body, in bytes.
	maxLedgerBody = 64 << 10
	ledgerTimeout = 2 * time.Second
	// minLedgerRetryDelay is the first delay between commit attempts. The delay doubles
	// with each attempt up to maxLedgerRetryDelay.
	minLedgerRetryDelay = 100 * time.Millisecond
	maxLedgerRetryDelay = 5 * time.Second
)

// LedgerRecord identifies the dispatch for which a non-idempotent request was
// committed. A release must have no effect on a record with a different Attempt.
type LedgerRecord struct {
	RequestID  string
	Customer   string
	EntryID    string
	EndpointID string
	Attempt    string // unique for each begin
}

// LedgerResponse is the stored response to a finished request.
type LedgerResponse struct {
	Status      int
	ContentType string
	Body        []byte
	TooLarge    bool // Body is empty because it was larger than 64 KiB
}

// LedgerState is the ledger's state for a request ID. LedgerBegin returns the state
// before the call; the zero value means that the call has begun the record.
type LedgerState struct {
	Begun    bool // but neither finished nor released
	Finished bool
	Customer string
	Response LedgerResponse // set if Finished
}

// earlierResult returns the response or the error for a resend of a request that has
// a record. Both are nil if there is no record.
func (s LedgerState) earlierResult(customer string) (*LedgerResponse, error) {
	switch {
	case (s.Begun || s.Finished) && s.Customer != customer:
		return nil, brerror.New(brerror.UnknownOutcome, "request ID was already used")
	case s.Finished && s.Response.TooLarge:
		return nil, brerror.New(brerror.AlreadyRun, "request has already run; its response was too long to be stored")
	case s.Finished:
		return &s.Response, nil
	case s.Begun:
		return nil, brerror.New(brerror.UnknownOutcome, "request may have run; its outcome is unknown")
	}
	return nil, nil
}

// lookupLedger returns the stored response or error of an earlier run, so that a
// resend isn't queued. Both are nil if h may run.
func (e *Entry) lookupLedger(ctx context.Context, h *heldRequest) (*LedgerResponse, error) {
	if !h.submit.NonIdempotent || h.submit.GeneratedID || e.LedgerLookup == nil {
		return nil, nil
	}
	ctx, cancel := e.ledgerContext(ctx)
	defer cancel()
	s, err := e.LedgerLookup(ctx, h.submit.RequestID)
	if err != nil {
		return nil, ledgerUnavailable(err)
	}
	return s.earlierResult(h.admission.Customer)
}

// beginLedgerRecord commits the record of h before its first dispatch; later calls do
// nothing. It returns the stored response or error of an earlier run.
func (e *Entry) beginLedgerRecord(ctx context.Context, h *heldRequest, g brwire.Grant) (*LedgerResponse, error) {
	if h.ledgerRecord.Attempt != "" {
		return nil, nil
	}
	if e.LedgerBegin == nil || e.LedgerFinish == nil || e.LedgerRelease == nil {
		return nil, brerror.New(brerror.LedgerUnavailable, "entry has no ledger")
	}
	r := LedgerRecord{RequestID: h.submit.RequestID, Customer: h.admission.Customer, EntryID: e.config.EntryID,
		EndpointID: g.EndpointID, Attempt: uuid.NewString()}
	ctx, cancel := e.ledgerContext(ctx)
	defer cancel()
	s, err := e.LedgerBegin(ctx, r)
	if err != nil {
		h.ledgerRecord = r // the record may have been committed despite the error
		return nil, ledgerUnavailable(err)
	}
	if s.Begun || s.Finished {
		return s.earlierResult(h.admission.Customer)
	}
	h.ledgerRecord = r
	return nil, nil
}

// ledgerUnavailable wraps an error of the ledger.
func ledgerUnavailable(err error) error {
	return brerror.New(brerror.LedgerUnavailable, "ledger: %w", err)
}

// releaseLedgerRecord deletes the record of h if h was certainly not sent.
func (e *Entry) releaseLedgerRecord(h *heldRequest) {
	if h.ledgerRecord.Attempt == "" || h.dispatched {
		return
	}
	r := h.ledgerRecord
	e.commitInBackground(func(ctx context.Context) error { return e.LedgerRelease(ctx, r) })
}

// finishLedgerRecord commits the response to h, which has run. It waits for the
// commit at most ledgerFinishWait; the commit goes on in the background.
func (e *Entry) finishLedgerRecord(h *heldRequest, resp LedgerResponse) {
	if h.ledgerRecord.Attempt == "" {
		return
	}
	if len(resp.Body) > maxLedgerBody {
		resp.Body, resp.TooLarge = nil, true
	}
	r := h.ledgerRecord
	committed := e.commitInBackground(func(ctx context.Context) error { return e.LedgerFinish(ctx, r, resp) })
	select {
	case <-committed:
	case <-e.clock.After(ledgerFinishWait):
	}
}

// ledgerFinishWait is how long a response is delayed until the ledger has stored it,
// so that a resend right after the response gets the same one.
const ledgerFinishWait = 500 * time.Millisecond

// commitInBackground runs op in the background and retries it until it succeeds or
// the entry is closed. The returned channel is closed afterwards.
func (e *Entry) commitInBackground(op func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	e.background.Go(func() {
		defer close(done)
		for delay := minLedgerRetryDelay; ; delay = min(2*delay, maxLedgerRetryDelay) {
			ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
			err := op(ctx)
			cancel()
			if err == nil {
				return
			}
			e.Counters.LedgerErrors.Add(1)
			if e.Record != nil {
				e.Record(Event{At: e.clock.Now(), Name: EventLedgerRetry, Err: errors.Unwrap(ledgerUnavailable(err))})
			}
			select {
			case <-e.clock.After(delay):
			case <-e.stop:
				return
			}
		}
	})
	return done
}
