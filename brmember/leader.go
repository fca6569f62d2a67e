package brmember

import "time"

// Timing of the leader.
const (
	MinConfirmedFor       = 3 * time.Second         // uninterrupted confirmation required to grant a lapsed lease
	UnconfirmedReplyAfter = 1500 * time.Millisecond // age of the last confirmation from which a daemon replies "unconfirmed"
	RemoveAfter           = 10 * time.Minute        // time without a session after which a daemon is deregistered
	driftDivisor          = 100                     // clock rates differ by less than 1/100
)

// Leader aggregates the replicas' session reports at the control leader. Each
// election creates a new one. It is not safe for concurrent use.
type Leader struct {
	electedAt time.Time
	daemons   map[string]daemonReport
}

type daemonReport struct {
	lastContact  time.Time
	confirmedAt  time.Time
	confirmedFor time.Duration
	revision     uint64
}

// NewLeader returns the state of a leader elected at now, without data about any
// daemon.
func NewLeader(now time.Time) *Leader {
	return &Leader{electedAt: now, daemons: map[string]daemonReport{}}
}

// Report applies a replica's report. The argument sent is the time, on the leader's
// clock, at which the leader requested the report. Ages in the report are subtracted
// from it, so that transit time makes the data look older, never newer.
func (l *Leader) Report(sent time.Time, rows []Report) {
	for _, r := range rows {
		d := l.daemons[r.DaemonID]
		if at := sent.Add(-r.SinceContact); at.After(d.lastContact) {
			d.lastContact, d.revision = at, r.Revision
		}
		if at := sent.Add(-r.ConfirmationAge); r.ConfirmedFor > 0 && at.After(d.confirmedAt) {
			d.confirmedAt, d.confirmedFor = at, r.ConfirmedFor
		}
		l.daemons[r.DaemonID] = d
	}
}

// Live reports whether a majority of the registered daemons has a live session.
// Otherwise the leader neither accepts a configuration change nor removes a
// daemon.
func (l *Leader) Live(now time.Time, registered []string) bool {
	return l.majority(registered, func(d daemonReport) bool { return now.Sub(d.lastContact) < SuspectAfter })
}

// Confirmed reports whether a majority of the registered daemons has been
// confirmed without interruption for MinConfirmedFor and can't have replied
// "unconfirmed" to an owner since. Otherwise no lapsed pool lease is granted.
func (l *Leader) Confirmed(now time.Time, registered []string) bool {
	return l.majority(registered, func(d daemonReport) bool {
		return d.confirmedFor >= MinConfirmedFor && now.Sub(d.confirmedAt) < UnconfirmedReplyAfter-UnconfirmedReplyAfter/driftDivisor
	})
}

// Applied reports whether a majority of the registered daemons has applied the
// revision. Only then is a configuration change reported as accepted, because the
// majority distributes it even if the whole control group is lost. Registered
// daemons are added or removed one at a time, and only once Applied is true for
// the previous addition or removal.
func (l *Leader) Applied(revision uint64, registered []string) bool {
	return l.majority(registered, func(d daemonReport) bool { return d.revision >= revision })
}

// Removable returns the registered daemons without a session for at least
// RemoveAfter, in the order given. For a daemon that is in no report to this
// leader, the time is counted from the election. Removable returns nil unless
// Live is true.
func (l *Leader) Removable(now time.Time, registered []string) []string {
	if !l.Live(now, registered) {
		return nil
	}
	var ids []string
	for _, id := range registered {
		lastContact := l.electedAt
		if d, ok := l.daemons[id]; ok && d.lastContact.After(lastContact) {
			lastContact = d.lastContact
		}
		if now.Sub(lastContact) >= RemoveAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

// majority reports whether f is true for more than half of the registered daemons.
// It is true if there are none.
func (l *Leader) majority(registered []string, f func(daemonReport) bool) bool {
	n := 0
	for _, id := range registered {
		if d, ok := l.daemons[id]; ok && f(d) {
			n++
		}
	}
	return len(registered) == 0 || 2*n > len(registered)
}
