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
	// KindDaemon is the kind of the records by which daemons find each other.
	KindDaemon = "daemon"

	daemonLifetime = 15 * time.Second
	renewInterval  = 5 * time.Second // of the own daemon record

	pushHello     = "gossip_hello"
	pushRecord    = "gossip_records"
	pushSubscribe = "gossip_subscribe"
)

// Daemon is what a daemon tells about itself.
type Daemon struct {
	ID      string `cbor:"id"`
	Address string `cbor:"address"` // host:port of its peer listener
	Zone    string `cbor:"zone"`    // failure domain
	Replica bool   `cbor:"replica"` // has a disk for the replicated log
	Leaving bool   `cbor:"leaving"` // is stopping
}

type hello struct {
	Address string `cbor:"address"`
}

type batch struct {
	Records []Record `cbor:"records"`
}

// Config is what a Node runs with.
type Config struct {
	Self  Daemon
	Epoch uint64 // of this incarnation's daemon record; greater than of the one before, or random
	Keys  brpeer.Keys
	Mux   *brpeer.Mux // the handlers of the daemon's peer listener; the node adds its own
	// Seeds returns the peer addresses that the settings name at present.
	Seeds func() []string
	// OnRecord is told each record that became newer, from here or elsewhere, and
	// OnExpired each that was dropped. They run one at a time and must not block.
	OnRecord  func(Record)
	OnExpired func(Record)
	// OnLink is told when a link to a daemon opened or ended.
	OnLink func(address string, open bool)

	// Direct holds the kinds of records that are not flooded: their writer sends
	// them, and in a large fleet relays pass them on.
	Direct map[string]bool
	Flush  time.Duration // 0 means DefaultFlush
	Clock  brclock.Clock // nil means the system's
}

// Node keeps links to the other daemons and floods records over them. It is safe
// for concurrent use.
type Node struct {
	cfg Config

	mu      sync.Mutex
	store   Store
	peers   map[*brpeer.Conn]*peer
	links   map[string]*brpeer.Link
	missing map[string]time.Time // address: since when there is no link
	daemons map[string]Daemon    // by record key
	sorted  []Daemon             // the same by address; nil when daemons has changed
	relay   *brpeer.Conn         // that passes direct records on for this daemon, in a large fleet
	seq     uint64
	closed  bool

	wake chan struct{}
	stop chan struct{}
	wg   sync.WaitGroup
}

type peer struct {
	address    string
	pending    map[string]struct{}
	relayed    bool // wants to be sent direct records of others
	subscribed bool // was asked for them
}

// New returns a node that doesn't run yet. It adds its handlers to cfg.Mux, which
// the caller serves at cfg.Self.Address. New panics if a function of cfg is
// missing.
func New(cfg Config) *Node {
	if cfg.Mux == nil || cfg.Seeds == nil || cfg.OnRecord == nil {
		panic("brgossip: config without Mux, Seeds or OnRecord")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	if cfg.Flush == 0 {
		cfg.Flush = DefaultFlush
	}
	n := &Node{
		cfg:     cfg,
		peers:   map[*brpeer.Conn]*peer{},
		links:   map[string]*brpeer.Link{},
		missing: map[string]time.Time{},
		daemons: map[string]Daemon{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	brpeer.HandlePush(cfg.Mux, pushHello, func(c *brpeer.Conn, h hello) { n.open(c, h.Address) })
	brpeer.HandlePush(cfg.Mux, pushRecord, n.receive)
	brpeer.HandlePush(cfg.Mux, pushSubscribe, n.subscribed)
	return n
}

// Run starts the node. All handlers of the Mux must have been added: links that
// the node dials bring messages at once.
func (n *Node) Run() {
	n.announce()
	n.wg.Go(n.runFlush)
	n.wg.Go(n.runLinks)
}

// Close ends the links and waits. It may be called more than once.
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

// Publish shares a record of this daemon or of an endpoint that announced itself
// here. It reports whether the record is newer than what was known.
func (n *Node) Publish(r Record) bool {
	return n.merge(r, nil)
}

// Get returns a record.
func (n *Node) Get(key string) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Get(n.cfg.Clock.Now(), key)
}

// Daemons returns the daemons that are known, this one included, sorted by
// address.
func (n *Node) Daemons() []Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.topology().daemons)
}

func (n *Node) topology() topology {
	if n.sorted == nil {
		n.sorted = slices.SortedFunc(maps.Values(n.daemons), func(a, b Daemon) int { return strings.Compare(a.Address, b.Address) })
	}
	return topology{self: n.cfg.Self, daemons: n.sorted}
}

// Linked returns the addresses of the daemons with an open link.
func (n *Node) Linked() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, p := range n.peers {
		addresses = append(addresses, p.address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Conn returns an open connection to the daemon at address, or nil.
func (n *Node) Conn(address string) *brpeer.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conn(address)
}

func (n *Node) conn(address string) *brpeer.Conn {
	var best *brpeer.Conn
	for c, p := range n.peers {
		if p.address == address && (best == nil || c.Silent() < best.Silent()) {
			best = c
		}
	}
	return best
}

// Leave tells the other daemons that this one is stopping.
func (n *Node) Leave() {
	n.mu.Lock()
	n.cfg.Self.Leaving = true
	n.mu.Unlock()
	n.announce()
}

// announce publishes the own daemon record.
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

// merge takes a record and schedules it for every peer but the one it came from.
func (n *Node) merge(r Record, from *brpeer.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[from]
	if !n.store.Merge(n.cfg.Clock.Now(), r) {
		if p != nil {
			n.known(p, r)
		}
		return false
	}
	if p != nil {
		delete(p.pending, r.Key)
	}
	n.noteDaemon(r)
	if targets := n.targets(r, from); len(targets) > 0 {
		for _, q := range targets {
			q.pending[r.Key] = struct{}{}
		}
		n.wakeFlush()
	}
	n.cfg.OnRecord(r)
	return true
}

// targets returns the peers that a newer record is sent to.
func (n *Node) targets(r Record, from *brpeer.Conn) []*peer {
	if n.cfg.Direct[r.Kind()] {
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

// noteDaemon takes a newer record of a daemon.
func (n *Node) noteDaemon(r Record) {
	if r.Kind() != KindDaemon {
		return
	}
	// A value that can't be decoded is of a later release; its daemon isn't linked.
	if d, err := brwire.Decode[Daemon](r.Value); err == nil && n.daemons[r.Key] != d {
		n.daemons[r.Key], n.sorted = d, nil
	}
}

// known drops a pending record that the peer has shown to have.
func (n *Node) known(p *peer, r Record) {
	if e, ok := n.store.entries[r.Key]; ok && e.record.Version == r.Version {
		delete(p.pending, r.Key)
	}
}

func (n *Node) wakeFlush() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// receive takes the records of another daemon.
func (n *Node) receive(c *brpeer.Conn, b batch) {
	for _, r := range b.Records {
		n.merge(r, c)
	}
}

// open starts to send to a peer that said hello, or that was dialled.
func (n *Node) open(c *brpeer.Conn, address string) {
	n.mu.Lock()
	if n.closed || n.peers[c] != nil {
		n.mu.Unlock()
		return
	}
	p := &peer{address: address, pending: map[string]struct{}{}}
	for key, e := range n.store.entries {
		if !n.cfg.Direct[e.record.Kind()] {
			p.pending[key] = struct{}{}
		}
	}
	n.peers[c] = p
	delete(n.missing, address)
	n.wg.Go(func() { n.watch(c, address) })
	n.mu.Unlock()
	n.wakeFlush()
	n.tellLink(address, true)
}

func (n *Node) watch(c *brpeer.Conn, address string) {
	select {
	case <-c.Done():
	case <-n.stop:
	}
	n.mu.Lock()
	delete(n.peers, c)
	n.mu.Unlock()
	n.tellLink(address, false)
}

func (n *Node) tellLink(address string, open bool) {
	if n.cfg.OnLink != nil {
		n.cfg.OnLink(address, open)
	}
}
