package brlog

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Default values of Config, and the limit of clock drift.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 500 * time.Millisecond // randomized up to twice this value
	DefaultLeaseDuration     = 400 * time.Millisecond
	DefaultBatchBytes        = 512 << 10
	DefaultChunkBytes        = 1 << 20
	DefaultSnapshotEvery     = 10_000
	DefaultTrailingEntries   = 1_000

	// maxLogBytes is the size of the entries in memory above which a snapshot is
	// taken early. trailingBytes limits the entries retained before a snapshot.
	// Together they keep a replica well below the 256 MB limit of a daemon, and its
	// files below half of a disk of 64 MB: to start again, it needs room for a copy.
	maxLogBytes   = 16 << 20
	trailingBytes = 4 << 20

	// MaxClockDrift is the maximum relative rate difference of two clocks.
	MaxClockDrift = 0.01

	// maxInflight is the maximum number of unacknowledged appends to one follower.
	maxInflight = 64
	// maxUncommitted and maxUncommittedBytes limit the uncommitted entries of the
	// leader, so that a group without a majority rejects proposals instead of
	// exhausting its memory.
	maxUncommitted      = 16_384
	maxUncommittedBytes = 32 << 20
	// entryOverhead is the encoded size of an entry without its data, in bytes.
	entryOverhead = 40
)

// Config is the configuration of a State.
type Config struct {
	ID     ID
	Stored StoredState
	// Joining allows Stored to be empty. The replica then sends no messages until
	// a leader adds it as a learner.
	Joining bool
	Now     time.Time
	Random  func() uint64

	// The fields below have defaults, which replace zero values.
	HeartbeatInterval time.Duration // heartbeat interval of a leader
	ElectionTimeout   time.Duration // minimum election timeout
	LeaseDuration     time.Duration // at most ElectionTimeout*(1-2*MaxClockDrift)
	BatchBytes        int           // maximum size of the entries in one append message
	ChunkBytes        int           // maximum size of snapshot data in one message
	SnapshotEvery     uint64        // number of entries between snapshots
	TrailingEntries   uint64        // number of entries retained before a snapshot for slow followers

	// MaxVoters is the number of voters that the group should have; 0 means no limit. Further
	// members stay learners and take the vote of a voter that is silent for VoterTimeout, or
	// that yields it. An odd number tolerates as many losses as the even one above it, and
	// needs one voter less for a majority.
	MaxVoters int
	// VoterTimeout is the time without a reply after which a voter doesn't count towards
	// MaxVoters. It is used only with MaxVoters, and then required.
	VoterTimeout time.Duration

	mutate mutation
}

// ErrEmptyDisk is returned by New for a replica with an empty disk that is neither
// bootstrapped nor joining. Its votes may have been lost with its disk, so it must
// not rejoin as a voter.
var ErrEmptyDisk = errors.New("brlog: empty disk without bootstrap")

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// mutation disables single safety rules, to verify that the tests detect it.
type mutation struct {
	skipSync           bool // treat writes as durable when they are emitted
	skipVoteRecord     bool // grant votes without recording them in the hard state
	leaseFromReceipt   bool // start the lease at the receipt of the heartbeat reply
	reuseLostID        bool // let a replica with a lost disk vote under its old ID
	noVoteDelayOnStart bool // let a restarted replica vote immediately
}

// State is the state of one replica. It is not safe for concurrent use.
type State struct {
	cfg    Config
	id     ID
	mutate mutation

	now             time.Duration // internal time since the start, by the monotonic clock
	lastStep        time.Time     // time of the previous Step
	session         uint64        // random clock ID; renewed after a clock jump, when earlier times are not comparable
	halted          bool
	removalReported bool
	emptyDisk       bool // the disk was empty and no leader has added this replica yet

	hardState        HardState
	role             role
	leader           ID
	previous         contact // latest leader that this replica heard of, for its successor
	votes            map[ID]bool
	transferTarget   ID // target of a pending leadership transfer
	transferDeadline time.Duration

	log             entryLog
	snapshot        Snapshot
	membership      Membership
	membershipIndex uint64 // index of the entry that set membership
	commit          uint64
	applied         uint64
	synced          uint64 // index of the last durable entry
	matchIndex      uint64 // index of the last entry known to match the log of the current leader

	voteDelayUntil   time.Duration // no vote is granted before this time
	electionDeadline time.Duration

	confirmed        bool // a leader that held its lease has confirmed confirmedCommit
	confirmedAt      time.Duration
	confirmedCommit  uint64
	incoming         *incomingSnapshot
	takingSnapshot   bool
	progress         map[ID]*progress
	uncommittedBytes int    // data size of the uncommitted entries of the leader's term
	termStart        uint64 // index of the leader's first entry
	nextHeartbeat    time.Duration
	leaseNotBefore   time.Duration // heartbeats sent earlier don't count for the lease
	lastLeaderChange LeaderChanged
	leaderReported   bool

	disk    disk
	outbox  []outgoing
	effects []Effect
}

// New returns the State of a replica that starts at cfg.Now. It returns
// ErrEmptyDisk if cfg.Stored is empty and cfg.Joining is not set, and another
// error if cfg.Stored belongs to a different replica or its entries are not
// consecutive. New panics if cfg.ID is empty, cfg.Random is nil, or the heartbeat
// interval, lease and election timeout are inconsistent.
func New(cfg Config) (*State, error) {
	cfg = cfg.withDefaults()
	st := cfg.Stored
	if st.Empty() && !cfg.Joining {
		return nil, ErrEmptyDisk
	}
	if st.ID != "" && st.ID != cfg.ID {
		return nil, fmt.Errorf("brlog: disk belongs to replica %q, want %q", st.ID, cfg.ID)
	}
	s := &State{
		cfg: cfg, id: cfg.ID, mutate: cfg.mutate, lastStep: cfg.Now, session: cfg.Random(),
		emptyDisk: st.Empty(), hardState: st.HardState, snapshot: st.Snapshot,
	}
	if err := s.load(st); err != nil {
		return nil, err
	}
	s.commit, s.applied = st.Snapshot.Index, st.Snapshot.Index
	s.synced, s.matchIndex = s.log.last(), s.commit
	s.updateMembership()
	s.delayVotes()
	if s.mutate.noVoteDelayOnStart {
		s.voteDelayUntil = 0
	}
	return s, nil
}

// load initializes the log from st. Entries that do not include the last entry of
// the snapshot belong to a log that the snapshot replaced and are dropped. They
// remain on the disk if the process crashes before the log reset is written.
func (s *State) load(st StoredState) error {
	s.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	if len(st.Entries) == 0 {
		return nil
	}
	first := st.Entries[0].Index
	for i, e := range st.Entries {
		if e.Index != first+uint64(i) || first == 0 {
			return fmt.Errorf("brlog: stored entry has index %d, want %d", e.Index, first+uint64(i))
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
	case first > 1: // the term of the entry before the first one is unknown
		s.log.reset(first, st.Entries[0].Term)
		st.Entries = st.Entries[1:]
	default:
		s.log.reset(0, 0)
	}
	if len(st.Entries) > 0 {
		s.log.truncateAndAppend(st.Entries)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.ID == "" {
		panic("brlog: Config.ID is empty")
	}
	if c.Random == nil {
		panic("brlog: Config.Random is nil")
	}
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.LeaseDuration, DefaultLeaseDuration)
	setDefault(&c.BatchBytes, DefaultBatchBytes)
	setDefault(&c.ChunkBytes, DefaultChunkBytes)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.TrailingEntries, DefaultTrailingEntries)
	if float64(c.LeaseDuration) > float64(c.ElectionTimeout)*(1-2*MaxClockDrift) || 2*c.HeartbeatInterval > c.LeaseDuration {
		panic("brlog: lease is too long for the election timeout or too short for the heartbeat interval")
	}
	if c.MaxVoters > 0 && c.VoterTimeout < c.ElectionTimeout {
		panic("brlog: voter timeout is shorter than the election timeout")
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Step processes one event at time now and returns the effects to execute. Only the
// time differences between steps are used. Step returns nil after a Halt effect.
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
	case YieldVote:
		s.yieldVote(e.ID)
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

// advance advances the internal time. If the clock went backwards, the elapsed time
// is unknown. If too much time has passed, the process may have been suspended or
// the clock may have jumped. In both cases earlier time measurements are
// discarded.
func (s *State) advance(now time.Time) {
	d := now.Sub(s.lastStep)
	s.lastStep = now
	s.now += max(d, 0)
	if d < 0 || d > s.maxStepInterval() {
		s.clockJumped()
	}
}

// maxStepInterval returns the time between two steps above which a clock jump is
// assumed.
func (s *State) maxStepInterval() time.Duration { return 2 * s.cfg.HeartbeatInterval }

func (s *State) clockJumped() {
	s.now++
	s.leaseNotBefore = s.now
	for _, p := range s.progress {
		p.hasAck = false
	}
	s.session = s.cfg.Random()
	s.confirmed = false
	s.previous = contact{}
	s.delayVotes()
}

// delayVotes starts the period in which this replica neither grants votes nor
// starts an election.
func (s *State) delayVotes() {
	s.voteDelayUntil = s.now + s.cfg.ElectionTimeout
	s.electionDeadline = s.voteDelayUntil + time.Duration(s.cfg.Random()%uint64(s.cfg.ElectionTimeout))
}

func (s *State) tick() {
	if s.role == leader {
		s.tickLeader()
		return
	}
	if s.now >= s.electionDeadline && !s.emptyDisk && !s.disk.stalled(s) && s.membership.IsVoter(s.id) {
		s.startPreVote()
	}
}

// flush emits the effects of the state changes in this step.
func (s *State) flush() {
	for !s.halted {
		s.maybeCommit()
		s.applyCommitted()
		s.reportLeaderChange()
		if s.role == leader {
			for _, m := range s.membership.Members {
				s.replicate(m.ID)
			}
		}
		s.disk.write(s)
		if !s.releaseMessages() {
			return
		}
	}
}

// applyCommitted emits the entries that are committed and locally durable, so that
// the state machine is never ahead of the disk. It also requests a snapshot when
// one is due.
func (s *State) applyCommitted() {
	to := min(s.commit, s.synced)
	if to > s.applied {
		s.emit(Apply{Entries: s.log.entriesFrom(s.applied+1, to, math.MaxInt)})
		s.applied = to
	}
	saving := s.takingSnapshot || s.incoming != nil && s.incoming.saving
	large := s.log.bytes > maxLogBytes && s.applied > s.snapshot.Index
	if !saving && (large || s.applied >= s.snapshot.Index+s.cfg.SnapshotEvery) {
		s.takingSnapshot = true
		term, _ := s.log.term(s.applied)
		m, _ := s.membershipAt(s.applied)
		s.emit(TakeSnapshot{Index: s.applied, Term: term, Membership: m})
	}
}

func (s *State) reportLeaderChange() {
	c := LeaderChanged{Term: s.hardState.Term, Leader: s.leader, Self: s.role == leader}
	if m, ok := s.membership.Find(s.leader); ok {
		c.Address = m.Address
	}
	if c != s.lastLeaderChange || !s.leaderReported {
		s.lastLeaderChange, s.leaderReported = c, true
		s.emit(c)
	}
}
