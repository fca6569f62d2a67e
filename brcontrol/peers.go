package brcontrol

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brlog"
	"bramleyroute/brpeer"
	"bramleyroute/brwire"

	"github.com/google/uuid"
)

// Names of the remote calls between replicas.
const (
	callPropose = "log_propose"
	callRead    = "log_read"
	callChange  = "log_change"
	callHello   = "log_hello"
	callYield   = "log_yield"
)

// envelope is a message together with the listen address of its sender. A
// joining replica does not have the membership yet and needs the address to
// reply.
type envelope struct {
	Address string        `cbor:"address"`
	Message brlog.Message `cbor:"message"`
}

type proposeRequest struct {
	Data []byte `cbor:"data"`
}

type proposeReply struct {
	Result []byte `cbor:"result"`
}

// yieldRequest asks the leader to make the voter ID a learner.
type yieldRequest struct {
	ID brlog.ID `cbor:"id"`
}

type indexReply struct {
	Index uint64 `cbor:"index"`
}

type changeRequest struct {
	Add    brlog.Member `cbor:"add"`
	Remove brlog.ID     `cbor:"remove"`
}

// helloReply describes the group as seen by one replica.
type helloReply struct {
	Established   bool           `cbor:"established"` // the group has had a leader
	Members       []brlog.Member `cbor:"members,omitempty"`
	LeaderAddress string         `cbor:"leader_address,omitempty"`
	Removed       []brlog.ID     `cbor:"removed,omitempty"` // IDs that can't be used again
}

func (r *Replica) name(base string) string { return groupName(base, r.cfg.Group) }

func groupName(base, group string) string {
	if group == "" {
		return base
	}
	return base + "/" + group
}

// Register adds the handlers for messages from other replicas to m. It must be
// called once, before m starts serving.
func (r *Replica) Register(m *brpeer.Mux) {
	RegisterFunc(m, func() *Replica { return r }, r.cfg.Group)
}

// RegisterFunc adds the handlers for messages from other replicas to m. It is
// intended for processes that replace the replica of a group while m is serving.
// The function current returns the running replica, or nil if there is none.
func RegisterFunc(m *brpeer.Mux, current func() *Replica, group string) {
	brpeer.HandlePush(m, groupName(brwire.NameLog, group), func(_ *brpeer.Conn, e envelope) {
		if r := current(); r != nil {
			r.deliver(e)
		}
	})
	handleReplica(m, groupName(callPropose, group), current, func(r *Replica, ctx context.Context, q proposeRequest) (proposeReply, error) {
		if _, self := r.leader(); !self {
			return proposeReply{}, brerror.New(brerror.NotLeader, "this replica is not the leader")
		}
		out, err := r.proposeLocal(ctx, q.Data)
		return proposeReply{out}, err
	})
	handleReplica(m, groupName(callRead, group), current, func(r *Replica, _ context.Context, _ struct{}) (indexReply, error) {
		i, err := r.readIndex()
		return indexReply{i}, err
	})
	handleReplica(m, groupName(callChange, group), current, (*Replica).changeLocal)
	handleReplica(m, groupName(callYield, group), current, (*Replica).yieldLocal)
	handleReplica(m, groupName(callHello, group), current, func(r *Replica, _ context.Context, _ struct{}) (helloReply, error) {
		return r.hello(), nil
	})
}

// handleReplica registers f as the handler for calls to name. Calls are dispatched
// to the replica returned by current, with a timeout of proposeTimeout.
func handleReplica[Q, A any](m *brpeer.Mux, name string, current func() *Replica, f func(*Replica, context.Context, Q) (A, error)) {
	brpeer.HandleCall(m, name, func(ctx context.Context, _ *brpeer.Conn, q Q) (A, error) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		r := current()
		if r == nil {
			var none A
			return none, brerror.New(brerror.NotLeader, "no replica is running in this process")
		}
		return f(r, ctx, q)
	})
}

// deliver passes a message to the State. The protocol tolerates the loss of those that it
// drops.
func (r *Replica) deliver(e envelope) {
	if e.Message.Check() != nil {
		return // no replica of this release sends it
	}
	r.mu.Lock()
	ready := r.state != nil
	if ready {
		r.addresses[e.Message.From] = e.Address
	}
	r.mu.Unlock()
	if !ready {
		return
	}
	select {
	case r.inbox <- e.Message:
	default: // drop the message
	}
}

func (r *Replica) transmit(e brlog.Send) {
	r.mu.Lock()
	address := e.Address
	if address == "" {
		address = r.addresses[e.Message.To]
	}
	r.mu.Unlock()
	if address == "" {
		return
	}
	l := r.link(address)
	if l == nil {
		return
	}
	if c := l.Conn(); c != nil {
		// An error means that the connection is closed. The brlog.State tolerates
		// message loss.
		_ = brpeer.Push(c, r.name(brwire.NameLog), envelope{r.cfg.Self.Address, e.Message})
	}
}

// openLinks starts connecting to all members, so that connections are open for
// the first election when all replicas start at the same time.
func (r *Replica) openLinks() {
	for _, m := range r.Status().Membership.Members {
		if m.Address != r.cfg.Self.Address {
			r.link(m.Address)
		}
	}
}

// link returns the link to address, or nil after Close.
func (r *Replica) link(address string) *brpeer.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links == nil || r.ctx.Err() != nil {
		return nil
	}
	l := r.links[address]
	if l == nil {
		l = brpeer.NewLink(address, r.cfg.Keys, nil, nil)
		r.links[address] = l
	}
	return l
}

const (
	// retryInterval is the delay between attempts to form or join a group.
	retryInterval = 100 * time.Millisecond
	// helloTimeout is the timeout for querying the other replicas.
	helloTimeout = time.Second
	// memberCheckInterval is the interval between checks that this replica is
	// still a member.
	memberCheckInterval = 2 * time.Second
)

// connectTimeout is the timeout for connecting to a replica. It is short because
// the leader may have changed in the meantime.
const connectTimeout = 250 * time.Millisecond

// connect returns an open connection to address, or nil if none is established
// within connectTimeout.
func (r *Replica) connect(ctx context.Context, address string) *brpeer.Conn {
	l := r.link(address)
	if l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := l.Wait(ctx)
	if err != nil {
		return nil
	}
	return c
}

// membershipApplied closes the links to replicas that are neither members nor
// configured peers. It stops this replica if it was removed from the group.
func (r *Replica) membershipApplied() {
	st := r.Status()
	if st.Removed {
		r.fatal(ErrRemoved)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := map[string]bool{}
	for _, m := range st.Membership.Members {
		keep[m.Address] = true
	}
	for _, p := range r.peers() {
		keep[p.Address] = true
	}
	for address, l := range r.links {
		if !keep[address] {
			delete(r.links, address)
			r.wg.Go(l.Close)
		}
	}
}

func (r *Replica) hello() helloReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stored.ID == "" {
		return helloReply{}
	}
	if r.state == nil {
		return helloReply{Established: r.stored.HardState.Term != 1}
	}
	st := r.state.Status()
	return helloReply{
		// A bootstrapped replica is in term 1 until the first election.
		Established: st.Term != 1,
		Members:     st.Membership.Members, LeaderAddress: st.LeaderAddress, Removed: r.state.RemovedIDs(),
	}
}

// peers returns the discovered replicas if Config.Discover is set, and the
// configured ones otherwise.
func (r *Replica) peers() []Peer {
	if r.cfg.Discover != nil {
		return r.cfg.Discover()
	}
	return r.cfg.Peers
}

// otherPeers returns the peers without this replica.
func (r *Replica) otherPeers() []Peer {
	return slices.DeleteFunc(slices.Clone(r.peers()), func(p Peer) bool {
		return p.ID == r.cfg.Self.ID || p.Address == r.cfg.Self.Address
	})
}

// queryPeers sends a hello call to all other replicas concurrently and returns
// the replies that arrive within helloTimeout.
func (r *Replica) queryPeers() (replies []helloReply) {
	others := r.otherPeers()
	received := make(chan *helloReply, len(others))
	ctx, cancel := context.WithTimeout(r.ctx, helloTimeout)
	defer cancel()
	for _, p := range others {
		go func() {
			received <- r.queryPeer(ctx, p.Address)
		}()
	}
	for range others {
		if a := <-received; a != nil {
			replies = append(replies, *a)
		}
	}
	return replies
}

func (r *Replica) queryPeer(ctx context.Context, address string) *helloReply {
	c := r.connect(ctx, address)
	if c == nil {
		return nil
	}
	reply, err := brpeer.Call[struct{}, helloReply](ctx, c, r.name(callHello), struct{}{})
	if err != nil {
		return nil
	}
	return &reply
}

// formGroup returns the initial state of a replica with an empty disk, either for
// a new group or for joining an established one. The package comment describes
// the rules.
func (r *Replica) formGroup() (brlog.StoredState, error) {
	for r.ctx.Err() == nil {
		replies := r.queryPeers()
		if slices.ContainsFunc(replies, func(h helloReply) bool { return h.Established }) {
			return brlog.StoredState{ID: brlog.ID(fmt.Sprintf("%s.%s", r.cfg.Self.ID, uuid.NewString()))}, nil
		}
		if r.cfg.Discover != nil {
			if r.cfg.MayBootstrap() {
				id := brlog.ID(r.cfg.Self.ID)
				return brlog.Bootstrap(id, []brlog.Member{{ID: id, Address: r.cfg.Self.Address}}), nil
			}
			r.sleep(retryInterval)
			continue
		}
		if len(replies) == len(r.otherPeers()) {
			members := []brlog.Member{{ID: brlog.ID(r.cfg.Self.ID), Address: r.cfg.Self.Address}}
			for _, p := range r.otherPeers() {
				members = append(members, brlog.Member{ID: brlog.ID(p.ID), Address: p.Address})
			}
			return brlog.Bootstrap(brlog.ID(r.cfg.Self.ID), members), nil
		}
		r.sleep(retryInterval)
	}
	return brlog.StoredState{}, nil
}

func (r *Replica) sleep(d time.Duration) {
	select {
	case <-r.cfg.Clock.After(d):
	case <-r.ctx.Done():
	}
}

// joinGroup asks the leader to add this replica as long as it is not a member. It
// keeps checking after the replica was added, because a new leader may discard
// an addition that was not committed. A member without a leader asks whether it was
// removed: it may know none of the present members, nor their addresses.
func (r *Replica) joinGroup() {
	for r.ctx.Err() == nil {
		st := r.Status()
		_, member := st.Membership.Find(st.ID)
		if member {
			r.sleep(memberCheckInterval)
			if address, self := r.leader(); address != "" || self {
				continue
			}
		}
		replies := r.queryPeers()
		reported := func(h helloReply) bool { return slices.Contains(h.Removed, st.ID) }
		if st.Removed || slices.ContainsFunc(replies, reported) {
			r.fatal(ErrRemoved)
			return
		}
		if member {
			continue
		}
		for _, h := range replies {
			if h.LeaderAddress != "" && r.requestJoin(h, st.ID) {
				break
			}
		}
		r.sleep(retryInterval)
	}
}

func (r *Replica) requestJoin(h helloReply, id brlog.ID) bool {
	m := brlog.Member{ID: id, Address: r.cfg.Self.Address}
	for _, x := range h.Members {
		if x.ID == id {
			return true
		}
		if x.Address == m.Address {
			m.Replaces = x.ID
		}
	}
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	c := r.connect(ctx, h.LeaderAddress)
	if c == nil {
		return false
	}
	_, err := brpeer.Call[changeRequest, indexReply](ctx, c, r.name(callChange), changeRequest{Add: m})
	if brerror.Is(err, brerror.InvalidRequest) { // only removed IDs are rejected as invalid
		r.fatal(ErrRemoved)
	}
	return err == nil
}
