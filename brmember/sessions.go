package brmember

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleyroute/brwire"
)

// Times of the session rules.
const (
	HeartbeatInterval = time.Second
	SuspectAfter      = 3 * time.Second // without a heartbeat
	OwnNetworkGrace   = 5 * time.Second // further, while the replica suspects its own network
)

// Parts of a group that go silent together only when the network of the replica
// is the likelier reason: more than a third of a failure domain or more than a
// quarter of all. Together means at least two daemons, so that a single failure
// in a small group is reported without delay.
const (
	domainPart   = 3
	allPart      = 4
	silentAtOnce = 2
)

// Sessions holds the sessions of the daemons that send their heartbeats to one
// replica. Its zero value has none. It is not safe for concurrent use.
type Sessions struct {
	sessions  map[string]*session
	suspected bool
}

type session struct {
	daemon      brwire.Daemon
	revision    uint64
	leaving     bool
	heard       time.Time // last heartbeat or acknowledgement
	sequence    uint64    // of the last reply
	replied     time.Time // time of the last reply
	confirmedAt time.Time // not later than the daemon's last confirmation
	run         time.Duration
	lost        bool
}

// SessionEvent is an input of Sessions: HeartbeatReceived, Replied, AckReceived,
// SessionTick or SessionClosed.
type SessionEvent interface{ sessionEvent() }

// HeartbeatReceived is a heartbeat of a daemon.
type HeartbeatReceived struct{ Heartbeat brwire.Heartbeat }

// Replied states that a heartbeat is about to be answered. It is applied before
// the reply is sent.
type Replied struct {
	DaemonID string
	Sequence uint64
}

// AckReceived is the acknowledgement of a reply. Those of a former connection of
// the daemon must not be passed on: sequences start again with its process.
type AckReceived struct{ Ack brwire.HeartbeatAck }

// SessionTick lets time pass; it comes at least each 100 ms.
type SessionTick struct{}

// SessionClosed ends the session of a daemon that moved to another replica or
// stopped as planned.
type SessionClosed struct{ DaemonID string }

func (HeartbeatReceived) sessionEvent() {}
func (Replied) sessionEvent()           {}
func (AckReceived) sessionEvent()       {}
func (SessionTick) sessionEvent()       {}
func (SessionClosed) sessionEvent()     {}

// SessionEffect is an output of Sessions: Joined, Lost or OwnNetworkSuspected.
type SessionEffect interface{ sessionEffect() }

// Joined reports a daemon with a new or returned session, or a new incarnation.
type Joined struct{ Daemon brwire.Daemon }

// Lost reports daemons, sorted, that have been silent for too long.
type Lost struct{ DaemonIDs []string }

// OwnNetworkSuspected reports that the replica began or ceased to suspect its own network.
type OwnNetworkSuspected struct{ Suspected bool }

func (Joined) sessionEffect()              {}
func (Lost) sessionEffect()                {}
func (OwnNetworkSuspected) sessionEffect() {}

// Report is a row of what a replica tells the leader in answer to a message.
// All times are ages at the sending of the report.
type Report struct {
	DaemonID    string        `cbor:"daemon_id"`
	Silent      time.Duration `cbor:"silent"`
	ConfirmedBy time.Duration `cbor:"confirmed_by"` // upper bound of the age of the daemon's last confirmation
	Run         time.Duration `cbor:"run"`
	Revision    uint64        `cbor:"revision"`
}

// Step applies an event at now and returns what follows. Step panics on an
// unknown event.
func (s *Sessions) Step(now time.Time, ev SessionEvent) []SessionEffect {
	switch e := ev.(type) {
	case HeartbeatReceived:
		return s.heartbeat(now, e.Heartbeat)
	case Replied:
		if t := s.sessions[e.DaemonID]; t != nil {
			t.sequence, t.replied = e.Sequence, now
		}
	case AckReceived:
		s.ack(now, e.Ack)
	case SessionTick:
		return s.tick(now)
	case SessionClosed:
		delete(s.sessions, e.DaemonID)
	default:
		panic(fmt.Sprintf("brmember: unknown session event %T", ev))
	}
	return nil
}

// Reports returns a row for each daemon with a session, sorted by id.
func (s *Sessions) Reports(now time.Time) []Report {
	var rows []Report
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		t := s.sessions[id]
		if t.lost {
			continue
		}
		r := Report{DaemonID: id, Silent: now.Sub(t.heard), Revision: t.revision}
		if !t.confirmedAt.IsZero() {
			r.ConfirmedBy, r.Run = now.Sub(t.confirmedAt), t.run
		}
		rows = append(rows, r)
	}
	return rows
}

// Live returns the daemons with a session that were not reported lost, sorted
// by id.
func (s *Sessions) Live() []brwire.Daemon {
	var list []brwire.Daemon
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		if t := s.sessions[id]; !t.lost && !t.leaving {
			list = append(list, t.daemon)
		}
	}
	return list
}

// Has reports whether a process of a daemon has a session that was not reported
// lost.
func (s *Sessions) Has(id, incarnation string) bool {
	t := s.sessions[id]
	return t != nil && !t.lost && !t.leaving && t.daemon.Incarnation == incarnation
}

func (s *Sessions) heartbeat(now time.Time, h brwire.Heartbeat) []SessionEffect {
	if s.sessions == nil {
		s.sessions = map[string]*session{}
	}
	id := h.Daemon.ID
	t := s.sessions[id]
	joined := t == nil || t.lost || t.daemon.Incarnation != h.Daemon.Incarnation
	if joined {
		t = &session{}
		s.sessions[id] = t
	}
	t.daemon, t.revision, t.leaving, t.heard = h.Daemon, h.Revision, h.Leaving, now
	if joined {
		return []SessionEffect{Joined{h.Daemon}}
	}
	return nil
}

// ack bounds the daemon's confirmation. The daemon had the reply when it sent
// the acknowledgement, so it sent it after t.replied, and its confirmation is at
// most a.Age older than that.
func (s *Sessions) ack(now time.Time, a brwire.HeartbeatAck) {
	t := s.sessions[a.DaemonID]
	if t == nil || t.lost || a.Sequence != t.sequence || t.replied.IsZero() {
		return
	}
	t.heard = now
	t.revision = max(t.revision, a.Revision)
	if at := t.replied.Add(-a.Age); at.After(t.confirmedAt) {
		t.confirmedAt, t.run = at, a.Run
	}
}

func (s *Sessions) tick(now time.Time) []SessionEffect {
	silent, suspected := s.silent(now)
	var effects []SessionEffect
	if suspected != s.suspected {
		s.suspected = suspected
		effects = append(effects, OwnNetworkSuspected{suspected})
	}
	wait := SuspectAfter
	if suspected {
		wait += OwnNetworkGrace
	}
	var lost []string
	for _, id := range silent {
		if now.Sub(s.sessions[id].heard) >= wait {
			s.sessions[id].lost = true
			lost = append(lost, id)
		}
	}
	if len(lost) > 0 {
		effects = append(effects, Lost{lost})
	}
	return effects
}

// silent returns the suspected daemons that are not reported yet, sorted, and
// whether they are so many that the replica suspects its own network.
func (s *Sessions) silent(now time.Time) (ids []string, suspected bool) {
	all, domains, quiet := 0, map[string]int{}, map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		t := s.sessions[id]
		if t.lost {
			continue
		}
		all++
		domains[t.daemon.FailureDomain]++
		if now.Sub(t.heard) >= SuspectAfter {
			ids = append(ids, id)
			quiet[t.daemon.FailureDomain]++
		}
	}
	suspected = len(ids) >= silentAtOnce && len(ids)*allPart > all
	for name, n := range quiet {
		suspected = suspected || n >= silentAtOnce && n*domainPart > domains[name]
	}
	return ids, suspected
}
