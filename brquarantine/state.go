package brquarantine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is the time after which evidence lapses that nothing was added to. It is
	// longer than maxPause, so that the result of a trial renews it.
	Lifetime = 30 * time.Minute
	// minLost is the number of starts of endpoints that must be lost under a part before
	// it is quarantined. One crash, or two at the same time, hit bystanders as well.
	minLost = 3
	// firstPause is the time from the evidence that quarantines a part until a request
	// with it may try an endpoint again. A bystander is free again soon.
	firstPause = 5 * time.Second
	// pauseFactor is the ratio of the pauses after two successive lost starts, and
	// maxPause the longest pause. An endpoint that crashed may take minutes to load its
	// model again.
	pauseFactor = 8
	maxPause    = 10 * time.Minute
	// pauseSpread is the fraction by which the pauses of two daemons may differ, so that
	// one of them tries first.
	pauseSpread = 0.5
	// trialPause is the pause while a trial is in progress.
	trialPause = time.Second
	// maxParts limits the number of parts with evidence. Beyond it the part with the oldest
	// evidence that isn't quarantined is forgotten.
	maxParts = 1000
)

// Change is new evidence of one part, to be published with a lifetime of Lifetime.
type Change struct {
	Part        string
	Evidence    Evidence
	Quarantined bool // the part is quarantined from now on
	Released    bool // the part was quarantined until now
}

// State is what one daemon knows of the parts of prompts. The zero value is not usable;
// see New. State is not safe for concurrent use.
type State struct {
	daemon    string
	suspects  map[string]*suspect // by part
	succeeded recentSet
}

// suspect is a part with evidence.
type suspect struct {
	evidence Evidence
	changed  time.Time // time of the latest evidence
	retryAt  time.Time // end of the pause; set while the part is quarantined
	trying   bool      // a request with the part is at an endpoint after the pause
}

func (s *suspect) quarantined() bool { return s != nil && s.evidence.Open() >= minLost }

// New returns the State of a daemon, without evidence. The pauses of daemons with
// different names end at different times.
func New(daemon string) *State { return &State{daemon: daemon, suspects: map[string]*suspect{}} }

// RunLost records that a start of an endpoint was lost under a request with the given
// parts before the request made progress. It returns the evidence to publish.
func (s *State) RunLost(now time.Time, parts []string, start string) []Change {
	var changes []Change
	for _, part := range parts {
		if !s.succeeded.contains(now, part) {
			changes = s.update(changes, now, part, s.evidence(part).WithLost(start))
		}
	}
	return changes
}

// RunProgressed records that a request with the given parts has made progress: the
// endpoint survived its beginning. It returns the evidence to publish.
func (s *State) RunProgressed(now time.Time, parts []string) []Change {
	var changes []Change
	for _, part := range parts {
		s.succeeded.add(now, part)
		if e := s.evidence(part); e.Open() > 0 {
			changes = s.update(changes, now, part, e.WithCleared())
		}
	}
	return changes
}

// Merge adds evidence of another daemon that is age old. It returns what has changed;
// publishing that again has no effect if the other daemon knows as much.
func (s *State) Merge(now time.Time, part string, e Evidence, age time.Duration) []Change {
	merged := s.evidence(part).WithMerged(e)
	// A single lost endpoint has no consequence. Clearing it at once would make each
	// daemon publish for each crash.
	if merged.Open() > 1 && s.succeeded.contains(now, part) {
		merged = merged.WithCleared()
	}
	at := now
	if merged.Equal(e) {
		at = now.Add(-age)
	}
	return s.update(nil, at, part, merged)
}

// Forget removes the evidence of a part that has lapsed.
func (s *State) Forget(part string) { delete(s.suspects, part) }

// Check returns the first of the parts that is quarantined and the time until a request
// with it may try an endpoint. The part is empty if a request with all parts may do so
// now.
func (s *State) Check(now time.Time, parts []string) (part string, pause time.Duration) {
	for _, p := range parts {
		e := s.suspects[p]
		switch {
		case !e.quarantined():
		case now.Before(e.retryAt):
			return p, e.retryAt.Sub(now)
		case e.trying:
			return p, trialPause
		}
	}
	return "", 0
}

// Begin records that a request with the given parts is sent to an endpoint, after Check
// has returned no part. It returns the parts for which this is a trial: until they are
// passed to End, Check holds back other requests with them.
func (s *State) Begin(parts []string) (trials []string) {
	for _, p := range parts {
		if e := s.suspects[p]; e.quarantined() && !e.trying {
			e.trying = true
			trials = append(trials, p)
		}
	}
	return trials
}

// End records the end of a request for which Begin returned trials.
func (s *State) End(trials []string) {
	for _, p := range trials {
		if e := s.suspects[p]; e != nil {
			e.trying = false
		}
	}
}

// Quarantined returns the evidence of the quarantined parts, by part.
func (s *State) Quarantined() map[string]Evidence {
	all := map[string]Evidence{}
	for part, e := range s.suspects {
		if e.quarantined() {
			all[part] = e.evidence
		}
	}
	return all
}

func (s *State) evidence(part string) Evidence {
	if e := s.suspects[part]; e != nil {
		return e.evidence
	}
	return Evidence{}
}

// update stores the evidence of a part as of the time at, and appends the change if
// there is one.
func (s *State) update(changes []Change, at time.Time, part string, e Evidence) []Change {
	old := s.suspects[part]
	if s.evidence(part).Equal(e) {
		return changes
	}
	if old == nil {
		s.makeRoom()
		part = strings.Clone(part) // the parts of a request share the memory of its header
	}
	updated := &suspect{evidence: e, changed: at}
	if updated.quarantined() {
		updated.retryAt = at.Add(s.pause(part, e.Open()))
	}
	s.suspects[part] = updated
	return append(changes, Change{
		Part: part, Evidence: e,
		Quarantined: updated.quarantined() && !old.quarantined(), Released: old.quarantined() && !updated.quarantined(),
	})
}

// makeRoom forgets the part with the oldest evidence that isn't quarantined if there are
// maxParts.
func (s *State) makeRoom() {
	if len(s.suspects) < maxParts {
		return
	}
	oldest := ""
	for part, e := range s.suspects {
		if !e.quarantined() && (oldest == "" || e.changed.Before(s.suspects[oldest].changed)) {
			oldest = part
		}
	}
	delete(s.suspects, oldest)
}

// pause returns the pause of a part after a number of lost starts.
func (s *State) pause(part string, lost int) time.Duration {
	d := firstPause
	for range lost - minLost {
		d = min(maxPause, d*pauseFactor)
	}
	h := xxhash.Sum64String(s.daemon + "/" + part)
	spread := pauseSpread * float64(h>>11) / float64(1<<53)
	return d + time.Duration(spread*float64(d))
}
