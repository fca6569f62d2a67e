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

// roleLight is the role with which a fleet runs light clients instead of
// daemons.
const roleLight = "light"

// sharedDaemonIDs is the number of daemon IDs that all light clients share.
// Registering more daemons would take longer than the measurement.
const sharedDaemonIDs = 10

// lightClient is a client that receives the changes of the view and sends
// heartbeats and acknowledgements like a daemon, but does nothing else. It
// replaces real daemons since 400 of them on one machine would compete for its
// cores at each change.
type lightClient struct {
	self    brwire.Daemon
	c       *brpeer.Conn
	changed chan struct{} // signaled when an update was received

	mu         sync.Mutex
	revision   uint64
	receivedAt int64 // UnixNano at which revision was received
	ready      bool
}

// startLight connects the i-th light client to a control replica.
func startLight(i int, peer brsetting.ControlPeer) (*lightClient, error) {
	s := &lightClient{changed: make(chan struct{}, 1), self: brwire.Daemon{ID: fmt.Sprintf("vm-%03d", i%sharedDaemonIDs),
		Incarnation: fmt.Sprintf("00000000-0000-7000-8000-%012d", i%sharedDaemonIDs), Roles: []brwire.Role{brwire.RoleEntry},
		PeerAddress: "127.0.0.1:65000", CallerAddress: "127.0.0.1:65001", Region: "local", FailureDomain: "domain-a"}}
	m := &brpeer.Mux{}
	brpeer.HandlePush(m, brwire.NameChange, func(_ *brpeer.Conn, u brdaemon.ViewUpdate) { s.update(u) })
	c, err := brpeer.Dial(context.Background(), peer.Address, brpeer.Keys{peerKey}, m)
	if err != nil {
		return nil, err
	}
	s.c = c
	go s.run()
	return s, brpeer.Push(c, brwire.NameWatch, brwire.Watch{})
}

// update records the newest revision of an update.
func (s *lightClient) update(u brdaemon.ViewUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.View != nil {
		s.revision, s.receivedAt = u.View.Revision, time.Now().UnixNano()
	}
	for _, c := range u.Changes {
		s.revision, s.receivedAt = c.Revision, time.Now().UnixNano()
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run sends heartbeats every second and after each change until the link ends.
func (s *lightClient) run() {
	wait := rand.N(time.Second)
	for q := uint64(1); ; q++ {
		select {
		case <-s.c.Done():
			return
		case <-s.changed:
			time.Sleep(50 * time.Millisecond) // the delay of brmember's next heartbeat after a change
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

// addTo adds the state and the traffic of the client to u.
func (s *lightClient) addTo(u *usage, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		u.Ready++
	}
	if revision > 0 && s.revision >= revision {
		u.Applied++
		u.AppliedAt = max(u.AppliedAt, s.receivedAt)
	}
	in, out := s.c.Bytes()
	u.In, u.Out = u.In+int64(in), u.Out+int64(out)
}
