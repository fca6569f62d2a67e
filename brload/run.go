package brload

import (
	"context"
	"sync"
	"time"
)

const (
	// retryLimit bounds the retries of one request.
	retryLimit = 3
	// answerTimeout bounds one try beyond the deadline of its first token.
	answerTimeout = 10 * time.Second
)

// Outcome is what became of one arrival.
type Outcome struct {
	Arrival
	Due   time.Time // when the plan sends it; latencies count from here
	Tries []Answer  // in their order; the last one decides
}

// Last returns the answer that decides.
func (o Outcome) Last() Answer { return o.Tries[len(o.Tries)-1] }

// Good reports whether the whole answer came within the deadline.
func (o Outcome) Good() bool {
	a := o.Last()
	return a.Whole && !a.Last.After(o.Due.Add(o.Deadline))
}

// FirstInTime reports whether the answer was whole and its first token came
// within the deadline, which is what a route's deadline bounds.
func (o Outcome) FirstInTime() bool {
	a := o.Last()
	return a.Whole && !a.First.After(o.Due.Add(o.Deadline))
}

// Play sends the arrivals open loop, each at its time after start, and returns
// when all of them have ended. A refusal that names a time is retried after it,
// with a new request id, while the deadline allows. When ctx ends, what has not
// been sent is left out.
func Play(ctx context.Context, start time.Time, arrivals []Arrival, t Target) []Outcome {
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
		left := r
		left.Deadline = time.Until(due.Add(r.Deadline))
		try, cancel := context.WithTimeout(ctx, left.Deadline+answerTimeout)
		a := t.Send(try, left)
		cancel()
		o.Tries = append(o.Tries, a)
		pause := time.Duration(a.Failure.RetryAfterMS) * time.Millisecond
		if pause <= 0 || !a.NotRun() || len(o.Tries) > retryLimit ||
			time.Now().Add(pause).After(due.Add(r.Deadline)) || !sleep(ctx, pause) {
			return o
		}
	}
}

// sleep reports false when ctx ends first.
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
