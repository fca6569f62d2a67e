package brmember

import "time"

// Times of the leader's rules.
const (
	ConfirmedRun = 3 * time.Second         // uninterrupted confirmation that a grant of a lapsed lease needs
	AnswerAfter  = 1500 * time.Millisecond // without confirmation a daemon answers that it is unconfirmed
	RemoveAfter  = 10 * time.Minute        // without a session a daemon is removed from the registered daemons
	driftDivisor = 100                     // clocks run apart by less than 1/100
)

// Leader collects the replicas' reports. A new one is made with each election.
// It is not safe for concurrent use.
type Leader struct {
	elected time.Time
	daemons map[string]reported
}

type reported struct {
	heard       time.Time
	confirmedAt time.Time
	run         time.Duration
	revision    uint64
}

// NewLeader returns the state of a leader elected at now, which knows nothing
// about any daemon.
func NewLeader(now time.Time) *Leader {
	return &Leader{elected: now, daemons: map[string]reported{}}
}

// Report applies a replica's report. Asked is the leader's time when it sent
// the message that the report answers, so the ages in the report are bounds.
func (l *Leader) Report(asked time.Time, rows []Report) {
	for _, r := range rows {
		d := l.daemons[r.DaemonID]
		if at := asked.Add(-r.Silent); at.After(d.heard) {
			d.heard, d.revision = at, r.Revision
		}
		if at := asked.Add(-r.ConfirmedBy); r.Run > 0 && at.After(d.confirmedAt) {
			d.confirmedAt, d.run = at, r.Run
		}
		l.daemons[r.DaemonID] = d
	}
}

// Live reports whether a majority of the registered daemons has a live session.
// A configuration change is accepted, and a daemon removed, only then.
func (l *Leader) Live(now time.Time, registered []string) bool {
	return l.majority(registered, func(d reported) bool { return now.Sub(d.heard) < SuspectAfter })
}

// Confirmed reports whether a majority of the registered daemons has been
// confirmed without interruption for ConfirmedRun and can't have told an owner
// otherwise since. A lapsed pool lease is granted only then.
func (l *Leader) Confirmed(now time.Time, registered []string) bool {
	return l.majority(registered, func(d reported) bool {
		return d.run >= ConfirmedRun && now.Sub(d.confirmedAt) < AnswerAfter-AnswerAfter/driftDivisor
	})
}

// Applied reports whether a majority of the registered daemons has applied the
// revision. A configuration change is answered as accepted only then: after the
// loss of the whole control group the majority passes it on. The registered
// daemons are changed, by one at a time, only when it holds for their last
// change.
func (l *Leader) Applied(revision uint64, registered []string) bool {
	return l.majority(registered, func(d reported) bool { return d.revision >= revision })
}

// Removable returns the registered daemons whose session has been lost for
// RemoveAfter, in the order given. A daemon that this leader never heard of
// counts from the election.
func (l *Leader) Removable(now time.Time, registered []string) []string {
	if !l.Live(now, registered) {
		return nil
	}
	var ids []string
	for _, id := range registered {
		heard := l.elected
		if d, ok := l.daemons[id]; ok && d.heard.After(heard) {
			heard = d.heard
		}
		if now.Sub(heard) >= RemoveAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

// majority reports whether f holds for more than half of the registered
// daemons; of none it holds.
func (l *Leader) majority(registered []string, f func(reported) bool) bool {
	n := 0
	for _, id := range registered {
		if d, ok := l.daemons[id]; ok && f(d) {
			n++
		}
	}
	return len(registered) == 0 || 2*n > len(registered)
}
