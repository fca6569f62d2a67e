package brmember

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleyroute/brlease"
	"bramleyroute/brwire"
)

// Timing of a daemon.
const (
	UnconfirmedAfter     = 3 * time.Second         // age of the last confirmation from which a daemon rejects new work
	ExtensionDuration    = 1500 * time.Millisecond // of an exemption or a pool lease, from the time the query was sent
	FreezeAfter          = 3 * time.Second         // interval between two steps from which the process counts as frozen
	queryInterval        = time.Second             // between queries
	initialQueryInterval = 200 * time.Millisecond  // between queries until the first one succeeds
	initialQueryPeriod   = 6 * time.Second         // without confirmation; afterwards the daemon counts as isolated
	// revisionHeartbeatDelay is the maximum delay of the heartbeat that follows
	// a new revision. The reply to a configuration change and the next change of
	// the registered daemons wait until a majority has reported the revision as
	// applied.
	revisionHeartbeatDelay = 50 * time.Millisecond
	renewalMargin          = 1250 * time.Millisecond // a 3 s lease with less remaining time has missed a renewal
)

// Standing is the membership state of a daemon. It determines whether the daemon
// accepts new work.
type Standing uint8

// Membership states. Confirmed and Exempt daemons accept new work.
const (
	Starting    Standing = iota // not confirmed since the process started
	Confirmed                   // the configuration was current less than UnconfirmedAfter ago
	Unconfirmed                 // rejects new work
	Exempt                      // accepts new work although unconfirmed, since a majority of the registered daemons is unconfirmed too
)

// String returns the snake case name of s, or standing_N for an unknown value N.
func (s Standing) String() string {
	if s > Exempt {
		return fmt.Sprintf("standing_%d", uint8(s))
	}
	return [...]string{"starting", "confirmed", "unconfirmed", "exempt"}[s]
}

// Daemon is the membership state machine of one daemon. Use NewDaemon to create
// one. It is not safe for concurrent use.
type Daemon struct {
	id         string
	registered []string
	revision   uint64 // last revision applied

	sequence             uint64
	pendingHeartbeats    map[uint64]time.Time // send times of heartbeats without a reply, by sequence number
	lastHeartbeat        time.Time
	confirmedAt          time.Time // zero before the first confirmation
	confirmedSince       time.Time
	pendingConfirmations []confirmation // confirmations of revisions that are not applied yet

	round       uint64
	lastQuery   time.Time // time at which the last query was sent
	queries     []query   // queries whose replies are still accepted
	exemptUntil time.Time // end of the exemption

	holdings map[string]brlease.Holding
	lastStep time.Time // time of the previous step
	standing Standing  // last one reported by StandingChanged
}

type confirmation struct {
	at       time.Time
	revision uint64
	sequence uint64
}

type query struct {
	round   uint64
	sent    time.Time
	replies map[string]brwire.ConfirmedReply
}

// NewDaemon returns the state of daemon id, which starts at now.
func NewDaemon(now time.Time, id string) *Daemon {
	return &Daemon{id: id, pendingHeartbeats: map[uint64]time.Time{}, holdings: map[string]brlease.Holding{}, lastStep: now}
}

// Step applies an event at now and returns the effects to carry out, in order.
// Step panics if the event type is unknown.
func (d *Daemon) Step(now time.Time, ev Event) []Effect {
	effects := append(d.detectFreeze(now), d.dropExpired(now)...)
	switch e := ev.(type) {
	case Tick:
		effects = append(effects, d.tick(now)...)
	case ReplyReceived:
		effects = append(effects, d.handleReply(now, e.Reply)...)
	case Applied:
		effects = append(effects, d.handleApplied(now, e.Revision)...)
	case Registered:
		d.registered = slices.Clone(e.DaemonIDs)
	case QueryReceived:
		effects = append(effects, SendQueryReply{To: e.From, Reply: d.queryReply(now)})
	case QueryReplyReceived:
		effects = append(effects, d.handleQueryReply(now, e)...)
	case LeaseGranted:
		d.holdings[e.Lease.Name] = brlease.NewHolding(e.Lease, e.Sent)
	case LeaseRenewed:
		if h, ok := d.holdings[e.Lease.Name]; ok {
			d.holdings[e.Lease.Name] = h.WithRenewal(e.Lease, e.Sent)
		}
	case LeaseEnded:
		delete(d.holdings, e.Name)
	default:
		panic(fmt.Sprintf("brmember: unknown event %T", ev))
	}
	if s := d.Standing(now); s != d.standing {
		d.standing = s
		effects = append(effects, StandingChanged{s})
	}
	return effects
}

// Standing returns the membership state of the daemon at now.
func (d *Daemon) Standing(now time.Time) Standing {
	switch {
	case d.confirmedAt.IsZero():
		return Starting
	case now.Sub(d.confirmedAt) < UnconfirmedAfter:
		return Confirmed
	case now.Before(d.exemptUntil):
		return Exempt
	}
	return Unconfirmed
}

// AcceptsWork reports whether the daemon accepts new requests at now.
func (d *Daemon) AcceptsWork(now time.Time) bool {
	s := d.Standing(now)
	return s == Confirmed || s == Exempt
}

// Holds returns the epoch of the named lease and reports whether the daemon holds
// it at now. Callers check it before each action that requires the lease. Holds
// returns false after a freeze even before the next step.
func (d *Daemon) Holds(now time.Time, name string) (epoch uint64, ok bool) {
	h := d.holdings[name]
	return h.Epoch, h.Valid(now) && elapsed(d.lastStep, now) < FreezeAfter
}

// detectFreeze drops all leases if at least FreezeAfter has elapsed since the
// previous step. It compares the wall clock as well, because the monotonic clock
// stops while a VM is paused.
func (d *Daemon) detectFreeze(now time.Time) []Effect {
	pause := elapsed(d.lastStep, now)
	d.lastStep = now
	if pause < FreezeAfter {
		return nil
	}
	names := slices.Sorted(maps.Keys(d.holdings))
	clear(d.holdings)
	d.exemptUntil = time.Time{}
	return []Effect{Frozen{Duration: pause, Dropped: names}}
}

func (d *Daemon) dropExpired(now time.Time) []Effect {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(d.holdings)) {
		if !d.holdings[name].Valid(now) {
			delete(d.holdings, name)
			names = append(names, name)
		}
	}
	if names == nil {
		return nil
	}
	return []Effect{LeasesEnded{names}}
}

func (d *Daemon) tick(now time.Time) []Effect {
	var effects []Effect
	if d.lastHeartbeat.IsZero() || now.Sub(d.lastHeartbeat) >= HeartbeatInterval {
		d.lastHeartbeat = now
		d.sequence++
		d.pendingHeartbeats[d.sequence] = now
		for sequence, at := range d.pendingHeartbeats {
			if now.Sub(at) >= UnconfirmedAfter { // a reply would arrive too late to confirm the daemon
				delete(d.pendingHeartbeats, sequence)
			}
		}
		effects = append(effects, SendHeartbeat{Sequence: d.sequence, Revision: d.revision})
	}
	if d.queryDue(now) {
		effects = append(effects, d.sendQuery(now)...)
	}
	return effects
}

func (d *Daemon) sendQuery(now time.Time) []Effect {
	d.round++
	d.lastQuery = now
	q := query{round: d.round, sent: now, replies: map[string]brwire.ConfirmedReply{}}
	if slices.Contains(d.registered, d.id) {
		q.replies[d.id] = d.queryReply(now)
	}
	d.queries = slices.DeleteFunc(d.queries, func(q query) bool { return now.Sub(q.sent) >= ExtensionDuration })
	d.queries = append(d.queries, q)
	others := slices.DeleteFunc(slices.Clone(d.registered), func(id string) bool { return id == d.id })
	return append([]Effect{QueryPeers{Round: d.round, To: others}}, d.evaluate(q)...)
}

func (d *Daemon) queryDue(now time.Time) bool {
	if d.confirmedAt.IsZero() {
		return false
	}
	age := now.Sub(d.confirmedAt)
	if age < UnconfirmedReplyAfter && !d.renewalFailed(now) {
		return false
	}
	interval := queryInterval
	if age < initialQueryPeriod && d.exemptUntil.Before(now) {
		interval = initialQueryInterval
	}
	return d.lastQuery.IsZero() || now.Sub(d.lastQuery) >= interval
}

func (d *Daemon) renewalFailed(now time.Time) bool {
	for _, h := range d.holdings {
		if h.Until.Sub(now) < renewalMargin {
			return true
		}
	}
	return false
}

func (d *Daemon) handleReply(now time.Time, r brwire.HeartbeatReply) []Effect {
	sent, ok := d.pendingHeartbeats[r.Sequence]
	delete(d.pendingHeartbeats, r.Sequence)
	if !ok || !r.Confirmed || r.Age < 0 {
		return nil
	}
	c := confirmation{at: sent.Add(-r.Age), revision: r.Revision, sequence: r.Sequence}
	if c.revision > d.revision {
		d.pendingConfirmations = append(d.pendingConfirmations, c)
		return []Effect{NewerRevisionFound{Revision: c.revision}}
	}
	return d.confirm(now, c)
}

func (d *Daemon) handleApplied(now time.Time, revision uint64) []Effect {
	if revision < d.revision {
		return nil
	}
	if latest := now.Add(revisionHeartbeatDelay - HeartbeatInterval); revision > d.revision && d.lastHeartbeat.After(latest) {
		d.lastHeartbeat = latest
	}
	d.revision = revision
	var effects []Effect
	remaining := d.pendingConfirmations[:0]
	for _, c := range d.pendingConfirmations {
		switch {
		case c.revision <= revision:
			effects = append(effects, d.confirm(now, c)...)
		case now.Sub(c.at) < UnconfirmedAfter:
			remaining = append(remaining, c)
		}
	}
	d.pendingConfirmations = remaining
	return effects
}

func (d *Daemon) confirm(now time.Time, c confirmation) []Effect {
	if !c.at.After(d.confirmedAt) || now.Sub(c.at) >= UnconfirmedAfter {
		return nil
	}
	if d.confirmedAt.IsZero() || now.Sub(d.confirmedAt) >= UnconfirmedAfter {
		d.confirmedSince = now
	}
	d.confirmedAt = c.at
	return []Effect{SendAck{brwire.HeartbeatAck{DaemonID: d.id, Sequence: c.sequence, Revision: d.revision, Age: now.Sub(c.at), ConfirmedFor: now.Sub(d.confirmedSince)}}}
}

// queryReply returns the reply to another daemon's confirmation query. A reply of
// "unconfirmed" restarts the period of uninterrupted confirmation, since the
// querying daemon may then extend its leases.
func (d *Daemon) queryReply(now time.Time) brwire.ConfirmedReply {
	r := brwire.ConfirmedReply{Ready: !d.confirmedAt.IsZero(), Revision: d.revision}
	r.Confirmed = r.Ready && now.Sub(d.confirmedAt) < UnconfirmedReplyAfter
	if !r.Confirmed {
		d.confirmedSince = now
	}
	return r
}

func (d *Daemon) handleQueryReply(now time.Time, e QueryReplyReceived) []Effect {
	i := slices.IndexFunc(d.queries, func(q query) bool { return q.round == e.Round })
	if i < 0 || now.Sub(d.queries[i].sent) >= ExtensionDuration || !slices.Contains(d.registered, e.From) {
		return nil
	}
	var effects []Effect
	if e.Reply.Revision > d.revision {
		effects = append(effects, NewerRevisionFound{From: e.From, Revision: e.Reply.Revision})
	}
	d.queries[i].replies[e.From] = e.Reply
	return append(effects, d.evaluate(d.queries[i])...)
}

// evaluate updates the exemption and extends the leases according to the replies
// to q. Expired leases were dropped at the beginning of the step, so they are not
// extended. A reply with a newer revision does not count as unconfirmed, since
// the set of registered daemons may have changed.
func (d *Daemon) evaluate(q query) []Effect {
	unconfirmed, exempt := 0, true
	for _, r := range q.replies {
		if !r.Ready {
			continue
		}
		switch {
		case r.Confirmed || r.Revision > d.revision:
			exempt = false // not counted toward an extension either
		default:
			unconfirmed++
		}
	}
	if !exempt {
		d.exemptUntil = time.Time{}
	}
	if 2*unconfirmed <= len(d.registered) {
		return nil
	}
	until := q.sent.Add(ExtensionDuration)
	if exempt && until.After(d.exemptUntil) {
		d.exemptUntil = until
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(d.holdings)) {
		if h := d.holdings[name].Extended(until); h != d.holdings[name] {
			d.holdings[name] = h
			names = append(names, name)
		}
	}
	if names == nil {
		return nil
	}
	return []Effect{LeasesExtended{Names: names, Until: until}}
}

// elapsed returns the time from a to b on the monotonic or on the wall clock,
// whichever is longer.
func elapsed(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }
