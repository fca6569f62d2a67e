package brmember

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleyroute/brwire"
)

// Timing of sessions.
const (
	HeartbeatInterval = time.Second
	SuspectAfter      = 3 * time.Second // time without a heartbeat
	OwnNetworkGrace   = 5 * time.Second // additional time while the replica suspects its own network
)

// A replica suspects its own network when more than 1/domainDivisor of the daemons
// of a failure domain or more than 1/totalDivisor of all daemons are silent,
// because a network fault is then the likelier cause. At least minSilent daemons
// must be silent, so that a single failure in a small group is reported without
// delay.
const (
	domainDivisor = 3
	totalDivisor  = 4
	minSilent     = 2
)

// Sessions holds the sessions of the daemons that send their heartbeats to one
// replica. The zero value is empty and ready to use. It is not safe for concurrent
// use.
type Sessions struct {
	sessions         map[string]*session
	networkSuspected bool
}

type session struct {
	daemon          brwire.Daemon
	revision        uint64
	leaving         bool
	lastContact     time.Time // time of the last heartbeat or acknowledgement
	repliedSequence uint64    // sequence number of the last reply
	repliedAt       time.Time // time of the last reply
	confirmedAt     time.Time // lower bound of the time of the daemon's last confirmation
	confirmedFor    time.Duration
	lost            bool
}

// SessionEvent is an input of Sessions: HeartbeatReceived, ReplySent, AckReceived,
// SessionTick or SessionClosed.
type SessionEvent interface{ sessionEvent() }

// HeartbeatReceived reports a heartbeat of a daemon.
type HeartbeatReceived struct{ Heartbeat brwire.Heartbeat }

// ReplySent reports that the reply to a heartbeat is about to be sent. It must be
// applied before the reply is sent.
type ReplySent struct {
	DaemonID string
	Sequence uint64
}

// AckReceived reports the acknowledgement of a reply. Acknowledgements from an
// earlier connection of the daemon must be discarded, since a restarted process
// starts its sequence numbers again.
type AckReceived struct{ Ack brwire.HeartbeatAck }

// SessionTick advances the time. It must occur at least every 100 ms.
type SessionTick struct{}

// SessionClosed ends the session of a daemon that moved to another replica or shut
// down in an orderly way.
type SessionClosed struct{ DaemonID string }

func (HeartbeatReceived) sessionEvent() {}
func (ReplySent) sessionEvent()         {}
func (AckReceived) sessionEvent()       {}
func (SessionTick) sessionEvent()       {}
func (SessionClosed) sessionEvent()     {}

// SessionEffect is an output of Sessions: Joined, Lost or OwnNetworkSuspected.
type SessionEffect interface{ sessionEffect() }

// Joined reports a daemon with a new session, a session after it was reported
// lost, or a new incarnation.
type Joined struct{ Daemon brwire.Daemon }

// Lost reports daemons, sorted by ID, whose sessions timed out.
type Lost struct{ DaemonIDs []string }

// OwnNetworkSuspected reports that the replica has begun or ceased to suspect its
// own network.
type OwnNetworkSuspected struct{ Suspected bool }

func (Joined) sessionEffect()              {}
func (Lost) sessionEffect()                {}
func (OwnNetworkSuspected) sessionEffect() {}

// Report describes one session to the leader. SinceContact is the time since the
// last heartbeat or acknowledgement, and ConfirmedFor is the time for which the
// daemon has been confirmed without interruption. Ages are relative to the time at
// which the replica sends the report.
type Report struct {
	DaemonID        string        `cbor:"daemon_id"`
	SinceContact    time.Duration `cbor:"silent"`
	ConfirmationAge time.Duration `cbor:"confirmed_by"` // upper bound of the age of the daemon's last confirmation
	ConfirmedFor    time.Duration `cbor:"run"`
	Revision        uint64        `cbor:"revision"`
}

// Step applies an event at now and returns the effects in order. Step panics if
// the event type is unknown.
func (s *Sessions) Step(now time.Time, ev SessionEvent) []SessionEffect {
	switch e := ev.(type) {
	case HeartbeatReceived:
		return s.heartbeat(now, e.Heartbeat)
	case ReplySent:
		if sess := s.sessions[e.DaemonID]; sess != nil {
			sess.repliedSequence, sess.repliedAt = e.Sequence, now
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

// Reports returns one report for each daemon that is not reported lost, sorted by
// ID.
func (s *Sessions) Reports(now time.Time) []Report {
	var rows []Report
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		sess := s.sessions[id]
		if sess.lost {
			continue
		}
		r := Report{DaemonID: id, SinceContact: now.Sub(sess.lastContact), Revision: sess.revision}
		if !sess.confirmedAt.IsZero() {
			r.ConfirmationAge, r.ConfirmedFor = now.Sub(sess.confirmedAt), sess.confirmedFor
		}
		rows = append(rows, r)
	}
	return rows
}

// Live returns the daemons with a live session, sorted by ID. Daemons that were
// reported lost or are leaving are excluded.
func (s *Sessions) Live() []brwire.Daemon {
	var list []brwire.Daemon
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		if sess := s.sessions[id]; !sess.lost && !sess.leaving {
			list = append(list, sess.daemon)
		}
	}
	return list
}

// HasLive reports whether the given incarnation of a daemon has a live session. It
// returns false for a daemon that was reported lost or is leaving.
func (s *Sessions) HasLive(id, incarnation string) bool {
	sess := s.sessions[id]
	return sess != nil && !sess.lost && !sess.leaving && sess.daemon.Incarnation == incarnation
}

func (s *Sessions) heartbeat(now time.Time, h brwire.Heartbeat) []SessionEffect {
	if s.sessions == nil {
		s.sessions = map[string]*session{}
	}
	id := h.Daemon.ID
	sess := s.sessions[id]
	joined := sess == nil || sess.lost || sess.daemon.Incarnation != h.Daemon.Incarnation
	if joined {
		sess = &session{}
		s.sessions[id] = sess
	}
	sess.daemon, sess.revision, sess.leaving, sess.lastContact = h.Daemon, h.Revision, h.Leaving, now
	if joined {
		return []SessionEffect{Joined{h.Daemon}}
	}
	return nil
}

// ack updates the lower bound of the daemon's confirmation time. The daemon sent
// the acknowledgement after it received the reply, hence after sess.repliedAt, and its
// confirmation was a.Age old at that moment.
func (s *Sessions) ack(now time.Time, a brwire.HeartbeatAck) {
	sess := s.sessions[a.DaemonID]
	if sess == nil || sess.lost || a.Sequence != sess.repliedSequence || sess.repliedAt.IsZero() {
		return
	}
	sess.lastContact = now
	sess.revision = max(sess.revision, a.Revision)
	if at := sess.repliedAt.Add(-a.Age); at.After(sess.confirmedAt) {
		sess.confirmedAt, sess.confirmedFor = at, a.ConfirmedFor
	}
}

func (s *Sessions) tick(now time.Time) []SessionEffect {
	silent, suspected := s.silentDaemons(now)
	var effects []SessionEffect
	if suspected != s.networkSuspected {
		s.networkSuspected = suspected
		effects = append(effects, OwnNetworkSuspected{suspected})
	}
	wait := SuspectAfter
	if suspected {
		wait += OwnNetworkGrace
	}
	var lost []string
	for _, id := range silent {
		if now.Sub(s.sessions[id].lastContact) >= wait {
			s.sessions[id].lost = true
			lost = append(lost, id)
		}
	}
	if len(lost) > 0 {
		effects = append(effects, Lost{lost})
	}
	return effects
}

// silentDaemons returns the IDs of the silent daemons that are not yet reported
// lost, sorted, and reports whether their number makes the replica suspect its own
// network.
func (s *Sessions) silentDaemons(now time.Time) (ids []string, suspected bool) {
	total, domainSize, domainSilent := 0, map[string]int{}, map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		sess := s.sessions[id]
		if sess.lost {
			continue
		}
		total++
		domainSize[sess.daemon.FailureDomain]++
		if now.Sub(sess.lastContact) >= SuspectAfter {
			ids = append(ids, id)
			domainSilent[sess.daemon.FailureDomain]++
		}
	}
	suspected = len(ids) >= minSilent && len(ids)*totalDivisor > total
	for name, n := range domainSilent {
		suspected = suspected || n >= minSilent && n*domainDivisor > domainSize[name]
	}
	return ids, suspected
}
