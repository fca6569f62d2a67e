package brcapacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bramleyroute/brdaemon"
	"bramleyroute/brpeer"
	"bramleyroute/brsetting"
	"bramleyroute/brwire"
)

// roleLight makes the fleet of light clients instead of daemons.
const roleLight = "light"

// sessions is the number of daemon ids that light clients share: registering
// more would take longer than the measurement.
const sessions = 10

// light follows the view and sends the heartbeats and acknowledgements of a
// daemon, without its other parts. 400 real daemons on one machine would compete
// for its cores at each change.
type light struct {
	self brwire.Daemon
	c    *brpeer.Conn
	soon chan struct{} // a change came

	mu       sync.Mutex
	revision uint64
	at       int64 // UnixNano, when revision came
	ready    bool
}

func startLight(i int, peer brsetting.ControlPeer) (*light, error) {
	s := &light{soon: make(chan struct{}, 1), self: brwire.Daemon{ID: fmt.Sprintf("vm-%03d", i%sessions),
		Incarnation: fmt.Sprintf("00000000-0000-7000-8000-%012d", i%sessions), Roles: []brwire.Role{brwire.RoleEntry},
		PeerAddress: "127.0.0.1:65000", CallerAddress: "127.0.0.1:65001", Region: "local", FailureDomain: "domain-a"}}
	m := &brpeer.Mux{}
	brpeer.HandlePush(m, brwire.NameChange, func(_ *brpeer.Conn, u brdaemon.Update) { s.update(u) })
	c, err := brpeer.Dial(context.Background(), peer.Address, brpeer.Keys{peerKey}, m)
	if err != nil {
		return nil, err
	}
	s.c = c
	go s.run()
	return s, brpeer.Push(c, brwire.NameWatch, brwire.Watch{})
}

func (s *light) update(u brdaemon.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.View != nil {
		s.revision, s.at = u.View.Revision, time.Now().UnixNano()
	}
	for _, c := range u.Changes {
		s.revision, s.at = c.Revision, time.Now().UnixNano()
	}
	select {
	case s.soon <- struct{}{}:
	default:
	}
}

func (s *light) run() {
	wait := rand.N(time.Second)
	for q := uint64(1); ; q++ {
		select {
		case <-s.c.Done():
			return
		case <-s.soon:
			time.Sleep(50 * time.Millisecond) // as brmember sends the next heartbeat after a change
		case <-time.After(wait):
		}
		wait = time.Second
		s.mu.Lock()
		r := s.revision
		s.mu.Unlock()
		reply, err := brpeer.Call[brwire.Heartbeat, brwire.HeartbeatReply](context.Background(), s.c, brwire.NameHeartbeat, brwire.Heartbeat{Daemon: s.self, Revision: r, Sequence: q})
		if err != nil {
			return
		}
		s.mu.Lock()
		s.ready = s.ready || reply.Confirmed
		s.mu.Unlock()
		_ = brpeer.Push(s.c, brwire.NameHeartbeatAck, brwire.HeartbeatAck{DaemonID: s.self.ID, Sequence: q, Revision: r, Age: time.Millisecond, ConfirmedFor: time.Minute})
	}
}

// standing adds the client to a reading.
func (s *light) standing(u *usage, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		u.Ready++
	}
	if revision > 0 && s.revision >= revision {
		u.Applied++
		u.AppliedAt = max(u.AppliedAt, s.at)
	}
	in, out := s.c.Bytes()
	u.In, u.Out = u.In+int64(in), u.Out+int64(out)
}
