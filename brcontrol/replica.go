package brcontrol

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brlog"
	"bramleyroute/brpeer"
	"bramleyroute/brwal"
)

const (
	// tickInterval is the interval of Tick events. It is well below the two
	// heartbeat intervals after which the brlog.State assumes a clock jump.
	tickInterval = 50 * time.Millisecond
	// proposeTimeout is the timeout of calls whose context has no earlier deadline.
	proposeTimeout = 5 * time.Second
	// MaxProposalBytes is the maximum data size of a proposal, in bytes.
	MaxProposalBytes = 1 << 20
	// maxClockDivergence is the difference between the elapsed wall clock and
	// monotonic clock times of two steps above which the process is assumed to
	// have been suspended.
	maxClockDivergence = 100 * time.Millisecond

	// The heartbeat interval and the lease duration are heartbeatPart and leasePart
	// out of electionParts of the election timeout.
	heartbeatPart, leasePart, electionParts = 2, 8, 10

	// yieldPart is the part of Config.VoterTimeout, for which a yielded vote isn't given back,
	// after which a stopping replica repeats its request: one that is lost is made up for.
	yieldPart = 4

	inboxSize         = 4096 // messages; further messages are dropped
	proposalQueueSize = 1024 // proposals; callers block when the queue is full
)

// StateMachine is the replicated state machine. Apply applies the data of the entry at
// index and returns the result of the proposal. Snapshot encodes the state, and
// Restore replaces it by an encoded one.
type StateMachine struct {
	Apply    func(index uint64, data []byte) []byte
	Snapshot func() ([]byte, error)
	Restore  func(data []byte) error
}

// Peer is a configured or discovered replica of the group.
type Peer struct {
	ID      string // daemon ID
	Address string // host:port of the peer listener
}

// Config is the configuration of a Replica.
type Config struct {
	Dir   string // data directory of this replica
	Self  Peer
	Peers []Peer // all replicas, with or without Self
	// Discover, if not nil, returns the replicas discovered so far. It is used
	// instead of Peers for groups without configured members. A replica with an
	// empty data directory joins an established group that a discovered replica reports.
	// While none is reported, MayBootstrap determines whether the replica bootstraps a
	// new group. It must return true on at most one replica.
	Discover     func() []Peer
	MayBootstrap func() bool
	Group        string // name of the log group; empty for the control group
	Keys         brpeer.Keys
	StateMachine StateMachine
	// Fatal is called with an error after which the process must exit, such as a
	// failed sync. The replica stops before the call.
	Fatal func(error)

	Clock brclock.Clock // nil means the system clock
	// OnApplied is called after each applied batch with the index of its last
	// entry. OnLeader is called when this replica has become the leader of a
	// term and has applied all entries of earlier terms, and again when it is no
	// longer the leader. Both are called on the replica's goroutine and must not
	// block.
	OnApplied     func(index uint64)
	OnLeader      func(isLeader bool, term uint64)
	SnapshotEvery uint64 // in entries; 0 means the default of brlog
	// ElectionTimeout is the minimum election timeout; 0 means the default of brlog.
	// The heartbeat interval and the lease duration are proportional to it.
	ElectionTimeout time.Duration
	// MaxVoters and VoterTimeout are as in brlog.Config.
	MaxVoters    int
	VoterTimeout time.Duration
	WAL          brwal.Options // Dir is ignored
}

// Replica is a running replica. It is safe for concurrent use.
type Replica struct {
	cfg    Config
	wal    *brwal.Log
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	inbox      chan brlog.Message
	proposals  chan *proposal
	requests   chan *request
	diskEvents chan brlog.Event
	disk       diskQueue
	changed    signal

	yielded     sync.Once
	yieldedVote chan struct{} // closed once YieldVote has returned nil

	mu        sync.Mutex
	state     *brlog.State // nil until the group is formed or joined
	stored    brlog.StoredState
	lastStep  time.Time
	applied   uint64 // index of the last entry applied by the state machine
	failed    bool
	links     map[string]*brpeer.Link
	addresses map[brlog.ID]string // from received envelopes

	// The fields below are accessed only by the loop goroutine.
	queue        []*proposal
	waiters      map[uint64]*proposal
	lastWrite    uint64
	lastSynced   uint64
	electedTerm  uint64 // term led by this replica for which OnLeader was not called yet
	notifiedTerm uint64 // term for which OnLeader was called; 0 if none
}

// Start opens the data directory and starts a replica. It returns the errors of
// brwal.Open, of the check of the stored state and of StateMachine.Restore. Start panics if Fatal, Self or a function
// of StateMachine is missing.
func Start(cfg Config) (*Replica, error) {
	m := cfg.StateMachine
	if cfg.Fatal == nil || m.Apply == nil || m.Snapshot == nil || m.Restore == nil {
		panic("brcontrol: Config.Fatal or a function of Config.StateMachine is missing")
	}
	if cfg.Self.ID == "" || cfg.Self.Address == "" {
		panic("brcontrol: Config.Self is missing")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	o := cfg.WAL
	o.Dir = cfg.Dir
	wal, stored, err := brwal.Open(o)
	if err != nil {
		return nil, err
	}
	if err := stored.Check(); err != nil {
		wal.Close()
		return nil, fmt.Errorf("brcontrol: %s: %w", cfg.Dir, err)
	}
	if stored.Snapshot.Index > 0 {
		if err := m.Restore(stored.Snapshot.Data); err != nil {
			wal.Close()
			return nil, fmt.Errorf("brcontrol: restore snapshot %d: %w", stored.Snapshot.Index, err)
		}
	}
	r := &Replica{
		cfg: cfg, wal: wal, stored: stored, applied: stored.Snapshot.Index,
		inbox:      make(chan brlog.Message, inboxSize),
		proposals:  make(chan *proposal, proposalQueueSize),
		requests:   make(chan *request),
		diskEvents: make(chan brlog.Event, 16),
		disk:       diskQueue{wake: make(chan struct{}, 1)},
		links:      map[string]*brpeer.Link{},
		addresses:  map[brlog.ID]string{},
		waiters:    map[uint64]*proposal{},

		yieldedVote: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Go(r.run)
	return r, nil
}

// Close stops the replica and waits for its goroutines and links to end. It does
// not transfer leadership; see TransferLeadership.
func (r *Replica) Close() error {
	r.cancel()
	r.wg.Wait()
	r.mu.Lock()
	links := r.links
	r.links = nil
	r.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	return r.wal.Close()
}

// run forms or joins the group if the data directory is empty, and then runs the loop.
func (r *Replica) run() {
	if r.stored.ID == "" {
		st, err := r.formGroup()
		if err == nil && r.ctx.Err() == nil {
			err = r.wal.Initialize(st)
		}
		if err != nil {
			r.fatal(err)
		}
		if err != nil || r.ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		r.stored = st
		r.mu.Unlock()
	}
	now := r.cfg.Clock.Now()
	s, err := brlog.New(brlog.Config{
		ID: r.stored.ID, Stored: r.stored, Joining: r.stored.Empty(), Now: now,
		Random: rand.Uint64, SnapshotEvery: r.cfg.SnapshotEvery,
		ElectionTimeout: r.cfg.ElectionTimeout, HeartbeatInterval: r.cfg.ElectionTimeout * heartbeatPart / electionParts,
		LeaseDuration: r.cfg.ElectionTimeout * leasePart / electionParts,
		MaxVoters:     r.cfg.MaxVoters, VoterTimeout: r.cfg.VoterTimeout,
	})
	if err != nil {
		r.fatal(err)
		return
	}
	r.mu.Lock()
	r.state, r.lastStep = s, now
	r.stored.Entries, r.stored.Snapshot.Data = nil, nil
	r.mu.Unlock()
	r.openLinks()
	r.wg.Go(r.runDisk)
	r.wg.Go(r.joinGroup)
	r.wg.Go(r.keepYielded)
	r.loop()
}

// fatal stops the replica. The first call passes err to Config.Fatal.
func (r *Replica) fatal(err error) {
	r.mu.Lock()
	first := !r.failed
	r.failed = true
	r.mu.Unlock()
	r.cancel()
	if first {
		r.cfg.Fatal(err)
	}
}

// Status is the status of a replica.
type Status struct {
	brlog.Status
	Forming        bool          `json:"forming"` // not in a group yet; all other fields are zero
	MachineApplied uint64        `json:"machine_applied"`
	LeaseValid     bool          `json:"lease_valid"`
	Confirmed      bool          `json:"confirmed"`
	ConfirmAge     time.Duration `json:"confirm_age"`
}

// Status returns the current status of the replica.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return Status{Forming: true}
	}
	now := r.cfg.Clock.Now()
	st := Status{Status: r.state.Status(), MachineApplied: r.applied, LeaseValid: r.state.LeaseValid(now)}
	_, st.ConfirmAge, st.Confirmed = r.confirm(now)
	return st
}

// ConfirmedRevision returns an upper bound on the index of old entries: every entry
// that was committed more than age ago has an index of at most revision. ok is false
// if the replica has had no contact with a leader or its clock may have jumped.
func (r *Replica) ConfirmedRevision() (revision uint64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirm(r.cfg.Clock.Now())
}

func (r *Replica) confirm(now time.Time) (uint64, time.Duration, bool) {
	if r.state == nil || r.failed || clockJumped(r.lastStep, now) {
		return 0, 0, false
	}
	return r.state.ConfirmedCommit(now)
}

// clockJumped reports whether the wall clock and the monotonic clock advanced by
// different amounts between last and now, as they do when the VM is suspended.
func clockJumped(last, now time.Time) bool {
	wall := now.Round(0).Sub(last.Round(0))
	return (wall - now.Sub(last)).Abs() > maxClockDivergence
}

// leader returns the address of the current leader, or "" if it is unknown, and
// reports whether this replica is the leader.
func (r *Replica) leader() (address string, self bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return "", false
	}
	id, address, self := r.state.Leader()
	if address == "" {
		address = r.addresses[id]
	}
	return address, self
}

// ErrRemoved is passed to Config.Fatal when this replica was removed from the
// group. A removed ID can't be added again. A replica with an empty data directory
// joins under a new ID.
var ErrRemoved = errors.New("brcontrol: replica was removed from the group")

var errClosed = brerror.New(brerror.ShuttingDown, "control replica is closed")

// signal notifies all waiting goroutines of a change.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next broadcast.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
