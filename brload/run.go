package brload

import (
	"context"
	"sync"
	"time"
)

const (
	// maxRetries is the maximum number of retries of one request.
	maxRetries = 3
	// responseTimeout is how long one attempt may take after the deadline of its
	// first token.
	responseTimeout = 10 * time.Second
)

// Outcome is the result of one arrival.
type Outcome struct {
	Arrival
	Due      time.Time  // planned time of the arrival; latencies are relative to it
	Attempts []Response // attempts in order; the last one determines the outcome
}

// LastAttempt returns the result of the last attempt.
func (o Outcome) LastAttempt() Response { return o.Attempts[len(o.Attempts)-1] }

// Good reports whether the complete response arrived within the deadline.
func (o Outcome) Good() bool {
	a := o.LastAttempt()
	return a.Complete && !a.LastTokenAt.After(o.Due.Add(o.Deadline))
}

// FirstInTime reports whether the response was complete and its first token arrived
// within the deadline. A route's deadline applies to the first token.
func (o Outcome) FirstInTime() bool {
	a := o.LastAttempt()
	return a.Complete && !a.FirstTokenAt.After(o.Due.Add(o.Deadline))
}

// SendArrivals sends the arrivals open loop, each at its offset from start, and
// returns when all have ended. A refusal with a retry time is retried after that time
// with a new request ID, if the deadline and maxRetries permit. If ctx ends,
// SendArrivals omits the arrivals that have not been sent.
func SendArrivals(ctx context.Context, start time.Time, arrivals []Arrival, t Target) []Outcome {
	out := make([]Outcome, len(arrivals))
	var wg sync.WaitGroup
	sent := 0
	for i, r := range arrivals {
		due := start.Add(r.At)
		if !sleep(ctx, time.Until(due)) {
			break
		}
		sent++
		wg.Go(func() { out[i] = attempt(ctx, due, r, t) })
	}
	wg.Wait()
	return out[:sent]
}

func attempt(ctx context.Context, due time.Time, r Arrival, t Target) Outcome {
	o := Outcome{Arrival: r, Due: due}
	for {
		remaining := r
		remaining.Deadline = time.Until(due.Add(r.Deadline))
		attemptCtx, cancel := context.WithTimeout(ctx, remaining.Deadline+responseTimeout)
		a := t.Send(attemptCtx, remaining)
		cancel()
		o.Attempts = append(o.Attempts, a)
		delay := time.Duration(a.Failure.RetryAfterMS) * time.Millisecond
		if delay <= 0 || !a.NotRun() || len(o.Attempts) > maxRetries ||
			time.Now().Add(delay).After(due.Add(r.Deadline)) || !sleep(ctx, delay) {
			return o
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
