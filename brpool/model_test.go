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

// world is a pool's scheduler with model entries, whose links deliver in order
// but late and sometimes twice, and the truth of what was dispatched.
type world struct {
	t          *rapid.T
	now        time.Time
	pool       *Pool
	epoch      uint64
	sequence   uint64
	ids        []brwire.Submit
	entries    []*modelEntry
	dispatched map[string]string // request id → entry, over all epochs and processes
}

type modelEntry struct {
	name    string
	up      bool
	started time.Time
	joined  uint64
	held    map[string]*modelRequest
	order   []string
	inbox   []modelMessage
	outbox  []Event
	cut     time.Time // since when the links are cut; zero when they are not
}

type modelMessage struct {
	sent   time.Time
	effect Effect
}

type modelRequest struct {
	submit        brwire.Submit
	state         state // started also after the end
	ended         bool
	bound         uint64
	epoch, number uint64
}

// Guards against a second dispatch of an id, a broken shed order and broken
// invariants under lost, late and repeated messages, crashes and takeovers.
func TestModel(t *testing.T) {
	deepen(t, "10000", "100")
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, dispatched: map[string]string{}}
		for _, name := range []string{"a", "b", "c"} {
			w.entries = append(w.entries, &modelEntry{name: name, up: true, started: start.Add(-time.Hour), held: map[string]*modelRequest{}})
		}
		w.takeOver()
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { w.submit() },
			"resend1": func(*rapid.T) { w.resend() },
			"resend2": func(*rapid.T) { w.resend() },
			"pool1":   func(*rapid.T) { w.toPool() },
			"pool2":   func(*rapid.T) { w.toPool() },
			"pool3":   func(*rapid.T) { w.toPool() },
			"entry1":  func(*rapid.T) { w.toEntry() },
			"entry2":  func(*rapid.T) { w.toEntry() },
			"entry3":  func(*rapid.T) { w.toEntry() },
			"finish":  func(*rapid.T) { w.finish() },
			"cancel":  func(*rapid.T) { w.cancel() },
			"tick":    func(*rapid.T) { w.tick() },
			"flap":    func(*rapid.T) { w.flap() },
			"cut":     func(*rapid.T) { w.cut() },
			"heal":    func(*rapid.T) { w.heal() },
			"leap":    func(*rapid.T) { w.leap() },
			"crash":   func(*rapid.T) { w.crash() },
			"restart": func(*rapid.T) { w.restart() },
			"takeover": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					w.takeOver()
				}
			},
		})
	})
}

// deepen raises rapid's defaults: most faults put into the pool on trial took
// 1,000 to 5,000 checks of 100 steps to show. Flags that were given stay.
func deepen(t *testing.T, checks, steps string) {
	for name, v := range map[string][2]string{"rapid.checks": {"100", checks}, "rapid.steps": {"30", steps}} {
		if f := flag.Lookup(name); f.Value.String() == v[0] {
			if err := flag.Set(name, v[1]); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = flag.Set(name, v[0]) })
		}
	}
}

func (w *world) entry() *modelEntry { return rapid.SampledFrom(w.entries).Draw(w.t, "entry") }

// entryWith returns an entry for which without is false, or nil.
func (w *world) entryWith(without func(e *modelEntry) bool) *modelEntry {
	some := slices.DeleteFunc(slices.Clone(w.entries), without)
	if len(some) == 0 {
		return nil
	}
	return rapid.SampledFrom(some).Draw(w.t, "entry")
}

// step passes an event to the pool, checks its invariants and sends its effects.
func (w *world) step(ev Event) {
	waiting := map[string]int{}
	for id, r := range w.pool.requests {
		if r.state == queued {
			waiting[id] = r.Tier
		}
	}
	effects := w.pool.Step(w.now, ev)
	if err := w.pool.Check(); err != nil {
		w.t.Fatalf("after %T: %v", ev, err)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case SendGrant:
			delete(waiting, e.Grant.RequestID)
			w.send(e.EntryID, e)
		case SendRefuse:
			tier := waiting[e.Refuse.RequestID]
			delete(waiting, e.Refuse.RequestID)
			if e.Refuse.Error.Kind == brerror.Overloaded && tier > 0 {
				for id, lower := range waiting {
					if lower > tier {
						w.t.Fatalf("%s of tier %d is shed while %s of tier %d waits", e.Refuse.RequestID, tier, id, lower)
					}
				}
			}
			w.send(e.EntryID, e)
		case SendJoin:
			w.send(e.EntryID, e)
		case SendBound:
			w.send(e.EntryID, e)
		}
	}
}

func (w *world) send(entry string, e Effect) {
	for _, m := range w.entries {
		if m.name == entry && m.up && m.cut.IsZero() {
			m.inbox = append(m.inbox, modelMessage{w.now, e})
		}
	}
}

func (w *world) submit() {
	n := len(w.ids)
	minted := w.now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(w.t, "age")) * time.Millisecond)
	s := submit("", testID(minted, n), rapid.IntRange(1, 5).Draw(w.t, "tier"), rapid.IntRange(1, 3000).Draw(w.t, "prompt")).Submit
	s.Customer = rapid.SampledFrom([]string{"trust", "barajas"}).Draw(w.t, "customer")
	s.Deadline = time.Duration(rapid.IntRange(100, 10_000).Draw(w.t, "deadline")) * time.Millisecond
	w.ids = append(w.ids, s)
	w.hold(w.entry(), s)
}

// resend is a caller that sends an id again, through any entry.
func (w *world) resend() {
	if len(w.ids) > 0 {
		w.hold(w.entry(), rapid.SampledFrom(w.ids[max(0, len(w.ids)-3):]).Draw(w.t, "id"))
	}
}

func (w *world) hold(e *modelEntry, s brwire.Submit) {
	if !e.up || e.held[s.RequestID] != nil {
		return
	}
	e.held[s.RequestID] = &modelRequest{submit: s}
	e.order = append(e.order, s.RequestID)
	e.outbox = append(e.outbox, Submit{e.name, s})
}

// toPool delivers an entry's next message; some come a second time, later.
func (w *world) toPool() {
	e := w.entryWith(func(e *modelEntry) bool { return len(e.outbox) == 0 || !e.cut.IsZero() })
	if e == nil {
		return
	}
	ev := e.outbox[0]
	e.outbox = e.outbox[1:]
	if rapid.IntRange(0, 4).Draw(w.t, "twice") == 0 {
		e.outbox = append(e.outbox, ev)
	}
	w.step(ev)
}

func (w *world) toEntry() {
	e := w.entryWith(func(e *modelEntry) bool { return len(e.inbox) == 0 })
	if e == nil {
		return
	}
	m := e.inbox[0]
	e.inbox = e.inbox[1:]
	switch ef := m.effect.(type) {
	case SendGrant:
		w.granted(e, ef.Grant, w.now.Sub(m.sent))
	case SendRefuse:
		if r := e.held[ef.Refuse.RequestID]; r != nil && r.state == queued {
			e.drop(ef.Refuse.RequestID)
		}
	case SendBound:
		if r := e.held[ef.Bound.RequestID]; r != nil && ef.Bound.Epoch >= e.joined {
			r.bound = ef.Bound.Epoch
		}
	case SendJoin:
		e.joined = ef.Join.Epoch
		e.outbox = append(e.outbox, Recovered{e.report(w.now)})
	}
}

func (w *world) granted(e *modelEntry, g brwire.Grant, age time.Duration) {
	r := e.held[g.RequestID]
	switch {
	case g.Epoch < e.joined:
	case r == nil || r.state == queued && age > GrantWindow:
		if r != nil {
			e.drop(g.RequestID)
		}
		e.outbox = append(e.outbox, Withdraw{e.name, brwire.Withdraw{RequestID: g.RequestID, Epoch: g.Epoch, Number: g.Number}})
	case r.state == queued && rapid.IntRange(0, 5).Draw(w.t, "dial") == 0:
		r.bound = 0
		e.drop(g.RequestID)
		e.outbox = append(e.outbox, Done{e.name, brwire.Done{RequestID: g.RequestID, Epoch: g.Epoch, Number: g.Number, Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable}})
	case r.state == queued:
		if other, ok := w.dispatched[g.RequestID]; ok {
			w.t.Fatalf("%s is dispatched by %s and was by %s", g.RequestID, e.name, other)
		}
		w.dispatched[g.RequestID] = e.name
		r.state, r.epoch, r.number = started, g.Epoch, g.Number
		e.outbox = append(e.outbox, Started{e.name, brwire.Started{RequestID: g.RequestID, Epoch: g.Epoch, Number: g.Number}})
	}
}

func (w *world) finish() {
	e := w.entry()
	for _, id := range e.order {
		r := e.held[id]
		if r.state != started || r.ended {
			continue
		}
		if rapid.Bool().Draw(w.t, "first") {
			e.outbox = append(e.outbox, FirstToken{e.name, brwire.FirstToken{RequestID: id, Epoch: r.epoch, Number: r.number, Elapsed: 50 * time.Millisecond}})
		}
		r.ended = true
		d := brwire.Done{RequestID: id, Epoch: r.epoch, Number: r.number, PromptTokens: r.submit.PromptTokens, OutputTokens: 20, Kind: brerror.EndpointFailed}
		if d.OK = rapid.Bool().Draw(w.t, "ok"); d.OK {
			d.Outcome, d.FirstToken, d.Duration = brerror.Ran, 50*time.Millisecond, time.Second
		}
		e.outbox = append(e.outbox, Done{e.name, d})
		return
	}
}

// cancel is a caller that goes away before its request was granted.
func (w *world) cancel() {
	e := w.entry()
	for _, id := range e.order {
		if e.held[id].state == queued {
			e.drop(id)
			e.outbox = append(e.outbox, Withdraw{e.name, brwire.Withdraw{RequestID: id, Epoch: e.joined}})
			return
		}
	}
}

func (w *world) tick() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(w.t, "ticks")) * TickInterval)
	w.announce()
	w.step(Tick{})
}

func (w *world) announce() {
	w.sequence++
	for _, id := range []string{"e1", "e2"} {
		w.step(announce(id, "v1", w.sequence, 4000))
	}
}

func (w *world) flap() {
	if e := w.entry(); e.up && e.cut.IsZero() {
		e.inbox, e.outbox = nil, nil
		w.step(EntryAway{e.name})
		w.step(EntryJoined{e.name})
	}
}

// cut ends the links of an entry, which goes on.
func (w *world) cut() {
	if e := w.entry(); e.up && e.cut.IsZero() {
		e.inbox, e.outbox, e.cut = nil, nil, w.now
		w.step(EntryAway{e.name})
	}
}

func (w *world) heal() {
	e := w.entryWith(func(e *modelEntry) bool { return e.cut.IsZero() })
	if e == nil {
		return
	}
	if w.now.Sub(e.cut) > brwire.BindingValid {
		for _, r := range e.held {
			r.bound = 0
		}
	}
	e.cut, e.outbox = time.Time{}, nil
	w.step(EntryJoined{e.name})
}

// leap lets a time pass after which a cut entry is lost and its ids are free.
func (w *world) leap() {
	w.now = w.now.Add(brwire.BindingHold + time.Second)
	w.announce()
	for _, e := range w.entries {
		if e.up && !e.cut.IsZero() {
			w.step(EntryLost{e.name})
		}
	}
	w.step(Tick{})
}

func (w *world) crash() {
	e := w.entry()
	if e.up && rapid.IntRange(0, 3).Draw(w.t, "rarely") == 0 {
		e.up, e.joined, e.cut = false, 0, time.Time{}
		e.held, e.order, e.inbox, e.outbox = map[string]*modelRequest{}, nil, nil, nil
		w.step(EntryLost{e.name})
	}
}

func (w *world) restart() {
	if e := w.entry(); !e.up {
		e.up, e.started = true, w.now
		w.step(EntryJoined{e.name})
	}
}

// takeOver replaces the scheduler by a new one without memory. Messages to the
// old one are lost, its grants may still arrive.
func (w *world) takeOver() {
	w.epoch++
	w.pool = newPool(brwire.KindEngine)
	var names []string
	for _, e := range w.entries {
		e.outbox = nil
		names = append(names, e.name)
	}
	w.step(SetLimits{})
	w.announce()
	w.step(Takeover{Epoch: w.epoch, Entries: names})
}

func (e *modelEntry) drop(id string) {
	delete(e.held, id)
	e.order = slices.DeleteFunc(e.order, func(o string) bool { return o == id })
}

func (e *modelEntry) report(now time.Time) brwire.Recover {
	m := brwire.Recover{EntryID: e.name, Epoch: e.joined, StartedAgo: now.Sub(e.started)}
	for _, id := range e.order {
		switch r := e.held[id]; {
		case r.state == queued:
			s := r.submit
			s.Bound = r.bound
			m.Queued = append(m.Queued, s)
		case r.ended:
			m.Ended = append(m.Ended, brwire.EndedRef{RequestID: id, EndpointID: "e1", Address: "e1:1", Ran: true})
		default:
			m.Running = append(m.Running, brwire.RunningRef{Submit: r.submit, EndpointID: "e1", Address: "e1:1", Version: "v1"})
		}
	}
	return m
}
