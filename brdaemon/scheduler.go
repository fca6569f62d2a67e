package brdaemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brpool"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

const (
	// renewEvery is the period of lease renewals, a third of the lease.
	renewEvery = time.Second
	// acquireEvery is how often a candidate asks for a pool without a live owner.
	acquireEvery = 500 * time.Millisecond
	// candidateStep is the head start of each better placed candidate for a
	// pool, so that candidates don't all ask at once.
	candidateStep = 250 * time.Millisecond
	// ownerSilence is how long the owner of a pool may be out of reach before
	// other daemons ask for its lease. The control leader grants it only after
	// it has lapsed.
	ownerSilence = 1500 * time.Millisecond
)

// scheduler is the role that owns pools. It runs one poolRunner for each pool
// that it owns or may own.
type scheduler struct {
	d *Daemon

	mu      sync.Mutex
	runners map[string]*poolRunner
	closed  bool
}

func newScheduler(d *Daemon) *scheduler {
	return &scheduler{d: d, runners: map[string]*poolRunner{}}
}

// runner returns the runner of a pool, starting it if there is none. It returns
// nil after close.
func (s *scheduler) runner(pool string, kind brwire.EndpointKind) *poolRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if r, ok := s.runners[pool]; ok {
		return r
	}
	r := newPoolRunner(s.d, pool, kind)
	s.runners[pool] = r
	go r.run()
	return r
}

func (s *scheduler) find(pool string) *poolRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[pool]
}

func (s *scheduler) all() []*poolRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*poolRunner, 0, len(s.runners))
	for _, r := range s.runners {
		list = append(list, r)
	}
	return list
}

// viewChanged starts runners for the pools of the view and passes limits and
// rollouts on.
func (s *scheduler) viewChanged(v brstate.View) {
	for _, o := range v.Owners {
		s.runner(o.Pool, poolKind(v.Configuration, modelOf(o.Pool)))
	}
	for _, r := range s.all() {
		r.configure(v)
	}
}

// entryConnected tells the pools that an entry dialled this daemon again, so
// that what it holds is compared.
func (s *scheduler) entryConnected(entryID string) {
	for _, r := range s.all() {
		r.post(brpool.EntryJoined{EntryID: entryID})
	}
}

// report hands an announcement to the pool's runner.
func (s *scheduler) report(a brwire.Announce) {
	if r := s.runner(a.Pool(), a.Kind); r != nil {
		r.report(a)
	}
}

// handOver releases all pools and waits until no grant is in flight or ctx ends.
func (s *scheduler) handOver(ctx context.Context) {
	runners := s.all()
	for _, r := range runners {
		r.startRelease()
	}
	for _, r := range runners {
		select {
		case <-r.released:
		case <-ctx.Done():
			return
		}
	}
}

func (s *scheduler) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, r := range s.all() {
		r.close()
	}
}

// poolRunner feeds one brpool.Pool with events and carries its effects out, all
// in one goroutine.
type poolRunner struct {
	d     *Daemon
	name  string
	lease string
	pool  *brpool.Pool
	inbox *mailbox[brpool.Event]
	ask   chan func()

	stop chan struct{}
	done chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	epoch     uint64 // held; 0 when this daemon isn't the owner
	releasing bool
	busy      bool // a lease command is under way
	lastRenew time.Time
	lastAsk   time.Time
	ownerGone time.Time // since when the owner is out of reach
	released  chan struct{}
	nextRef   uint64
	locates   map[uint64]chan brwire.LocateReply

	// Of endpoints, for the control leader while their model has a rollout.
	endpoints map[string]brwire.Announce
	changed   map[string]bool
	gone      []string
	lastFull  time.Time
	lastDelta time.Time
	began     time.Time
}

func newPoolRunner(d *Daemon, name string, kind brwire.EndpointKind) *poolRunner {
	return &poolRunner{
		d: d, name: name, lease: brstate.PoolLease(name),
		pool:  brpool.New(brpool.Options{Name: name, Kind: kind, Rand: rand.Uint64}),
		inbox: newMailbox[brpool.Event](), ask: make(chan func()),
		stop: make(chan struct{}), done: make(chan struct{}),
		released: make(chan struct{}), locates: map[uint64]chan brwire.LocateReply{},
		endpoints: map[string]brwire.Announce{}, changed: map[string]bool{}, began: d.clock.Now(),
	}
}

func (r *poolRunner) post(ev brpool.Event) { r.inbox.put(ev) }

func (r *poolRunner) run() {
	defer close(r.done)
	r.configure(r.d.session.present())
	tick := r.d.clock.After(brpool.TickInterval)
	for {
		select {
		case <-r.stop:
			return
		case f := <-r.ask:
			f()
		case <-tick:
			tick = r.d.clock.After(brpool.TickInterval)
			r.step(brpool.Tick{})
			r.tendLease()
			r.reportEndpoints()
		case <-r.inbox.ready():
			for _, ev := range r.inbox.take() {
				r.step(ev)
			}
		}
	}
}

// status returns the pool's state, or false when the runner stops first.
func (r *poolRunner) status() (s brpool.Status, ok bool) {
	done := make(chan struct{})
	select {
	case r.ask <- func() { s = r.pool.Status(); close(done) }:
		<-done
		return s, true
	case <-r.done:
		return s, false
	}
}

func (r *poolRunner) close() {
	close(r.stop)
	<-r.done
	r.wg.Wait()
}

func (r *poolRunner) step(ev brpool.Event) {
	for _, e := range r.pool.Step(r.d.clock.Now(), ev) {
		r.perform(e)
	}
}

func (r *poolRunner) perform(e brpool.Effect) {
	switch e := e.(type) {
	case brpool.SendGrant:
		// The lease is checked right before the sending; a process that stood
		// still in between is caught by the entries' epochs and the horizon.
		if epoch, ok := r.d.session.holds(r.lease); !ok || epoch != e.Grant.Epoch {
			r.lost()
			return
		}
		r.d.record(brtimeline.Event{Kind: brtimeline.RequestGranted, RequestID: e.Grant.RequestID, Pool: r.name, EndpointID: e.Grant.EndpointID, Version: e.Grant.Version, Epoch: e.Grant.Epoch, Peer: e.EntryID, Detail: "sent"})
		r.push(e.EntryID, func(c *brpeer.Conn) error {
			return brpeer.Push(c, brwire.NameGrant, brwire.PoolMessage[brwire.Grant]{Pool: r.name, Message: e.Grant})
		})
	case brpool.SendBound:
		r.push(e.EntryID, func(c *brpeer.Conn) error {
			return brpeer.Push(c, brwire.NameIDBound, brwire.PoolMessage[brwire.IDBound]{Pool: r.name, Message: e.Bound})
		})
	case brpool.SendRefuse:
		r.push(e.EntryID, func(c *brpeer.Conn) error {
			return brpeer.Push(c, brwire.NameRefuse, brwire.PoolMessage[brwire.Refuse]{Pool: r.name, Message: e.Refuse})
		})
	case brpool.SendJoin:
		r.wg.Go(func() { r.join(e) })
	case brpool.SendLocated:
		r.mu.Lock()
		ch := r.locates[e.Ref]
		delete(r.locates, e.Ref)
		r.mu.Unlock()
		if ch != nil {
			ch <- e.Located
		}
	case brpool.ReportSamples:
		r.d.toControl(brwire.NameSamples, e.Samples)
	case brpool.VersionStopped:
		r.d.recordTrip(r.name, e)
		r.d.toControl(brwire.NameTrip, brwire.Trip{RolloutID: e.RolloutID, Pool: r.name, Version: e.Version, Route: e.Route, Reason: e.Reason})
	case brpool.Released:
		r.wg.Go(func() { r.giveLeaseBack(e.Epoch) })
	case brpool.NoteEndpoint:
		if e.State == "silent" || e.State == "removed" {
			r.endpointLost(e.EndpointID)
		}
		r.d.recordPoolNote(r.name, e)
	default:
		r.d.recordPoolNote(r.name, e)
	}
}

// push sends to an entry. A message that can't be sent is dropped and the entry is
// asked what it holds once it can be reached, so that a lost grant is made again.
func (r *poolRunner) push(entryID string, send func(*brpeer.Conn) error) {
	if c := r.d.connTo(entryID); c != nil && send(c) == nil {
		return
	}
	r.post(brpool.EntryJoined{EntryID: entryID})
}

// join asks an entry what it holds until it answers or the epoch is over.
func (r *poolRunner) join(e brpool.SendJoin) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	for ctx.Err() == nil && r.heldEpoch() == e.Join.Epoch {
		if c := r.d.connTo(e.EntryID); c != nil {
			rec, err := brpeer.Call[brwire.Join, brwire.JoinReply](ctx, c, brwire.NameJoin, e.Join)
			if err == nil {
				rec.EntryID = e.EntryID
				r.post(brpool.Recovered{Recover: rec})
				return
			}
		}
		select {
		case <-r.d.clock.After(joinPause):
		case <-r.stop:
			return
		}
	}
}

const (
	// joinTimeout bounds the attempts to reach one entry after a takeover; an
	// entry that connects later announces itself.
	joinTimeout = 5 * time.Second
	joinPause   = 50 * time.Millisecond
)

// locate asks the pool where a request was dispatched.
func (r *poolRunner) locate(ctx context.Context, l brwire.Locate) (brwire.LocateReply, error) {
	if r.heldEpoch() == 0 {
		return brwire.LocateReply{}, brerror.New(brerror.NotOwner, "pool %s is owned by another scheduler", r.name)
	}
	ch := make(chan brwire.LocateReply, 1)
	r.mu.Lock()
	r.nextRef++
	ref := r.nextRef
	r.locates[ref] = ch
	r.mu.Unlock()
	r.post(brpool.Locate{Ref: ref, Locate: l})
	select {
	case out := <-ch:
		return out, nil
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.locates, ref)
		r.mu.Unlock()
		return brwire.LocateReply{}, ctx.Err()
	}
}
