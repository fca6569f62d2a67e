package brlog

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Default times and sizes of a Config, and the bound on clocks.
const (
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultElection      = 500 * time.Millisecond // to twice as much, at random
	DefaultLease         = 400 * time.Millisecond
	DefaultBatchBytes    = 512 << 10
	DefaultChunkBytes    = 1 << 20
	DefaultSnapshotEvery = 10_000
	DefaultTrailing      = 1_000

	// maxLogBytes is the size of the entries in memory at which a snapshot is
	// asked for early, and trailingBytes what is kept before a snapshot. With
	// both a replica stays well below the 256 MB of a daemon.
	maxLogBytes   = 48 << 20
	trailingBytes = 8 << 20

	// DriftBound is the largest relative difference in rate of two clocks.
	DriftBound = 0.01

	// maxInflight is the number of appends that wait for one follower's answer.
	maxInflight = 64
	// maxUncommitted bounds the entries that the leader appends beyond the
	// last committed one, so that a group without a majority refuses proposals
	// instead of filling its memory.
	maxUncommitted      = 16_384
	maxUncommittedBytes = 32 << 20
	// entryOverhead is the size of an entry's fields beside its data on the
	// wire, in bytes.
	entryOverhead = 40
)

// Config is what a State starts with.
type Config struct {
	ID     ID
	Stored Stored
	// Joining allows an empty Stored: the replica stays silent until a leader
	// adds it as a learner.
	Joining bool
	Now     time.Time
	Random  func() uint64

	// The fields below take their defaults when zero.
	Heartbeat     time.Duration // between two heartbeats of a leader
	Election      time.Duration // shortest silence before an election
	Lease         time.Duration // shorter than Election by more than DriftBound
	BatchBytes    int           // of the entries in one append message
	ChunkBytes    int           // of snapshot data in one message
	SnapshotEvery uint64        // entries
	Trailing      uint64        // entries kept before a snapshot for followers that lag

	mutate mutation
}

// ErrEmptyDisk is returned by New for a replica that has nothing stored and is
// neither bootstrapped nor joining. Its votes may be lost with its disk, so it
// must not come back as a voter.
var ErrEmptyDisk = errors.New("brlog: empty disk without bootstrap")

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// mutation switches single rules off, to show that the tests' checks notice.
type mutation struct {
	skipSync         bool // count writes as durable when they are handed over
	forgetVote       bool // grant votes without recording them
	leaseFromReceipt bool // count the lease from the receipt of the answer
	oldIdentity      bool // let a replica with a lost disk vote under its old id
	noPromiseOnStart bool // let a restarted replica vote at once
}

// State is one replica. It isn't safe for concurrent use.
type State struct {
	cfg    Config
	id     ID
	mutate mutation

	now         time.Duration // since the start, on the monotonic clock
	last        time.Time     // of the previous Step
	session     uint64        // changes whenever now can't be compared with before
	halted      bool
	toldRemoved bool
	blank       bool // the disk was empty and no leader has been heard from yet

	hard     HardState
	role     role
	leader   ID
	votes    map[ID]bool
	transfer ID // target, while the leader prepares to hand over
	deadline time.Duration

	log        memory
	snapshot   Snapshot
	membership Membership
	memberAt   uint64 // index of the entry that set membership
	commit     uint64
	applied    uint64
	synced     uint64 // last durable entry of this log
	verified   uint64 // last entry known to match the log of the leader of this term

	promiseUntil time.Duration // no vote is granted before
	electionAt   time.Duration

	contact         bool // with a leader that held its lease
	contactAt       time.Duration
	contactCommit   uint64
	receiving       *receiving
	takingSnapshot  bool
	progress        map[ID]*progress
	uncommitted     int    // bytes of the leader's own entries
	termStart       uint64 // index of the leader's first entry
	nextHeartbeat   time.Duration
	leaseFloor      time.Duration // heartbeats sent before don't count for the lease
	announced       LeaderChanged
	announcedBefore bool

	disk    disk
	outbox  []outgoing
	effects []Effect
}

// New returns the State of a replica that starts at cfg.Now. It returns
// ErrEmptyDisk for an unexpected empty disk, and an error when what is stored
// belongs to another replica or isn't consecutive. New panics if cfg.ID is
// empty, cfg.Random is nil or the times contradict the lease rule.
func New(cfg Config) (*State, error) {
	cfg = cfg.withDefaults()
	st := cfg.Stored
	if st.Empty() && !cfg.Joining {
		return nil, ErrEmptyDisk
	}
	if st.ID != "" && st.ID != cfg.ID {
		return nil, fmt.Errorf("brlog: the disk belongs to replica %q, not to %q", st.ID, cfg.ID)
	}
	s := &State{
		cfg: cfg, id: cfg.ID, mutate: cfg.mutate, last: cfg.Now, session: cfg.Random(),
		blank: st.Empty(), hard: st.HardState, snapshot: st.Snapshot,
	}
	if err := s.load(st); err != nil {
		return nil, err
	}
	s.commit, s.applied = st.Snapshot.Index, st.Snapshot.Index
	s.synced, s.verified = s.log.last(), s.commit
	s.findMembership()
	s.promise()
	if s.mutate.noPromiseOnStart {
		s.promiseUntil = 0
	}
	return s, nil
}

// load fills the log. Entries that don't contain the snapshot's are of a log
// that the snapshot replaced; a crash came before that was written.
func (s *State) load(st Stored) error {
	s.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	if len(st.Entries) == 0 {
		return nil
	}
	first := st.Entries[0].Index
	for i, e := range st.Entries {
		if e.Index != first+uint64(i) || first == 0 {
			return fmt.Errorf("brlog: entry %d is stored where %d belongs", e.Index, first+uint64(i))
		}
	}
	at := st.Snapshot.Index
	switch {
	case first > at+1:
		return fmt.Errorf("brlog: entry %d doesn't follow the snapshot at %d", first, at)
	case first == at+1:
	case at >= first+uint64(len(st.Entries)) || st.Entries[at-first].Term != st.Snapshot.Term:
		s.disk.reset = at
		return nil
	case first > 1: // the term before the first entry isn't known
		s.log.reset(first, st.Entries[0].Term)
		st.Entries = st.Entries[1:]
	default:
		s.log.reset(0, 0)
	}
	if len(st.Entries) > 0 {
		s.log.put(st.Entries)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.ID == "" {
		panic("brlog: config without a replica id")
	}
	if c.Random == nil {
		panic("brlog: config without a random source")
	}
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.Election, DefaultElection)
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.BatchBytes, DefaultBatchBytes)
	setDefault(&c.ChunkBytes, DefaultChunkBytes)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.Trailing, DefaultTrailing)
	if float64(c.Lease) > float64(c.Election)*(1-2*DriftBound) || 2*c.Heartbeat > c.Lease {
		panic("brlog: heartbeat, lease and election timeout are too close")
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Step applies one event at the time now and returns what is to be done. Only
// the difference of the times of two steps counts.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.effects = nil
	if s.halted {
		return nil
	}
	s.advance(now)
	switch e := ev.(type) {
	case Tick:
		s.tick()
	case Receive:
		s.receive(e.Message)
	case Propose:
		s.propose(e.Data)
	case Synced:
		s.onSynced(e.Seq)
	case SnapshotSaved:
		s.onSnapshotSaved(e.Snapshot)
	case ChangeMember:
		s.changeMember(e)
	case Transfer:
		s.startTransfer(e.To)
	case ClockJumped:
		s.clockJumped()
	default:
		panic(fmt.Sprintf("brlog: unknown event %T", ev))
	}
	s.flush()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) halt(reason string) {
	s.halted = true
	s.emit(Halt{Reason: reason})
}

// advance moves the replica's own time forward. A step back of the clock hides
// how much time has passed, and a gap may be a freeze or a jump; both end the
// trust in what was measured before.
func (s *State) advance(now time.Time) {
	d := now.Sub(s.last)
	s.last = now
	s.now += max(d, 0)
	if d < 0 || d > s.maxGap() {
		s.clockJumped()
	}
}

// maxGap is the longest time between two steps that counts as measured.
func (s *State) maxGap() time.Duration { return 2 * s.cfg.Heartbeat }

func (s *State) clockJumped() {
	s.now++
	s.leaseFloor = s.now
	for _, p := range s.progress {
		p.answered = false
	}
	s.session = s.cfg.Random()
	s.contact = false
	s.promise()
}

// promise starts the time in which this replica grants no vote and doesn't
// start an election.
func (s *State) promise() {
	s.promiseUntil = s.now + s.cfg.Election
	s.electionAt = s.promiseUntil + time.Duration(s.cfg.Random()%uint64(s.cfg.Election))
}

func (s *State) tick() {
	if s.role == leader {
		s.tickLeader()
		return
	}
	if s.now >= s.electionAt && !s.blank && !s.disk.stuck(s) && s.membership.IsVoter(s.id) {
		s.startPreVote()
	}
}

// flush turns what the step changed into effects.
func (s *State) flush() {
	for !s.halted {
		s.maybeCommit()
		s.applyCommitted()
		s.announce()
		if s.role == leader {
			for _, m := range s.membership.Members {
				s.replicate(m.ID)
			}
		}
		s.disk.write(s)
		if !s.release() {
			return
		}
	}
}

// applyCommitted hands entries over that are committed and durable here, so
// that the state machine is never ahead of the own disk.
func (s *State) applyCommitted() {
	to := min(s.commit, s.synced)
	if to > s.applied {
		s.emit(Apply{Entries: s.log.from(s.applied+1, to, math.MaxInt)})
		s.applied = to
	}
	saving := s.takingSnapshot || s.receiving != nil && s.receiving.saving
	large := s.log.bytes > maxLogBytes && s.applied > s.snapshot.Index
	if !saving && (large || s.applied >= s.snapshot.Index+s.cfg.SnapshotEvery) {
		s.takingSnapshot = true
		term, _ := s.log.term(s.applied)
		m, _ := s.membershipAt(s.applied)
		s.emit(TakeSnapshot{Index: s.applied, Term: term, Membership: m})
	}
}

func (s *State) announce() {
	c := LeaderChanged{Term: s.hard.Term, Leader: s.leader, Self: s.role == leader}
	if m, ok := s.membership.Find(s.leader); ok {
		c.Address = m.Address
	}
	if c != s.announced || !s.announcedBefore {
		s.announced, s.announcedBefore = c, true
		s.emit(c)
	}
}
