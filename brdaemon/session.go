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
	// heartbeatTimeout limits the wait for the reply to a heartbeat or to a
	// query of another daemon. Later replies would no longer count.
	heartbeatTimeout = 1500 * time.Millisecond
	// replicaSwitchTimeout is how long the current replica may leave the daemon
	// unconfirmed before the session switches to the next one.
	replicaSwitchTimeout = 1200 * time.Millisecond
	// proposeTimeout limits a command from its first attempt, including resends
	// through other replicas.
	proposeTimeout = 5 * time.Second
	// proposeAttemptTimeout limits one attempt to send a command.
	proposeAttemptTimeout = 2 * time.Second
)

// ViewUpdate is a message to a watcher: a whole view, or the changes that follow
// the watcher's view.
type ViewUpdate struct {
	View    *brstate.View    `cbor:"view,omitempty"`
	Changes []brstate.Change `cbor:"changes,omitempty"`
}

// session maintains a daemon's session with the control group: it sends
// heartbeats, follows the view, proposes commands and decides whether the
// daemon may accept work. brmember.Daemon makes the decisions.
type session struct {
	clock    brclock.Clock
	log      zerolog.Logger
	self     brwire.Daemon
	links    *links
	replicas []string // peer addresses of the control replicas, own one first

	onViewChanged    func(old, new brstate.View)
	onStanding       func(brmember.Standing)
	onLeasesEnded    func(lost []string)
	onLeasesExtended func(names []string, until time.Time)

	// updateMu is held while an update is applied, so that updates that arrive
	// over several links take effect in the order of their revisions. Otherwise
	// an older one could take effect last.
	updateMu sync.Mutex

	mu            sync.Mutex
	member        *brmember.Daemon
	view          brstate.View
	replicaIndex  int // index into replicas
	replicaSince  time.Time
	lastConfirmed time.Time // time of the last reply from a replica in contact with the leader
	// confirmedAt is the last time at which the daemon is known to have been up
	// to date, initially that of its start. A reply confirms the time of the
	// replica's last contact with the leader.
	confirmedAt time.Time

	heartbeatsStopped atomic.Bool
	wg                sync.WaitGroup
	ctx               context.Context
	cancel            context.CancelFunc
}

func newSession(clock brclock.Clock, log zerolog.Logger, self brwire.Daemon, l *links, replicas []string) *session {
	s := &session{clock: clock, log: log, self: self, links: l, replicas: replicas}
	now := clock.Now()
	s.member = brmember.NewDaemon(now, self.ID)
	s.replicaSince, s.confirmedAt = now, now
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// start starts the heartbeats. The callbacks must be set before.
func (s *session) start() {
	s.wg.Go(func() {
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-s.clock.After(sessionTick):
				s.step(brmember.Tick{})
				s.chooseReplica()
				s.links.closeIdleQueryLinks(s.clock.Now())
			}
		}
	})
}

// stopHeartbeats ends the heartbeats of a daemon that deregisters. Commands
// still work.
func (s *session) stopHeartbeats() { s.heartbeatsStopped.Store(true) }

func (s *session) close() {
	s.cancel()
	s.wg.Wait()
}

// step applies an event and performs its effects.
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
			s.wg.Go(func() { s.queryPeer(e.Round, id) })
		}
	case brmember.SendQueryReply:
		// replyToQuery calls Step itself and returns the reply.
	case brmember.NewerRevisionFound:
		s.wg.Go(func() { s.fetchRevision(e) })
	case brmember.LeasesExtended:
		s.onLeasesExtended(e.Names, e.Until)
	case brmember.LeasesEnded:
		s.onLeasesEnded(e.Names)
	case brmember.Frozen:
		s.log.Warn().Dur("stood_still", e.Duration).Strs("leases", e.Dropped).Msg("process was frozen; leases dropped")
		s.onLeasesEnded(e.Dropped)
	case brmember.StandingChanged:
		s.log.Info().Stringer("standing", e.Standing).Msg("confirmation state changed")
		s.onStanding(e.Standing)
	default:
		panic(fmt.Sprintf("brdaemon: unexpected member effect %T", e))
	}
}

func (s *session) replica() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[s.replicaIndex]
}

// replicasFromCurrent returns the addresses of the control replicas, starting
// with the session's current one.
func (s *session) replicasFromCurrent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.replicaIndex
	return append(slices.Clone(s.replicas[n:]), s.replicas[:n]...)
}

// chooseReplica switches the session to the next replica if the current one has
// not confirmed the daemon for replicaSwitchTimeout.
func (s *session) chooseReplica() {
	s.mu.Lock()
	now := s.clock.Now()
	lastContact := s.replicaSince
	if s.lastConfirmed.After(lastContact) {
		lastContact = s.lastConfirmed
	}
	switchReplica := now.Sub(lastContact) > replicaSwitchTimeout && len(s.replicas) > 1
	if switchReplica {
		s.replicaIndex = (s.replicaIndex + 1) % len(s.replicas)
		s.replicaSince = now
	}
	address := s.replicas[s.replicaIndex]
	s.mu.Unlock()
	if switchReplica {
		s.log.Debug().Str("replica", address).Msg("session switches to another control replica")
		s.watch(s.links.conn(address))
	}
}

func (s *session) heartbeat(e brmember.SendHeartbeat) {
	c := s.links.conn(s.replica())
	if c == nil || s.heartbeatsStopped.Load() {
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
		// A replica that lost the leader keeps replying with the age of an old
		// contact.
		if reply.Age < replicaSwitchTimeout {
			s.lastConfirmed = now
		}
		s.mu.Unlock()
	}
	s.step(brmember.ReplyReceived{Reply: reply})
}

// queryPeer sends a confirmation query of this unconfirmed daemon to another
// one.
func (s *session) queryPeer(round uint64, id string) {
	d, ok := s.currentView().Daemon(id)
	if !ok {
		return
	}
	c := s.links.queryConn(d.PeerAddress, s.clock.Now())
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

// replyToQuery replies to another daemon's query whether this daemon is
// confirmed.
func (s *session) replyToQuery(from string) (brwire.ConfirmedReply, error) {
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

// fetchRevision fetches a newer revision from the replica or from another
// daemon.
func (s *session) fetchRevision(e brmember.NewerRevisionFound) {
	if e.From == "" {
		s.watch(s.links.conn(s.replica()))
		return
	}
	d, ok := s.currentView().Daemon(e.From)
	if !ok {
		return
	}
	c := s.links.queryConn(d.PeerAddress, s.clock.Now())
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	u, err := brpeer.Call[brwire.Watch, ViewUpdate](ctx, c, brwire.NameFetch, brwire.Watch{From: s.currentView().Revision})
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
		_ = brpeer.Push(c, brwire.NameWatch, brwire.Watch{From: s.currentView().Revision})
	}
}

// update applies an update from a replica or another daemon.
func (s *session) update(u ViewUpdate) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	s.mu.Lock()
	old := s.view
	if u.View != nil && u.View.Revision > s.view.Revision {
		s.view = *u.View
	}
	missing := false
	for _, c := range u.Changes {
		if c.Revision <= s.view.Revision {
			continue
		}
		if !s.view.Follows(c) {
			missing = true
			break
		}
		s.view = s.view.With(c)
	}
	updated := s.view
	s.mu.Unlock()
	if missing {
		s.watch(s.links.conn(s.replica()))
	}
	if updated.Revision == old.Revision {
		return
	}
	s.step(brmember.Registered{DaemonIDs: updated.DaemonIDs()})
	s.onViewChanged(old, updated)
	s.step(brmember.Applied{Revision: updated.Revision})
}

func (s *session) currentView() brstate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// registered reports whether the view contains this incarnation of the daemon.
func (s *session) registered() bool {
	row, ok := s.currentView().Daemon(s.self.ID)
	return ok && row.Incarnation == s.self.Incarnation
}

func (s *session) acceptsWork() bool {
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

// holds returns the epoch of a lease and whether the daemon holds it now.
func (s *session) holds(name string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Holds(s.clock.Now(), name)
}
