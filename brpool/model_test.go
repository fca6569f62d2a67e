package brpool

import (
	"flag"
	"slices"
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
	"pgregory.net/rapid"
)

// simulation is a pool's scheduler with model entries, whose links deliver messages
// in order but late and sometimes twice. It records the actual dispatches.
type simulation struct {
	t          *rapid.T
	now        time.Time
	pool       *Pool
	epoch      uint64
	sequence   uint64
	ids        []brwire.Submit
	entries    []*modelEntry
	dispatched map[string]string // request ID to entry, over all epochs and processes
}

type modelEntry struct {
	name           string
	up             bool
	started        time.Time
	joined         uint64
	requests       map[string]*modelRequest
	order          []string
	inbox          []modelMessage
	outbox         []Event
	disconnectedAt time.Time // time at which the links were disconnected; zero while they are connected
}

type modelMessage struct {
	sent   time.Time
	effect Effect
}

type modelRequest struct {
	submit        brwire.Submit
	state         state // stays started after the end
	ended         bool
	bound         uint64
	epoch, number uint64
}

// Guards against a second dispatch of an ID, a wrong shedding order and violated
// invariants when messages are lost, late or repeated, entries crash and schedulers
// are replaced.
func TestModel(t *testing.T) {
	raiseRapidDefaults(t, "10000", "100")
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: start, dispatched: map[string]string{}}
		for _, name := range []string{"a", "b", "c"} {
			sim.entries = append(sim.entries, &modelEntry{name: name, up: true, started: start.Add(-time.Hour), requests: map[string]*modelRequest{}})
		}
		sim.takeOver()
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { sim.submit() },
			"resend1": func(*rapid.T) { sim.resend() },
			"resend2": func(*rapid.T) { sim.resend() },
			"pool1":   func(*rapid.T) { sim.deliverToPool() },
			"pool2":   func(*rapid.T) { sim.deliverToPool() },
			"pool3":   func(*rapid.T) { sim.deliverToPool() },
			"entry1":  func(*rapid.T) { sim.deliverToEntry() },
			"entry2":  func(*rapid.T) { sim.deliverToEntry() },
			"entry3":  func(*rapid.T) { sim.deliverToEntry() },
			"finish":  func(*rapid.T) { sim.finish() },
			"cancel":  func(*rapid.T) { sim.cancel() },
			"tick":    func(*rapid.T) { sim.tick() },
			"flap":    func(*rapid.T) { sim.reconnect() },
			"cut":     func(*rapid.T) { sim.disconnect() },
			"heal":    func(*rapid.T) { sim.restoreLink() },
			"leap":    func(*rapid.T) { sim.advancePastHold() },
			"crash":   func(*rapid.T) { sim.crash() },
			"restart": func(*rapid.T) { sim.restart() },
			"takeover": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					sim.takeOver()
				}
			},
		})
	})
}

// raiseRapidDefaults raises rapid's defaults. Most faults injected into the pool
// were found only after 1,000 to 5,000 checks of 100 steps. Flags set on the command
// line are not changed.
func raiseRapidDefaults(t *testing.T, checks, steps string) {
	for name, v := range map[string][2]string{"rapid.checks": {"100", checks}, "rapid.steps": {"30", steps}} {
		if f := flag.Lookup(name); f.Value.String() == v[0] {
			if err := flag.Set(name, v[1]); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = flag.Set(name, v[0]) })
		}
	}
}

func (sim *simulation) entry() *modelEntry {
	return rapid.SampledFrom(sim.entries).Draw(sim.t, "entry")
}

// entryExcept returns an entry for which exclude is false, or nil.
func (sim *simulation) entryExcept(exclude func(e *modelEntry) bool) *modelEntry {
	remaining := slices.DeleteFunc(slices.Clone(sim.entries), exclude)
	if len(remaining) == 0 {
		return nil
	}
	return rapid.SampledFrom(remaining).Draw(sim.t, "entry")
}

// step passes an event to the pool, checks the invariants and delivers the effects.
func (sim *simulation) step(ev Event) {
	waiting := map[string]int{}
	for id, r := range sim.pool.requests {
		if r.state == queued {
			waiting[id] = r.Tier
		}
	}
	effects := sim.pool.Step(sim.now, ev)
	if err := sim.pool.Check(); err != nil {
		sim.t.Fatalf("after %T: %v", ev, err)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case SendGrant:
			delete(waiting, e.Grant.RequestID)
			sim.send(e.EntryID, e)
		case SendRefuse:
			tier := waiting[e.Refuse.RequestID]
			delete(waiting, e.Refuse.RequestID)
			if e.Refuse.Error.Kind == brerror.Overloaded && tier > 0 {
				for id, lower := range waiting {
					if lower > tier {
						sim.t.Fatalf("%s of tier %d is shed while %s of tier %d waits", e.Refuse.RequestID, tier, id, lower)
					}
				}
			}
			sim.send(e.EntryID, e)
		case SendJoin:
			sim.send(e.EntryID, e)
		case SendBound:
			sim.send(e.EntryID, e)
		}
	}
}

func (sim *simulation) send(entry string, e Effect) {
	for _, m := range sim.entries {
		if m.name == entry && m.up && m.disconnectedAt.IsZero() {
			m.inbox = append(m.inbox, modelMessage{sim.now, e})
		}
	}
}

func (sim *simulation) submit() {
	n := len(sim.ids)
	createdAt := sim.now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(sim.t, "age")) * time.Millisecond)
	s := submit("", testID(createdAt, n), rapid.IntRange(1, 5).Draw(sim.t, "tier"), rapid.IntRange(1, 3000).Draw(sim.t, "prompt")).Submit
	s.Customer = rapid.SampledFrom([]string{"trust", "barajas"}).Draw(sim.t, "customer")
	s.Deadline = time.Duration(rapid.IntRange(100, 10_000).Draw(sim.t, "deadline")) * time.Millisecond
	sim.ids = append(sim.ids, s)
	sim.acceptRequest(sim.entry(), s)
}

// resend submits an ID again through any entry, as a retrying caller does.
func (sim *simulation) resend() {
	if len(sim.ids) > 0 {
		sim.acceptRequest(sim.entry(), rapid.SampledFrom(sim.ids[max(0, len(sim.ids)-3):]).Draw(sim.t, "id"))
	}
}

func (sim *simulation) acceptRequest(e *modelEntry, s brwire.Submit) {
	if !e.up || e.requests[s.RequestID] != nil {
		return
	}
	e.requests[s.RequestID] = &modelRequest{submit: s}
	e.order = append(e.order, s.RequestID)
	e.outbox = append(e.outbox, Submit{e.name, s})
}

// deliverToPool delivers an entry's next message. Some messages are delivered a
// second time later.
func (sim *simulation) deliverToPool() {
	e := sim.entryExcept(func(e *modelEntry) bool { return len(e.outbox) == 0 || !e.disconnectedAt.IsZero() })
	if e == nil {
		return
	}
	ev := e.outbox[0]
	e.outbox = e.outbox[1:]
	if rapid.IntRange(0, 4).Draw(sim.t, "twice") == 0 {
		e.outbox = append(e.outbox, ev)
	}
	sim.step(ev)
}

func (sim *simulation) deliverToEntry() {
	e := sim.entryExcept(func(e *modelEntry) bool { return len(e.inbox) == 0 })
	if e == nil {
		return
	}
	m := e.inbox[0]
	e.inbox = e.inbox[1:]
	switch ef := m.effect.(type) {
	case SendGrant:
		sim.receiveGrant(e, ef.Grant, sim.now.Sub(m.sent))
	case SendRefuse:
		if r := e.requests[ef.Refuse.RequestID]; r != nil && r.state == queued {
			e.drop(ef.Refuse.RequestID)
		}
	case SendBound:
		if r := e.requests[ef.Bound.RequestID]; r != nil && ef.Bound.Epoch >= e.joined {
			r.bound = ef.Bound.Epoch
		}
	case SendJoin:
		e.joined = ef.Join.Epoch
		e.outbox = append(e.outbox, Recovered{e.report(sim.now)})
	}
}

func (sim *simulation) receiveGrant(e *modelEntry, g brwire.Grant, age time.Duration) {
	r := e.requests[g.RequestID]
	switch {
	case g.Epoch < e.joined:
	case r == nil || r.state == queued && age > GrantWindow:
		if r != nil {
			e.drop(g.RequestID)
		}
		e.outbox = append(e.outbox, Withdraw{e.name, brwire.Withdraw{RequestID: g.RequestID, Epoch: g.Epoch, Number: g.Number}})
	case r.state == queued && rapid.IntRange(0, 5).Draw(sim.t, "dial") == 0:
		r.bound = 0
		e.drop(g.RequestID)
		e.outbox = append(e.outbox, Done{e.name, brwire.Done{RequestID: g.RequestID, Epoch: g.Epoch, Number: g.Number, Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable}})
	case r.state == queued:
		if other, ok := sim.dispatched[g.RequestID]; ok {
			sim.t.Fatalf("%s is dispatched by %s and was by %s", g.RequestID, e.name, other)
		}
		sim.dispatched[g.RequestID] = e.name
		r.state, r.epoch, r.number = started, g.Epoch, g.Number
		e.outbox = append(e.outbox, Started{e.name, brwire.Started{RequestID: g.RequestID, Epoch: g.Epoch, Number: g.Number}})
	}
}

func (sim *simulation) finish() {
	e := sim.entry()
	for _, id := range e.order {
		r := e.requests[id]
		if r.state != started || r.ended {
			continue
		}
		if rapid.Bool().Draw(sim.t, "first") {
			e.outbox = append(e.outbox, FirstToken{e.name, brwire.FirstToken{RequestID: id, Epoch: r.epoch, Number: r.number, Elapsed: 50 * time.Millisecond}})
		}
		r.ended = true
		d := brwire.Done{RequestID: id, Epoch: r.epoch, Number: r.number, PromptTokens: r.submit.PromptTokens, OutputTokens: 20, Kind: brerror.EndpointFailed}
		if d.OK = rapid.Bool().Draw(sim.t, "ok"); d.OK {
			d.Outcome, d.FirstToken, d.Duration = brerror.Ran, 50*time.Millisecond, time.Second
		}
		e.outbox = append(e.outbox, Done{e.name, d})
		return
	}
}

// cancel withdraws a queued request whose caller disconnected.
func (sim *simulation) cancel() {
	e := sim.entry()
	for _, id := range e.order {
		if e.requests[id].state == queued {
			e.drop(id)
			e.outbox = append(e.outbox, Withdraw{e.name, brwire.Withdraw{RequestID: id, Epoch: e.joined}})
			return
		}
	}
}

func (sim *simulation) tick() {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(sim.t, "ticks")) * TickInterval)
	sim.announce()
	sim.step(Tick{})
}

func (sim *simulation) announce() {
	sim.sequence++
	for _, id := range []string{"e1", "e2"} {
		sim.step(announce(id, "v1", sim.sequence, 4000))
	}
}

func (sim *simulation) reconnect() {
	if e := sim.entry(); e.up && e.disconnectedAt.IsZero() {
		e.inbox, e.outbox = nil, nil
		sim.step(EntryDisconnected{e.name})
		sim.step(EntryJoined{e.name})
	}
}

// disconnect closes the links of an entry, which keeps running.
func (sim *simulation) disconnect() {
	if e := sim.entry(); e.up && e.disconnectedAt.IsZero() {
		e.inbox, e.outbox, e.disconnectedAt = nil, nil, sim.now
		sim.step(EntryDisconnected{e.name})
	}
}

func (sim *simulation) restoreLink() {
	e := sim.entryExcept(func(e *modelEntry) bool { return e.disconnectedAt.IsZero() })
	if e == nil {
		return
	}
	if sim.now.Sub(e.disconnectedAt) > brwire.BindingValid {
		for _, r := range e.requests {
			r.bound = 0
		}
	}
	e.disconnectedAt, e.outbox = time.Time{}, nil
	sim.step(EntryJoined{e.name})
}

// advancePastHold advances the time until a disconnected entry is lost and its IDs
// can be granted to others.
func (sim *simulation) advancePastHold() {
	sim.now = sim.now.Add(brwire.BindingHold + time.Second)
	sim.announce()
	for _, e := range sim.entries {
		if e.up && !e.disconnectedAt.IsZero() {
			sim.step(EntryLost{e.name})
		}
	}
	sim.step(Tick{})
}

func (sim *simulation) crash() {
	e := sim.entry()
	if e.up && rapid.IntRange(0, 3).Draw(sim.t, "rarely") == 0 {
		e.up, e.joined, e.disconnectedAt = false, 0, time.Time{}
		e.requests, e.order, e.inbox, e.outbox = map[string]*modelRequest{}, nil, nil, nil
		sim.step(EntryLost{e.name})
	}
}

func (sim *simulation) restart() {
	if e := sim.entry(); !e.up {
		e.up, e.started = true, sim.now
		sim.step(EntryJoined{e.name})
	}
}

// takeOver replaces the scheduler by a new one without state. Messages to the old
// scheduler are lost, but its grants may still arrive.
func (sim *simulation) takeOver() {
	sim.epoch++
	sim.pool = newPool(brwire.KindEngine)
	var names []string
	for _, e := range sim.entries {
		e.outbox = nil
		names = append(names, e.name)
	}
	sim.step(SetLimits{})
	sim.announce()
	sim.step(Takeover{Epoch: sim.epoch, Entries: names})
}

func (e *modelEntry) drop(id string) {
	delete(e.requests, id)
	e.order = slices.DeleteFunc(e.order, func(o string) bool { return o == id })
}

func (e *modelEntry) report(now time.Time) brwire.JoinReply {
	m := brwire.JoinReply{EntryID: e.name, Epoch: e.joined, StartedAgo: now.Sub(e.started)}
	for _, id := range e.order {
		switch r := e.requests[id]; {
		case r.state == queued:
			s := r.submit
			s.BoundEpoch = r.bound
			m.Queued = append(m.Queued, s)
		case r.ended:
			m.Ended = append(m.Ended, brwire.EndedRef{RequestID: id, EndpointID: "e1", Address: "e1:1", Ran: true})
		default:
			m.Running = append(m.Running, brwire.RunningRef{Submit: r.submit, EndpointID: "e1", Address: "e1:1", Version: "v1"})
		}
	}
	return m
}
