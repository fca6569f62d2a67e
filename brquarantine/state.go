package brquarantine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineLifetime is the time after which the evidence on a quarantined subject, or
	// on a part, lapses that nothing was added to. It is longer than maxPause, so that the
	// result of a trial renews it.
	quarantineLifetime = 30 * time.Minute
	// suspicionLifetime is the same for a request that isn't quarantined. Each crash makes
	// suspects of all requests at the endpoint, most of which never come again.
	suspicionLifetime = 2 * time.Minute
	// minLostPart is the number of starts of endpoints that must be lost under a part
	// before it is quarantined. One crash, or two at the same time, hit bystanders as well.
	minLostPart = 3
	// minLostRequest is the same for a request. Few bystanders of one crash are at the next
	// endpoint that crashes, and each crash takes a part of the capacity for seconds.
	minLostRequest = 2
	// firstPause is the time from the evidence that quarantines a subject until a request
	// with it may try an endpoint again. A bystander is free again soon.
	firstPause = 5 * time.Second
	// pauseFactor is the ratio of the pauses after two successive lost starts, and
	// maxPause the longest pause. An endpoint that crashed may take minutes to load its
	// model again.
	pauseFactor = 8
	maxPause    = 10 * time.Minute
	// pauseSpread is the greatest difference between the pauses of two daemons. In a trial
	// the others have to learn of a crash before they try as well, also if the request
	// comes several times a second.
	pauseSpread = 15 * time.Second
	// trialPause is the pause while a trial is in progress.
	trialPause = time.Second
	// maxSubjects limits the number of subjects with evidence. Beyond it the one with the
	// oldest evidence that isn't quarantined is forgotten.
	maxSubjects = 2000
)

// Lifetime returns the time after which the evidence e on a subject lapses.
func Lifetime(s Subject, e Evidence) time.Duration {
	if s.Kind == KindRequest && e.Open() < minLost(s.Kind) {
		return suspicionLifetime
	}
	return quarantineLifetime
}

// minLost returns the number of open lost starts from which on a subject may be
// quarantined.
func minLost(k Kind) int {
	if k == KindRequest {
		return minLostRequest
	}
	return minLostPart
}

// Change is new evidence on one subject, to be published for its Lifetime.
type Change struct {
	Subject     Subject
	Evidence    Evidence
	Quarantined bool // the subject is quarantined from now on
	Released    bool // the subject was quarantined until now
}

// State is what one daemon knows of the requests and the parts of prompts under which
// endpoints crash. The zero value is not usable; see New. State is not safe for concurrent
// use.
type State struct {
	daemon    string
	suspects  map[Subject]*suspect
	fatal     map[Subject]*suspect // the quarantined requests
	succeeded recentSet
}

// suspect is a subject with evidence.
type suspect struct {
	subject  Subject
	evidence Evidence
	changed  time.Time // time of the latest evidence
	retryAt  time.Time // end of the pause; set if minLost starts are open
	trying   bool      // a request with the subject is at an endpoint after the pause
}

// New returns the State of a daemon, without evidence. The pauses of daemons with
// different names end at different times.
func New(daemon string) *State {
	return &State{daemon: daemon, suspects: map[Subject]*suspect{}, fatal: map[Subject]*suspect{}}
}

// RunLost records that a start of an endpoint was lost under r before it made progress.
// It returns the evidence to publish.
func (s *State) RunLost(now time.Time, r Request, start string) []Change {
	var changes []Change
	for _, subject := range r.subjects() {
		if !s.succeeded.contains(now, subject) {
			changes = s.update(changes, now, subject, s.evidence(subject).WithLost(start))
		}
	}
	return changes
}

// RunProgressed records that r has made progress: the endpoint survived its beginning. It
// returns the evidence to publish.
func (s *State) RunProgressed(now time.Time, r Request) []Change {
	var changes []Change
	for _, subject := range r.subjects() {
		s.succeeded.add(now, subject)
		if e := s.evidence(subject); e.Open() > 0 {
			changes = s.update(changes, now, subject, e.WithCleared())
		}
	}
	return changes
}

// Merge adds evidence of another daemon that is age old. It returns what has changed;
// publishing that again has no effect if the other daemon knows as much.
func (s *State) Merge(now time.Time, subject Subject, e Evidence, age time.Duration) []Change {
	merged := s.evidence(subject).WithMerged(e)
	// A single lost endpoint has no consequence. Clearing it at once would make each
	// daemon publish for each crash.
	if merged.Open() > 1 && s.succeeded.contains(now, subject) {
		merged = merged.WithCleared()
	}
	at := now
	if merged.Equal(e) {
		at = now.Add(-age)
	}
	return s.update(nil, at, subject, merged)
}

// Forget removes the evidence on a subject that has lapsed.
func (s *State) Forget(subject Subject) {
	delete(s.suspects, subject)
	delete(s.fatal, subject)
}

// Check returns the first subject of r that is quarantined, and the time until r may try
// an endpoint. It reports false if r may do so now.
func (s *State) Check(now time.Time, r Request) (held Subject, pause time.Duration, found bool) {
	for _, subject := range r.subjects() {
		e := s.suspects[subject]
		switch {
		case !s.quarantined(e):
		case now.Before(e.retryAt):
			return subject, e.retryAt.Sub(now), true
		case e.trying:
			return subject, trialPause, true
		}
	}
	return Subject{}, 0, false
}

// Begin records that r is sent to a start of an endpoint, after Check has found nothing. It
// returns the subjects for which this is a trial: until they are passed to End, Check holds
// back other requests with them. The start counts as lost from the beginning of a trial, so
// that no other daemon tries beside it, not even for the caller that comes again at once.
func (s *State) Begin(now time.Time, r Request, start string) (trials []Subject, changes []Change) {
	for _, subject := range r.subjects() {
		e := s.suspects[subject]
		if !s.quarantined(e) || e.trying {
			continue
		}
		changes = s.update(changes, now, subject, e.evidence.WithLost(start))
		s.suspects[subject].trying = true
		trials = append(trials, subject)
	}
	return trials, changes
}

// End records the end of a request for which Begin returned trials. A trial that neither
// made progress nor lost the endpoint tells nothing, and the next one may follow.
func (s *State) End(now time.Time, trials []Subject, start string, conclusive bool) (changes []Change) {
	for _, subject := range trials {
		e := s.suspects[subject]
		if e == nil {
			continue
		}
		e.trying = false
		if !conclusive {
			changes = s.update(changes, now, subject, e.evidence.WithRetracted(start))
			s.suspects[subject].retryAt = now
		}
	}
	return changes
}

// Quarantined returns the evidence on the quarantined subjects.
func (s *State) Quarantined() map[Subject]Evidence {
	all := map[Subject]Evidence{}
	for subject, e := range s.suspects {
		if s.quarantined(e) {
			all[subject] = e.evidence
		}
	}
	return all
}

// quarantined reports whether e is blamed for crashes. A part isn't as long as each of
// its lost starts was lost under a quarantined request as well: these are held back, and
// the part may merely have stood beside them. The next loss without one blames it.
func (s *State) quarantined(e *suspect) bool {
	if e == nil || e.evidence.Open() < minLost(e.subject.Kind) {
		return false
	}
	return e.subject.Kind == KindRequest || e.evidence.openExcept(s.explained) > 0
}

// explained reports whether a start was lost under a quarantined request.
func (s *State) explained(start string) bool {
	for _, e := range s.fatal {
		if e.evidence.lost(start) {
			return true
		}
	}
	return false
}

func (s *State) evidence(subject Subject) Evidence {
	if e := s.suspects[subject]; e != nil {
		return e.evidence
	}
	return Evidence{}
}

// update stores the evidence on a subject as of the time at, and appends the change if
// there is one.
func (s *State) update(changes []Change, at time.Time, subject Subject, e Evidence) []Change {
	old := s.suspects[subject]
	if s.evidence(subject).Equal(e) {
		return changes
	}
	was := s.quarantined(old)
	if old == nil {
		s.makeRoom()
		subject.ID = strings.Clone(subject.ID) // it may share the memory of a header
	}
	updated := &suspect{subject: subject, evidence: e, changed: at}
	if e.Open() >= minLost(subject.Kind) {
		updated.retryAt = at.Add(s.pause(subject, e.Open()))
	}
	s.suspects[subject] = updated
	is := s.quarantined(updated)
	delete(s.fatal, subject)
	if is && subject.Kind == KindRequest {
		s.fatal[subject] = updated
	}
	return append(changes, Change{Subject: subject, Evidence: e, Quarantined: is && !was, Released: was && !is})
}

// makeRoom forgets the subject with the oldest evidence that isn't quarantined if there
// are maxSubjects.
func (s *State) makeRoom() {
	if len(s.suspects) < maxSubjects {
		return
	}
	var oldest *suspect
	for _, e := range s.suspects {
		if !s.quarantined(e) && (oldest == nil || e.changed.Before(oldest.changed)) {
			oldest = e
		}
	}
	if oldest != nil {
		delete(s.suspects, oldest.subject)
	}
}

// pause returns the pause of a subject after a number of lost starts.
func (s *State) pause(subject Subject, lost int) time.Duration {
	d := firstPause
	for range lost - minLost(subject.Kind) {
		d = min(maxPause, d*pauseFactor)
	}
	h := xxhash.Sum64String(s.daemon + "/" + subject.String())
	return d + time.Duration(float64(h>>11)/float64(1<<53)*float64(pauseSpread))
}
