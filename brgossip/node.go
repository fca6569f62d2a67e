package brgossip

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

const (
	// KindDaemon is the kind of the records by which daemons discover each other.
	KindDaemon = "daemon"

	daemonLifetime = 15 * time.Second
	renewInterval  = 5 * time.Second // of this daemon's own record

	pushHello     = "gossip_hello"
	pushRecord    = "gossip_records"
	pushSubscribe = "gossip_subscribe"
)

// Daemon is the record that a daemon publishes about itself.
type Daemon struct {
	ID            string `cbor:"id"`
	Address       string `cbor:"address"` // host:port of its peer listener
	FailureDomain string `cbor:"zone"`
	Replica       bool   `cbor:"replica"` // has a disk for the replicated log
	Leaving       bool   `cbor:"leaving"` // is shutting down
}

type helloMessage struct {
	Address string `cbor:"address"`
}

type batch struct {
	Records []Record `cbor:"records"`
}

// Config configures a Node.
type Config struct {
	Self  Daemon
	Epoch uint64 // version epoch of this incarnation's daemon record; greater than the previous one, or random
	Keys  brpeer.Keys
	Mux   *brpeer.Mux // handlers of the daemon's peer listener; the node adds its own
	// Seeds returns the currently configured peer addresses.
	Seeds func() []string
	// Accept returns an error for a record that is newer than the stored one and must
	// neither replace it nor be passed on; nil accepts each. It must not block.
	Accept func(Record) error
	// OnRecord is called with each new version of a record, whether published
	// locally or received, and OnExpired with each expired record. Calls don't
	// overlap and must not block.
	OnRecord  func(Record)
	OnExpired func(Record)
	// OnDropped is called with each record that can't be decoded, as far as it could be,
	// fails Record.Check or isn't accepted. It may be nil, and must not block.
	OnDropped func(Record, error)
	// OnLink is called when a link to a daemon has opened or closed.
	OnLink func(address string, open bool)

	// DirectKinds holds the kinds of records that are not flooded. Their writer sends
	// them directly to its peers; in a large fleet, relays forward them.
	DirectKinds map[string]bool
	// DomainKinds holds the kinds of direct records that, in a large fleet, only the
	// daemons of the writer's failure domain receive. They are sent more often than
	// the others. In a small fleet they are not sent at all.
	DomainKinds map[string]bool
	// OpenRelays is the least number of replicas that a daemon of a large fleet keeps open
	// links to, as far as they can be reached; at least 2. Confirm needs it for records that
	// so many replicas should have.
	OpenRelays    int
	FlushInterval time.Duration // 0 means DefaultFlushInterval
	Clock         brclock.Clock // nil means the system clock
}

// Node maintains links to other daemons and floods records over them. It is safe
// for concurrent use.
type Node struct {
	cfg Config

	mu            sync.Mutex
	store         Store
	peers         map[*brpeer.Conn]*peer
	links         map[string]*brpeer.Link
	unlinkedSince map[string]time.Time // by address: time since which a desired link is missing
	daemons       map[string]Daemon    // by record key
	sorted        []Daemon             // values of daemons sorted by address; nil after a change
	relay         *brpeer.Conn         // forwards direct records for this daemon in a large fleet
	seq           uint64
	closed        bool
	closedLinks   traffic // of the links that are closed

	wake chan struct{}
	stop chan struct{}
	wg   sync.WaitGroup
}

// New returns a node that is not running yet. It adds its handlers to cfg.Mux,
// which the caller serves at cfg.Self.Address. New panics if Mux, Seeds or OnRecord
// is missing.
func New(cfg Config) *Node {
	if cfg.Mux == nil || cfg.Seeds == nil || cfg.OnRecord == nil {
		panic("brgossip: Config.Mux, Config.Seeds and Config.OnRecord are required")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = DefaultFlushInterval
	}
	n := &Node{
		cfg:           cfg,
		peers:         map[*brpeer.Conn]*peer{},
		links:         map[string]*brpeer.Link{},
		unlinkedSince: map[string]time.Time{},
		daemons:       map[string]Daemon{},
		wake:          make(chan struct{}, 1),
		stop:          make(chan struct{}),
	}
	brpeer.HandlePush(cfg.Mux, pushHello, func(c *brpeer.Conn, h helloMessage) { n.addPeer(c, h.Address) })
	brpeer.HandlePush(cfg.Mux, pushRecord, n.receive)
	brpeer.HandlePush(cfg.Mux, pushSubscribe, n.handleSubscribe)
	brpeer.HandleCall(cfg.Mux, callConfirm, n.handleConfirm)
	return n
}

// Run starts the node. All handlers must have been added to the Mux before, since
// messages may arrive as soon as the node dials a link.
func (n *Node) Run() {
	n.announce()
	n.wg.Go(n.runFlush)
	n.wg.Go(n.runLinks)
}

// Close closes the links and waits until the node has stopped. It may be called
// more than once.
func (n *Node) Close() {
	n.mu.Lock()
	closed := n.closed
	n.closed = true
	links := n.links
	n.links = nil
	n.mu.Unlock()
	if !closed {
		close(n.stop)
	}
	for _, l := range links {
		l.Close()
	}
	n.wg.Wait()
}

// Publish publishes a record of this daemon, or of an endpoint that announced
// itself here, to all daemons. It reports whether the record is newer than the
// stored one. A record that fails Record.Check isn't.
func (n *Node) Publish(r Record) bool {
	return n.merge(r, nil)
}

// Get returns the record with the given key and whether it exists.
func (n *Node) Get(key string) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Get(n.cfg.Clock.Now(), key)
}

// Daemons returns all known daemons, including this one, sorted by address.
func (n *Node) Daemons() []Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.topology().daemons)
}

// SendsDomainRecords reports whether the fleet is so large that records of DomainKinds
// are sent.
func (n *Node) SendsDomainRecords() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.topology().sparse()
}

func (n *Node) topology() topology {
	if n.sorted == nil {
		n.sorted = slices.SortedFunc(maps.Values(n.daemons), func(a, b Daemon) int { return strings.Compare(a.Address, b.Address) })
	}
	return topology{self: n.cfg.Self, daemons: n.sorted, openRelays: n.cfg.OpenRelays}
}

// LinkedAddresses returns the addresses of the daemons with an open link, sorted.
func (n *Node) LinkedAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, p := range n.peers {
		addresses = append(addresses, p.address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Bytes returns the number of payload bytes that this daemon has received and sent over
// its links.
func (n *Node) Bytes() (in, out uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in, out = n.closedLinks.in, n.closedLinks.out
	for c := range n.peers {
		i, o := c.Bytes()
		in, out = in+i, out+o
	}
	return in, out
}

// Conn returns an open connection to the daemon at address, or nil. Of several
// connections it returns the one that received a message last.
func (n *Node) Conn(address string) *brpeer.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conn(address)
}

func (n *Node) conn(address string) *brpeer.Conn {
	var best *brpeer.Conn
	for c, p := range n.peers {
		if p.address == address && (best == nil || c.SinceLastFrame() < best.SinceLastFrame()) {
			best = c
		}
	}
	return best
}

// Leave announces to the other daemons that this one is shutting down.
func (n *Node) Leave() {
	n.mu.Lock()
	n.cfg.Self.Leaving = true
	n.mu.Unlock()
	n.announce()
}

// announce publishes this daemon's own record.
func (n *Node) announce() {
	n.mu.Lock()
	n.seq++
	self, seq := n.cfg.Self, n.seq
	n.mu.Unlock()
	value, err := brwire.Encode(self)
	if err != nil {
		panic(fmt.Sprintf("brgossip: encode daemon: %v", err))
	}
	n.Publish(Record{
		Key: KindDaemon + "/" + self.ID, Version: Version{Epoch: n.cfg.Epoch, Seq: seq},
		Value: value, Lifetime: daemonLifetime,
	})
}

// merge stores a record if it is newer than the stored one, and schedules it for
// the peers other than the one that it came from. It reports whether the record
// was stored.
func (n *Node) merge(r Record, from *brpeer.Conn) bool {
	if err := r.Check(); err != nil {
		n.drop(r, err)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[from]
	if !n.accepts(r) {
		return false
	}
	if !n.store.Merge(n.cfg.Clock.Now(), r) {
		if p != nil {
			n.dropPending(p, r)
		}
		return false
	}
	if p != nil {
		p.removePending(r.Key)
	}
	n.updateDaemon(r)
	if targets := n.targets(r, from); len(targets) > 0 {
		for _, q := range targets {
			n.addPending(q, r)
		}
		n.wakeFlush()
	}
	n.cfg.OnRecord(r)
	return true
}

// targets returns the peers that a newer record is sent to.
func (n *Node) targets(r Record, from *brpeer.Conn) []*peer {
	switch kind := r.Kind(); {
	case n.cfg.DomainKinds[kind]:
		return n.domainTargets(from)
	case n.cfg.DirectKinds[kind]:
		return n.directTargets(from)
	}
	var targets []*peer
	for c, p := range n.peers {
		if c != from {
			targets = append(targets, p)
		}
	}
	return targets
}

// updateDaemon updates the set of daemons from a newer record.
func (n *Node) updateDaemon(r Record) {
	if r.Kind() != KindDaemon {
		return
	}
	// A value that cannot be decoded comes from a later release. Its daemon isn't linked.
	if d, err := brwire.Decode[Daemon](r.Value); err == nil && n.daemons[r.Key] != d {
		n.daemons[r.Key], n.sorted = d, nil
	}
}

// flooded reports whether all daemons receive the records of a kind from each of their
// peers.
func (n *Node) flooded(kind string) bool {
	return !n.cfg.DirectKinds[kind] && !n.cfg.DomainKinds[kind]
}

func (n *Node) wakeFlush() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
