package brmember

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleyroute/brlease"
	"bramleyroute/brwire"
)

// Times of the daemon's rules.
const (
	UnconfirmedAfter = 3 * time.Second         // without confirmation a daemon takes no new work
	Extension        = 1500 * time.Millisecond // of an exemption or a pool lease, from the sending of the question
	FreezeAfter      = 3 * time.Second         // between two steps the process is taken to have been frozen
	askInterval      = time.Second             // between questions
	askSooner        = 200 * time.Millisecond  // between questions until the first succeeds
	askSoonerFor     = 6 * time.Second         // without confirmation; then the daemon is taken to be cut off
	// appliedBeat is how soon the next heartbeat follows a new revision: the
	// answer to a change and the next change of the registered daemons wait for
	// the news that a majority has applied it.
	appliedBeat   = 50 * time.Millisecond
	renewalMissed = 1250 * time.Millisecond // left of a lease of 3 s only if a renewal failed
)

// Standing is what a daemon may do.
type Standing uint8

// The standings. Confirmed and Exempt daemons take new work.
const (
	Starting    Standing = iota // not confirmed since the start
	Confirmed                   // up to date less than UnconfirmedAfter ago
	Unconfirmed                 // takes no new work
	Exempt                      // unconfirmed like the majority of the registered daemons
)

// String returns the snake case name of s.
func (s Standing) String() string {
	if s > Exempt {
		return fmt.Sprintf("standing_%d", uint8(s))
	}
	return [...]string{"starting", "confirmed", "unconfirmed", "exempt"}[s]
}

// Daemon is the reducer of one daemon. NewDaemon makes it. It is not safe for
// concurrent use.
type Daemon struct {
	id         string
	registered []string
	revision   uint64 // applied

	sequence    uint64
	sent        map[uint64]time.Time // heartbeats without a reply
	lastBeat    time.Time
	confirmedAt time.Time // zero before the first confirmation
	runStart    time.Time
	pending     []confirmation // replies with a revision that is not applied yet

	round     uint64
	asked     time.Time  // sending of the last question
	questions []question // whose answers still count
	exempted  time.Time  // end of the exemption

	holdings map[string]brlease.Holding
	last     time.Time // previous step
	standing Standing  // last reported
}

type confirmation struct {
	at       time.Time
	revision uint64
	sequence uint64
}

type question struct {
	round   uint64
	sent    time.Time
	answers map[string]brwire.ConfirmedReply
}

// NewDaemon returns the reducer of a daemon that starts at now.
func NewDaemon(now time.Time, id string) *Daemon {
	return &Daemon{id: id, sent: map[uint64]time.Time{}, holdings: map[string]brlease.Holding{}, last: now}
}

// Step applies an event at now and returns what is to be done, in this order.
// Step panics on an unknown event.
func (d *Daemon) Step(now time.Time, ev Event) []Effect {
	effects := append(d.detectFreeze(now), d.dropEnded(now)...)
	switch e := ev.(type) {
	case Tick:
		effects = append(effects, d.tick(now)...)
	case ReplyReceived:
		effects = append(effects, d.reply(now, e.Reply)...)
	case Applied:
		effects = append(effects, d.applied(now, e.Revision)...)
	case Registered:
		d.registered = slices.Clone(e.DaemonIDs)
	case Asked:
		effects = append(effects, Answer{To: e.From, Reply: d.answer(now)})
	case AnswerReceived:
		effects = append(effects, d.answered(now, e)...)
	case LeaseGranted:
		d.holdings[e.Lease.Name] = brlease.Hold(e.Lease, e.Sent)
	case LeaseRenewed:
		if h, ok := d.holdings[e.Lease.Name]; ok {
			d.holdings[e.Lease.Name] = h.With(e.Lease, e.Sent)
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

// Standing returns what the daemon may do at now.
func (d *Daemon) Standing(now time.Time) Standing {
	switch {
	case d.confirmedAt.IsZero():
		return Starting
	case now.Sub(d.confirmedAt) < UnconfirmedAfter:
		return Confirmed
	case now.Before(d.exempted):
		return Exempt
	}
	return Unconfirmed
}

// TakesWork reports whether the daemon accepts new requests at now.
func (d *Daemon) TakesWork(now time.Time) bool {
	s := d.Standing(now)
	return s == Confirmed || s == Exempt
}

// Holds returns the epoch in which the daemon holds a lease at now. Callers ask
// before each action that needs the lease. After a freeze the answer is false
// also when no step has come yet.
func (d *Daemon) Holds(now time.Time, name string) (epoch uint64, ok bool) {
	h := d.holdings[name]
	return h.Epoch, h.Valid(now) && gap(d.last, now) < FreezeAfter
}

// detectFreeze drops all leases when the steps are too far apart. Elapsed time
// is taken from the wall clock as well, because the monotonic clock stands
// still while a VM is paused.
func (d *Daemon) detectFreeze(now time.Time) []Effect {
	frozen := gap(d.last, now)
	d.last = now
	if frozen < FreezeAfter {
		return nil
	}
	names := slices.Sorted(maps.Keys(d.holdings))
	clear(d.holdings)
	d.exempted = time.Time{}
	return []Effect{Frozen{For: frozen, Dropped: names}}
}

func (d *Daemon) dropEnded(now time.Time) []Effect {
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
	if d.lastBeat.IsZero() || now.Sub(d.lastBeat) >= HeartbeatInterval {
		d.lastBeat = now
		d.sequence++
		d.sent[d.sequence] = now
		for q, at := range d.sent {
			if now.Sub(at) >= UnconfirmedAfter { // a reply would come too late to confirm
				delete(d.sent, q)
			}
		}
		effects = append(effects, SendHeartbeat{Sequence: d.sequence, Revision: d.revision})
	}
	if d.mustAsk(now) {
		effects = append(effects, d.ask(now)...)
	}
	return effects
}

func (d *Daemon) ask(now time.Time) []Effect {
	d.round++
	d.asked = now
	q := question{round: d.round, sent: now, answers: map[string]brwire.ConfirmedReply{}}
	if slices.Contains(d.registered, d.id) {
		q.answers[d.id] = d.answer(now)
	}
	d.questions = slices.DeleteFunc(d.questions, func(q question) bool { return now.Sub(q.sent) >= Extension })
	d.questions = append(d.questions, q)
	others := slices.DeleteFunc(slices.Clone(d.registered), func(id string) bool { return id == d.id })
	return append([]Effect{Ask{Round: d.round, To: others}}, d.judge(q)...)
}

func (d *Daemon) mustAsk(now time.Time) bool {
	if d.confirmedAt.IsZero() {
		return false
	}
	age := now.Sub(d.confirmedAt)
	if age < AnswerAfter && !d.renewalFailed(now) {
		return false
	}
	interval := askInterval
	if age < askSoonerFor && d.exempted.Before(now) {
		interval = askSooner
	}
	return d.asked.IsZero() || now.Sub(d.asked) >= interval
}

func (d *Daemon) renewalFailed(now time.Time) bool {
	for _, h := range d.holdings {
		if h.Until.Sub(now) < renewalMissed {
			return true
		}
	}
	return false
}

func (d *Daemon) reply(now time.Time, r brwire.HeartbeatReply) []Effect {
	sent, ok := d.sent[r.Sequence]
	delete(d.sent, r.Sequence)
	if !ok || !r.Confirmed || r.Age < 0 {
		return nil
	}
	c := confirmation{at: sent.Add(-r.Age), revision: r.Revision, sequence: r.Sequence}
	if c.revision > d.revision {
		d.pending = append(d.pending, c)
		return []Effect{Behind{Revision: c.revision}}
	}
	return d.confirm(now, c)
}

func (d *Daemon) applied(now time.Time, revision uint64) []Effect {
	if revision < d.revision {
		return nil
	}
	if soon := now.Add(appliedBeat - HeartbeatInterval); revision > d.revision && d.lastBeat.After(soon) {
		d.lastBeat = soon
	}
	d.revision = revision
	var effects []Effect
	kept := d.pending[:0]
	for _, c := range d.pending {
		switch {
		case c.revision <= revision:
			effects = append(effects, d.confirm(now, c)...)
		case now.Sub(c.at) < UnconfirmedAfter:
			kept = append(kept, c)
		}
	}
	d.pending = kept
	return effects
}

func (d *Daemon) confirm(now time.Time, c confirmation) []Effect {
	if !c.at.After(d.confirmedAt) || now.Sub(c.at) >= UnconfirmedAfter {
		return nil
	}
	if d.confirmedAt.IsZero() || now.Sub(d.confirmedAt) >= UnconfirmedAfter {
		d.runStart = now
	}
	d.confirmedAt = c.at
	return []Effect{SendAck{brwire.HeartbeatAck{DaemonID: d.id, Sequence: c.sequence, Revision: d.revision, Age: now.Sub(c.at), Run: now.Sub(d.runStart)}}}
}

// answer tells another daemon whether this one is confirmed. After an answer of
// "unconfirmed" the run starts again, since the asker may extend its leases.
func (d *Daemon) answer(now time.Time) brwire.ConfirmedReply {
	r := brwire.ConfirmedReply{Ready: !d.confirmedAt.IsZero(), Revision: d.revision}
	r.Confirmed = r.Ready && now.Sub(d.confirmedAt) < AnswerAfter
	if !r.Confirmed {
		d.runStart = now
	}
	return r
}

func (d *Daemon) answered(now time.Time, e AnswerReceived) []Effect {
	i := slices.IndexFunc(d.questions, func(q question) bool { return q.round == e.Round })
	if i < 0 || now.Sub(d.questions[i].sent) >= Extension || !slices.Contains(d.registered, e.From) {
		return nil
	}
	var effects []Effect
	if e.Reply.Revision > d.revision {
		effects = append(effects, Behind{From: e.From, Revision: e.Reply.Revision})
	}
	d.questions[i].answers[e.From] = e.Reply
	return append(effects, d.judge(d.questions[i])...)
}

// judge evaluates the answers to a question. Leases that have ended were
// dropped at the beginning of the step, so only others are extended. An answer
// with a newer revision does not count: the registered daemons may have changed.
func (d *Daemon) judge(q question) []Effect {
	unconfirmed, exempt := 0, true
	for _, r := range q.answers {
		if !r.Ready {
			continue
		}
		switch {
		case r.Confirmed || r.Revision > d.revision:
			exempt = false // and no vote for an extension
		default:
			unconfirmed++
		}
	}
	if !exempt {
		d.exempted = time.Time{}
	}
	if 2*unconfirmed <= len(d.registered) {
		return nil
	}
	until := q.sent.Add(Extension)
	if exempt && until.After(d.exempted) {
		d.exempted = until
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

// gap returns the larger of the monotonic and the wall time from a to b.
func gap(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }
