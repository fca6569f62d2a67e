package brdaemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brmember"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
	"github.com/rs/zerolog"
)

const (
	sessionTick = 50 * time.Millisecond
	// heartbeatTimeout is how long a reply to a heartbeat or an answer of
	// another daemon is waited for; later ones would not count any more.
	heartbeatTimeout = 1500 * time.Millisecond
	// switchAfter is how long a replica may leave the daemon without a
	// confirmation before the next replica is tried.
	switchAfter = 1200 * time.Millisecond
	// proposeTimeout bounds a command from its first sending, including resends
	// through other replicas.
	proposeTimeout = 5 * time.Second
	// proposeTry bounds one sending of a command.
	proposeTry = 2 * time.Second
)

// Update is what a watcher receives: a whole view, or the changes that follow
// the view it has.
type Update struct {
	View    *brstate.View    `cbor:"view,omitempty"`
	Changes []brstate.Change `cbor:"changes,omitempty"`
}

// session keeps a daemon in touch with the control group: it sends heartbeats,
// follows the view, proposes commands and decides whether the daemon may take
// work. The decisions are those of brmember.Daemon.
type session struct {
	clock    brclock.Clock
	log      zerolog.Logger
	self     brwire.Daemon
	links    *links
	replicas []string // peer addresses of the control replicas, own one first

	onView    func(old, new brstate.View)
	onStand   func(brmember.Standing)
	onLeases  func(lost []string)
	onExtends func(names []string, until time.Time)

	// updating keeps updates that arrive by several links in the order of their
	// revisions until they are in force; otherwise an older one could come last.
	updating sync.Mutex

	mu       sync.Mutex
	member   *brmember.Daemon
	view     brstate.View
	current  int // index into replicas
	since    time.Time
	lastGood time.Time // last reply of a replica that was in contact with the leader
	// confirmedAt is the time up to which the daemon is known to have been up to
	// date, at first that of its start: a reply is as old as the replica's contact
	// with the leader.
	confirmedAt time.Time

	quiet  atomic.Bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newSession(clock brclock.Clock, log zerolog.Logger, self brwire.Daemon, l *links, replicas []string) *session {
	s := &session{clock: clock, log: log, self: self, links: l, replicas: replicas}
	now := clock.Now()
	s.member = brmember.NewDaemon(now, self.ID)
	s.since, s.confirmedAt = now, now
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// start begins the heartbeats. The callbacks are set before.
func (s *session) start() {
	s.wg.Go(func() {
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-s.clock.After(sessionTick):
				s.step(brmember.Tick{})
				s.chooseReplica()
				s.links.dropBrief(s.clock.Now())
			}
		}
	})
}

// stopBeats ends the heartbeats of a daemon that leaves; commands still work.
func (s *session) stopBeats() { s.quiet.Store(true) }

func (s *session) close() {
	s.cancel()
	s.wg.Wait()
}

// step applies an event and carries the effects out.
func (s *session) step(ev brmember.Event) {
	s.mu.Lock()
	effects := s.member.Step(s.clock.Now(), ev)
	s.mu.Unlock()
	for _, e := range effects {
		s.perform(e)
	}
}

func (s *session) perform(e brmember.Effect) {
	switch e := e.(type) {
	case brmember.SendHeartbeat:
		s.wg.Go(func() { s.heartbeat(e) })
	case brmember.SendAck:
		if c := s.links.conn(s.replica()); c != nil {
			_ = brpeer.Push(c, brwire.NameHeartbeatAck, e.Ack)
		}
	case brmember.QueryPeers:
		for _, id := range e.To {
			s.wg.Go(func() { s.ask(e.Round, id) })
		}
	case brmember.SendQueryReply:
		// Answers are returned by answer, which calls Step itself.
	case brmember.NewerRevisionFound:
		s.wg.Go(func() { s.catchUp(e) })
	case brmember.LeasesExtended:
		s.onExtends(e.Names, e.Until)
	case brmember.LeasesEnded:
		s.onLeases(e.Names)
	case brmember.Frozen:
		s.log.Warn().Dur("stood_still", e.For).Strs("leases", e.Dropped).Msg("process was frozen; leases dropped")
		s.onLeases(e.Dropped)
	case brmember.StandingChanged:
		s.log.Info().Stringer("standing", e.Standing).Msg("standing with the control group changed")
		s.onStand(e.Standing)
	default:
		panic(fmt.Sprintf("brdaemon: unknown member effect %T", e))
	}
}

func (s *session) replica() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[s.current]
}

// replicasInTurn returns the addresses of the control replicas, the session's
// own first.
func (s *session) replicasInTurn() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.current
	return append(slices.Clone(s.replicas[n:]), s.replicas[:n]...)
}

// chooseReplica moves the session on when the present replica has not confirmed
// the daemon for switchAfter.
func (s *session) chooseReplica() {
	s.mu.Lock()
	now := s.clock.Now()
	last := s.since
	if s.lastGood.After(last) {
		last = s.lastGood
	}
	move := now.Sub(last) > switchAfter && len(s.replicas) > 1
	if move {
		s.current = (s.current + 1) % len(s.replicas)
		s.since = now
	}
	address := s.replicas[s.current]
	s.mu.Unlock()
	if move {
		s.log.Debug().Str("replica", address).Msg("session moves to another control replica")
		s.watch(s.links.conn(address))
	}
}

func (s *session) heartbeat(e brmember.SendHeartbeat) {
	c := s.links.conn(s.replica())
	if c == nil || s.quiet.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	h := brwire.Heartbeat{Daemon: s.self, Revision: e.Revision, Sequence: e.Sequence}
	reply, err := brpeer.Call[brwire.Heartbeat, brwire.HeartbeatReply](ctx, c, brwire.NameHeartbeat, h)
	if err != nil {
		return // chooseReplica reacts to missing confirmations
	}
	if reply.Confirmed {
		s.mu.Lock()
		now := s.clock.Now()
		s.confirmedAt = brclock.Later(s.confirmedAt, now.Add(-reply.Age))
		// A replica that lost the leader goes on to answer with an old contact.
		if reply.Age < switchAfter {
			s.lastGood = now
		}
		s.mu.Unlock()
	}
	s.step(brmember.ReplyReceived{Reply: reply})
}

// ask puts the question of an unconfirmed daemon to another one.
func (s *session) ask(round uint64, id string) {
	d, ok := s.present().Daemon(id)
	if !ok {
		return
	}
	c := s.links.briefConn(d.PeerAddress, s.clock.Now())
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	q := brwire.ConfirmedQuery{DaemonID: s.self.ID}
	reply, err := brpeer.Call[brwire.ConfirmedQuery, brwire.ConfirmedReply](ctx, c, brwire.NameConfirmed, q)
	if err == nil {
		s.step(brmember.QueryReplyReceived{Round: round, From: id, Reply: reply})
	}
}

// answer tells another daemon whether this one is confirmed.
func (s *session) answer(from string) (brwire.ConfirmedReply, error) {
	s.mu.Lock()
	effects := s.member.Step(s.clock.Now(), brmember.QueryReceived{From: from})
	s.mu.Unlock()
	var reply brwire.ConfirmedReply
	for _, e := range effects {
		if a, ok := e.(brmember.SendQueryReply); ok {
			reply = a.Reply
			continue
		}
		s.perform(e)
	}
	return reply, nil
}

// catchUp fetches a newer revision from the replica or from another daemon.
func (s *session) catchUp(b brmember.NewerRevisionFound) {
	if b.From == "" {
		s.watch(s.links.conn(s.replica()))
		return
	}
	d, ok := s.present().Daemon(b.From)
	if !ok {
		return
	}
	c := s.links.briefConn(d.PeerAddress, s.clock.Now())
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	u, err := brpeer.Call[brwire.Watch, Update](ctx, c, brwire.NameFetch, brwire.Watch{From: s.present().Revision})
	if err == nil {
		s.update(u)
	}
}

// connected is called for each new connection to an address.
func (s *session) connected(address string, c *brpeer.Conn) {
	if address == s.replica() {
		s.watch(c)
	}
}

func (s *session) watch(c *brpeer.Conn) {
	if c != nil {
		_ = brpeer.Push(c, brwire.NameWatch, brwire.Watch{From: s.present().Revision})
	}
}

// update applies what a replica or another daemon sent.
func (s *session) update(u Update) {
	s.updating.Lock()
	defer s.updating.Unlock()
	s.mu.Lock()
	old := s.view
	if u.View != nil && u.View.Revision > s.view.Revision {
		s.view = *u.View
	}
	gap := false
	for _, c := range u.Changes {
		if c.Revision <= s.view.Revision {
			continue
		}
		if !s.view.Follows(c) {
			gap = true
			break
		}
		s.view = s.view.With(c)
	}
	now := s.view
	s.mu.Unlock()
	if gap {
		s.watch(s.links.conn(s.replica()))
	}
	if now.Revision == old.Revision {
		return
	}
	s.step(brmember.Registered{DaemonIDs: now.DaemonIDs()})
	s.onView(old, now)
	s.step(brmember.Applied{Revision: now.Revision})
}

func (s *session) present() brstate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// registered reports whether the view has this process.
func (s *session) registered() bool {
	row, ok := s.present().Daemon(s.self.ID)
	return ok && row.Incarnation == s.self.Incarnation
}

func (s *session) takesWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.AcceptsWork(s.clock.Now())
}

func (s *session) standing() (brmember.Standing, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return s.member.Standing(now), now.Sub(s.confirmedAt)
}

// holds returns the epoch in which the daemon holds a lease now.
func (s *session) holds(name string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Holds(s.clock.Now(), name)
}
