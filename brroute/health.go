package brroute

import "time"

const (
	// stallAfter is the time without progress, beyond what was expected, after
	// which an endpoint is half-open. With a Tick each 100 ms a stall is noticed
	// within 1 s.
	stallAfter = 900 * time.Millisecond
	// failuresInRow is the number of failures in a row after which an endpoint
	// is half-open.
	failuresInRow = 3
	// firstBackoff and lastBackoff bound the time between two trials of one
	// endpoint; it doubles with each failed trial.
	firstBackoff = time.Second
	lastBackoff  = 16 * time.Second
	// trialWindow is how long a trial whose start was never reported holds the
	// pool's trial slot.
	trialWindow = 2 * time.Second
	// decodeMargin is by how much a whole answer may exceed the time that its
	// token bound explains before it counts as stalled.
	decodeMargin = 2
)

// Tick notices endpoints that are silent or make no progress and forgets those
// that are gone. It is due each 100 ms.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	for i := 0; i < len(t.list); i++ {
		e := t.list[i]
		t.endLoad(now, e)
		if age := now.Sub(e.heard); age >= SilentAfter && !e.silent {
			e.silent = true
			changes = append(changes, Change{EndpointID: e.EndpointID, Version: e.Version, State: Silent, Reason: "no announcement for 3 s"})
		} else if age >= forgetAfter && len(e.flights) == 0 {
			t.remove(e)
			i--
			changes = append(changes, Change{EndpointID: e.EndpointID, Version: e.Version, State: Removed})
			continue
		}
		if c, ok := t.checkProgress(now, e); ok {
			changes = append(changes, c)
		}
	}
	t.index.age(now)
	t.measureCapacity()
	t.measureIdle()
	t.endTrial(now)
	return changes
}

// checkProgress measures by how much the most overdue request of e is late and
// makes e half-open when that is too much.
func (t *Table) checkProgress(now time.Time, e *endpoint) (Change, bool) {
	e.overdue = 0
	var stalled []*Flight
	token := t.speedOf(e).token
	for _, f := range e.flights {
		late := now.Sub(f.due(token))
		if f.started.IsZero() || late <= 0 {
			continue
		}
		e.overdue = max(e.overdue, late)
		if late >= stallAfter && !f.stalled {
			stalled = append(stalled, f)
		}
	}
	if len(stalled) == 0 || now.Sub(e.progress) < stallAfter {
		return Change{}, false
	}
	for _, f := range stalled {
		f.stalled = true
	}
	if e.halfOpen {
		return Change{}, false
	}
	t.open(now, e)
	return Change{EndpointID: e.EndpointID, Version: e.Version, State: HalfOpen, Reason: "no progress", Stalled: stalled}, true
}

// due returns when f should have made its next reported progress.
func (f *Flight) due(token float64) time.Time {
	if f.first.IsZero() {
		return f.started.Add(f.expected)
	}
	return f.first.Add(decodeMargin * seconds(token*(1+f.load)*float64(f.request.MaxTokens)))
}

// progressed records progress in time of a flight.
func (t *Table) progressed(now time.Time, f *Flight) []Change {
	e := f.endpoint
	e.progress, e.failures = now, 0
	if t.trial == f {
		t.trial = nil
	}
	if !e.halfOpen {
		return nil
	}
	e.halfOpen, e.backoff = false, 0
	return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: Closed, Reason: "progress"}}
}

// failed counts a failure of e that ended f.
func (t *Table) failed(now time.Time, e *endpoint, f *Flight) []Change {
	e.failures++
	if e.halfOpen {
		if f.trial {
			t.postpone(now, e)
		}
		return nil
	}
	if e.failures < failuresInRow {
		return nil
	}
	t.open(now, e)
	return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: HalfOpen, Reason: "failures in a row"}}
}

func (t *Table) open(now time.Time, e *endpoint) {
	e.halfOpen, e.backoff = true, 0
	t.postpone(now, e)
}

func (t *Table) postpone(now time.Time, e *endpoint) {
	e.backoff = min(lastBackoff, max(firstBackoff, 2*e.backoff))
	e.retryAt = now.Add(e.backoff)
}

// endTrial frees the trial slot when its request stalled or never started.
func (t *Table) endTrial(now time.Time) {
	f := t.trial
	if f == nil {
		return
	}
	if f.stalled || f.started.IsZero() && now.Sub(f.granted) >= trialWindow {
		t.trial = nil
		t.postpone(now, f.endpoint)
	}
}
