package brroute

import "time"

const (
	// stallTimeout is the delay beyond the expected time of progress after which an
	// endpoint becomes half-open. With a Tick every 100 ms a stall is detected
	// within 1 s.
	stallTimeout = 900 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failures after which an
	// endpoint becomes half-open.
	maxConsecutiveFailures = 3
	// minBackoff and maxBackoff limit the time between two trials of an endpoint.
	// The time doubles with each failed trial.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// trialStartTimeout is the time after which a trial that was granted but not
	// started no longer occupies the pool's trial slot.
	trialStartTimeout = 2 * time.Second
	// decodeTimeoutFactor is the factor by which the decode time of a response of
	// the maximum length may exceed its expectation before the request counts as
	// stalled.
	decodeTimeoutFactor = 2
)

// Tick detects endpoints that are silent or make no progress and removes
// endpoints that have been silent for removeAfter and have no requests in
// flight. It must be called every 100 ms.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	for i := 0; i < len(t.list); i++ {
		e := t.list[i]
		t.endLoadWait(now, e)
		if age := now.Sub(e.lastAnnounced); age >= SilentAfter && !e.silent {
			e.silent = true
			changes = append(changes, Change{EndpointID: e.EndpointID, Version: e.Version, State: Silent, Reason: "no announcement for 3 s"})
		} else if age >= removeAfter && len(e.flights) == 0 {
			t.remove(e)
			i--
			changes = append(changes, Change{EndpointID: e.EndpointID, Version: e.Version, State: Removed})
			continue
		}
		if c, ok := t.checkProgress(now, e); ok {
			changes = append(changes, c)
		}
	}
	t.index.expire(now)
	t.recomputeCapacity()
	t.updateIdleSpeed()
	t.expireTrial(now)
	return changes
}

// checkProgress updates the delay of the most overdue request of e and makes e
// half-open if a request has stalled and e makes no other progress.
func (t *Table) checkProgress(now time.Time, e *endpoint) (Change, bool) {
	e.overdue = 0
	var stalled []*Flight
	token := t.speedOf(e).tokenTime
	for _, f := range e.flights {
		late := now.Sub(f.progressDeadline(token))
		if f.started.IsZero() || late <= 0 || f.pathLost {
			continue
		}
		e.overdue = max(e.overdue, late)
		if late >= stallTimeout && !f.stalled {
			stalled = append(stalled, f)
		}
	}
	if len(stalled) == 0 || now.Sub(e.lastProgress) < stallTimeout {
		return Change{}, false
	}
	for _, f := range stalled {
		f.stalled = true
	}
	if e.halfOpen {
		return Change{}, false
	}
	t.markHalfOpen(now, e)
	return Change{EndpointID: e.EndpointID, Version: e.Version, State: HalfOpen, Reason: "no progress", Stalled: stalled}, true
}

// progressDeadline returns the time by which f is expected to make its next
// reported progress.
func (f *Flight) progressDeadline(token float64) time.Time {
	if f.firstToken.IsZero() {
		return f.started.Add(f.expectedFirstToken)
	}
	return f.firstToken.Add(decodeTimeoutFactor * seconds(token*(1+f.loadAtGrant)*float64(f.request.MaxTokens)))
}

// recordProgress records that f made progress in time.
func (t *Table) recordProgress(now time.Time, f *Flight) []Change {
	e := f.endpoint
	e.lastProgress, e.consecutiveFailures = now, 0
	if t.trial == f {
		t.trial = nil
	}
	if !e.halfOpen {
		return nil
	}
	e.halfOpen, e.backoff = false, 0
	return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: Closed, Reason: "progress"}}
}

// recordFailure counts a failure of e that ended f.
func (t *Table) recordFailure(now time.Time, e *endpoint, f *Flight) []Change {
	e.consecutiveFailures++
	if e.halfOpen {
		if f.trial {
			t.scheduleTrial(now, e)
		}
		return nil
	}
	if e.consecutiveFailures < maxConsecutiveFailures {
		return nil
	}
	t.markHalfOpen(now, e)
	return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: HalfOpen, Reason: "failures in a row"}}
}

func (t *Table) markHalfOpen(now time.Time, e *endpoint) {
	e.halfOpen, e.backoff = true, 0
	t.scheduleTrial(now, e)
}

func (t *Table) scheduleTrial(now time.Time, e *endpoint) {
	e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
	e.retryAt = now.Add(e.backoff)
}

// expireTrial frees the trial slot if the trial request stalled or wasn't started.
func (t *Table) expireTrial(now time.Time) {
	f := t.trial
	if f == nil {
		return
	}
	if f.stalled || f.started.IsZero() && now.Sub(f.granted) >= trialStartTimeout {
		t.trial = nil
		t.scheduleTrial(now, f.endpoint)
	}
}
