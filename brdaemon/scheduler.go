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
	// renewInterval is the time between lease renewals, a third of the lease
	// duration.
	renewInterval = time.Second
	// acquireInterval is the time between a candidate's attempts to acquire the
	// lease of a pool without a live owner.
	acquireInterval = 500 * time.Millisecond
	// candidateDelay is the delay per rank after which a candidate tries to
	// acquire a pool's lease, so that candidates don't all try at once.
	candidateDelay = 250 * time.Millisecond
	// ownerUnreachableTimeout is how long the owner of a pool may be
	// unreachable before other daemons try to acquire its lease. The control
	// leader grants the lease only after it has lapsed.
	ownerUnreachableTimeout = 1500 * time.Millisecond
)

// scheduler implements the role that owns pools. It runs a poolRunner for each
// pool that it owns or may own.
type scheduler struct {
	daemon *Daemon

	mu      sync.Mutex
	runners map[string]*poolRunner
	closed  bool
}

func newScheduler(d *Daemon) *scheduler {
	return &scheduler{daemon: d, runners: map[string]*poolRunner{}}
}

// runner returns the runner of a pool and starts it if there is none. It
// returns nil after close.
func (s *scheduler) runner(pool string, kind brwire.EndpointKind) *poolRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if r, ok := s.runners[pool]; ok {
		return r
	}
	r := newPoolRunner(s.daemon, pool, kind)
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
// rollouts to all runners.
func (s *scheduler) viewChanged(v brstate.View) {
	for _, o := range v.Owners {
		s.runner(o.Pool, poolKind(v.Configuration, modelOf(o.Pool)))
	}
	for _, r := range s.all() {
		r.configure(v)
	}
}

// entryConnected makes all pools compare their state with the requests that an
// entry holds, after the entry or this daemon has connected again.
func (s *scheduler) entryConnected(entryID string) {
	for _, r := range s.all() {
		r.post(brpool.EntryJoined{EntryID: entryID})
	}
}

// report passes an announcement to the runner of its pool.
func (s *scheduler) report(a brwire.Announce) {
	if r := s.runner(a.Pool(), a.Kind); r != nil {
		r.report(a)
	}
}

// releasePools releases all pools and waits until no grant is in flight or ctx
// ends.
func (s *scheduler) releasePools(ctx context.Context) {
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

// poolRunner passes events to a brpool.Pool and performs its effects, all in
// one goroutine.
type poolRunner struct {
	daemon *Daemon
	name   string
	lease  string
	pool   *brpool.Pool
	inbox  *mailbox[brpool.Event]
	calls  chan func()

	stop chan struct{}
	done chan struct{}
	wg   sync.WaitGroup

	mu                    sync.Mutex
	epoch                 uint64 // epoch of the held lease; 0 if this daemon isn't the owner
	releasing             bool
	leaseCommandPending   bool // a lease command is in progress
	lastRenew             time.Time
	lastAcquire           time.Time
	ownerUnreachableSince time.Time // zero while the owner is reachable
	released              chan struct{}
	nextRef               uint64
	pendingLocates        map[uint64]chan brwire.LocateReply

	// Endpoints, reported to the control leader while their model has a
	// rollout.
	endpoints        map[string]brwire.Announce
	changedEndpoints map[string]bool
	lostEndpoints    []string
	lastFullReport   time.Time
	lastReport       time.Time
	startedAt        time.Time
}

func newPoolRunner(d *Daemon, name string, kind brwire.EndpointKind) *poolRunner {
	return &poolRunner{
		daemon: d, name: name, lease: brstate.PoolLease(name),
		pool:  brpool.New(brpool.Options{Name: name, Kind: kind, Rand: rand.Uint64}),
		inbox: newMailbox[brpool.Event](), calls: make(chan func()),
		stop: make(chan struct{}), done: make(chan struct{}),
		released: make(chan struct{}), pendingLocates: map[uint64]chan brwire.LocateReply{},
		endpoints: map[string]brwire.Announce{}, changedEndpoints: map[string]bool{}, startedAt: d.clock.Now(),
	}
}

func (r *poolRunner) post(ev brpool.Event) { r.inbox.put(ev) }

func (r *poolRunner) run() {
	defer close(r.done)
	r.configure(r.daemon.session.currentView())
	tick := r.daemon.clock.After(brpool.TickInterval)
	for {
		select {
		case <-r.stop:
			return
		case f := <-r.calls:
			f()
		case <-tick:
			tick = r.daemon.clock.After(brpool.TickInterval)
			r.step(brpool.Tick{})
			r.maintainLease()
			r.reportEndpoints()
		case <-r.inbox.ready():
			for _, ev := range r.inbox.takeAll() {
				r.step(ev)
			}
		}
	}
}

// status returns the pool's state. It returns false if the runner stops first.
func (r *poolRunner) status() (s brpool.Status, ok bool) {
	done := make(chan struct{})
	select {
	case r.calls <- func() { s = r.pool.Status(); close(done) }:
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
	for _, e := range r.pool.Step(r.daemon.clock.Now(), ev) {
		r.perform(e)
	}
}

func (r *poolRunner) perform(e brpool.Effect) {
	switch e := e.(type) {
	case brpool.SendGrant:
		// The lease is checked right before the grant is sent. If the process
		// is suspended in between, the entries' epochs and the limit on the
		// creation time of IDs (brpool.NoteRecovery) prevent a second dispatch.
		if epoch, ok := r.daemon.session.holds(r.lease); !ok || epoch != e.Grant.Epoch {
			r.leaseLost()
			return
		}
		r.daemon.record(brtimeline.Event{Kind: brtimeline.RequestGranted, RequestID: e.Grant.RequestID, Pool: r.name, EndpointID: e.Grant.EndpointID, Version: e.Grant.Version, Epoch: e.Grant.Epoch, Peer: e.EntryID, Detail: "sent"})
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
		ch := r.pendingLocates[e.Ref]
		delete(r.pendingLocates, e.Ref)
		r.mu.Unlock()
		if ch != nil {
			ch <- e.Located
		}
	case brpool.ReportSamples:
		r.daemon.toControl(brwire.NameSamples, e.Samples)
	case brpool.VersionStopped:
		r.daemon.recordVersionStopped(r.name, e)
		r.daemon.toControl(brwire.NameTrip, brwire.Trip{RolloutID: e.RolloutID, Pool: r.name, Version: e.Version, Route: e.Route, Reason: e.Reason})
	case brpool.Released:
		r.wg.Go(func() { r.releaseLease(e.Epoch) })
	case brpool.NoteEndpoint:
		if e.State == "silent" || e.State == "removed" {
			r.endpointLost(e.EndpointID)
		}
		r.daemon.recordPoolNote(r.name, e)
	default:
		r.daemon.recordPoolNote(r.name, e)
	}
}

// push sends a message to an entry. If the message can't be sent, it is dropped
// and the entry is queried for the requests it holds once it can be reached, so
// that a lost grant is sent again.
func (r *poolRunner) push(entryID string, send func(*brpeer.Conn) error) {
	if c := r.daemon.connTo(entryID); c != nil && send(c) == nil {
		return
	}
	r.post(brpool.EntryJoined{EntryID: entryID})
}

// join queries an entry for the requests it holds, until it replies, the epoch
// ends or joinTimeout has passed.
func (r *poolRunner) join(e brpool.SendJoin) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	for ctx.Err() == nil && r.heldEpoch() == e.Join.Epoch {
		if c := r.daemon.connTo(e.EntryID); c != nil {
			reply, err := brpeer.Call[brwire.Join, brwire.JoinReply](ctx, c, brwire.NameJoin, e.Join)
			if err == nil {
				reply.EntryID = e.EntryID
				r.post(brpool.Recovered{Reply: reply})
				return
			}
		}
		select {
		case <-r.daemon.clock.After(joinRetryInterval):
		case <-r.stop:
			return
		}
	}
}

const (
	// joinTimeout limits the attempts to reach one entry after a takeover. An
	// entry that connects later announces itself.
	joinTimeout       = 5 * time.Second
	joinRetryInterval = 50 * time.Millisecond
)

// locate queries the pool for the endpoint to which a request was dispatched.
func (r *poolRunner) locate(ctx context.Context, l brwire.Locate) (brwire.LocateReply, error) {
	if r.heldEpoch() == 0 {
		return brwire.LocateReply{}, brerror.New(brerror.NotOwner, "pool %s is owned by another scheduler", r.name)
	}
	ch := make(chan brwire.LocateReply, 1)
	r.mu.Lock()
	r.nextRef++
	ref := r.nextRef
	r.pendingLocates[ref] = ch
	r.mu.Unlock()
	r.post(brpool.Locate{Ref: ref, Locate: l})
	select {
	case out := <-ch:
		return out, nil
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.pendingLocates, ref)
		r.mu.Unlock()
		return brwire.LocateReply{}, ctx.Err()
	}
}
