package brpool

import (
	"maps"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brquarantine"
	"bramleyroute/brqueue"
	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

const (
	// TickInterval is the interval at which Tick must be passed.
	TickInterval = 100 * time.Millisecond
	// GrantWindow is the time within which an entry must start a dispatch.
	GrantWindow = 500 * time.Millisecond
	// RecoveryTimeout is the time for which a new owner waits for the entries' reports.
	RecoveryTimeout = 2 * time.Second
	// ClockSkew is the largest assumed difference between the clocks of two daemons
	// when the time in a request ID is evaluated.
	ClockSkew = time.Second
	// Retention is how long a request ID is recorded, measured from the time
	// in the ID.
	Retention = 10 * time.Minute
	// RetentionNonIdempotent is the retention of requests that are in the ledger.
	RetentionNonIdempotent = 24 * time.Hour

	defaultHeadroom      = 20        // percent
	defaultQueueTokens   = 2_000_000 // tokens; for engines
	defaultQueueRequests = 10_000    // for services
	// minTokens is the smallest work counted for a queued request, so that the
	// limit in tokens also limits the number of requests to 31,250.
	minTokens = 64
	// orphanLimit is the maximum time for which a request of a lost entry counts as
	// running.
	orphanLimit = time.Minute
)

// Options configures a Pool.
type Options struct {
	Name string              // pool name as returned by brwire.PoolName
	Kind brwire.EndpointKind // kind of the endpoints
	Rand func() uint64       // source of randomness for jitter and ties
}

// Pool is the state of the scheduler of one pool.
type Pool struct {
	opts      Options
	table     *brroute.Table
	queue     brqueue.Queue
	estimator brqueue.Estimator

	owner                bool
	releasing            bool
	releasedSent         bool
	epoch                uint64
	lastGrantNumber      uint64 // number of the last grant in the epoch
	requests             map[string]*request
	finished             finishedSet
	disconnectedBindings map[string]disconnectedBinding // IDs that were queued for disconnected entries

	recovering       bool
	takeoverTime     time.Time
	unreported       map[string]bool   // entries that have not reported since the takeover
	grantsBeforeJoin map[string]uint64 // entries asked to join, with the last grant number before the join
	missingBefore    time.Time         // IDs created by callers before this time may have run at an entry that didn't report
	restartedBefore  time.Time         // IDs created by callers before this time may have run at an entry's earlier process

	quarantine *brquarantine.State
	queueLimit int
	rollouts   []*rollout
	samples    map[sampleKey]*sample

	rates        throughput
	counters     Counters
	unackedCount int // grants neither started nor returned
	grantedCount int // requests with a flight
	periodStart  time.Time
	effects      []Effect
}

// request is a request that has not ended.
type request struct {
	brqueue.Item
	key            requestKey
	entry          string
	submit         brwire.Submit
	route          brroute.Request
	identity       brquarantine.Request
	trials         []brquarantine.Subject // quarantined subjects for which the request is a trial
	conclusive     bool                   // the run has made progress or lost its endpoint
	rollout        *rollout
	state          state
	grantNumber    uint64
	flight         *brroute.Flight
	deadline       time.Time // for the first token
	grantedAt      time.Time
	firstTokenAt   time.Time
	orphanedUntil  time.Time // time until which the request of a lost entry counts as running; zero otherwise
	overdueNoted   bool      // reported in the timeline
	failureCounted bool      // counted as failed by the breaker
	pathLost       bool      // its entry may have lost its path to the endpoint
}

type state uint8

const (
	queued state = iota
	granted
	started
)

// New returns a Pool without ownership. New panics if a field of o is missing.
func New(o Options) *Pool {
	if o.Name == "" || o.Kind == "" || o.Rand == nil {
		panic("brpool: incomplete options")
	}
	p := &Pool{
		opts:                 o,
		table:                brroute.New(brroute.Options{Kind: o.Kind, Rand: o.Rand}),
		requests:             map[string]*request{},
		unreported:           map[string]bool{},
		grantsBeforeJoin:     map[string]uint64{},
		disconnectedBindings: map[string]disconnectedBinding{},
		samples:              map[sampleKey]*sample{},
		quarantine:           brquarantine.New(o.Name),
	}
	p.counters.Refused = map[brerror.Kind]int{}
	p.setLimits(SetLimits{})
	return p
}

// Step applies ev at time now and returns the effects in the order in which they
// must be executed. The caller owns the returned slice.
func (p *Pool) Step(now time.Time, ev Event) []Effect {
	p.effects = nil
	switch ev := ev.(type) {
	case Submit:
		p.submit(now, ev.EntryID, ev.Submit)
	case Withdraw:
		p.withdraw(now, ev.EntryID, ev.Withdraw)
	case Started:
		p.start(now, ev.EntryID, ev.Started)
	case PathLost:
		p.pathLost(now, ev.EntryID, ev.PathLost)
	case FirstToken:
		p.firstToken(now, ev.EntryID, ev.FirstToken)
	case Done:
		p.done(now, ev.EntryID, ev.Done)
	case EndpointReport:
		p.noteChanges(now, p.table.Report(now, ev.Announce))
	case SuspendForLoad:
		deadline := time.Time{}
		if ev.Duration > 0 {
			deadline = now.Add(ev.Duration)
		}
		p.table.SuspendForLoad(ev.EndpointID, ev.Version, deadline)
	case Takeover:
		p.takeOver(now, ev)
	case Recovered:
		p.recovered(now, ev.Reply)
	case EntryDisconnected:
		p.entryDisconnected(now, ev.EntryID)
	case EntryLost:
		p.entryLost(now, ev.EntryID)
	case EntryJoined:
		p.entryJoined(ev.EntryID)
	case Release:
		p.releasing = p.owner
	case LeaseEnded:
		p.reset(now)
	case SetLimits:
		p.setLimits(ev)
		p.refuseShed(p.queue.ShedToLimit(p.queueLimit), "queue limit lowered")
	case SetEvacuated:
		p.table.SetEvacuated(ev.Domains)
	case SetRollouts:
		p.setRollouts(ev.Rollouts)
	case Locate:
		p.locate(ev)
	case Tick:
		p.tick(now)
	default:
		panic("brpool: unknown event")
	}
	p.dispatch(now)
	p.checkReleased()
	return p.effects
}

// Status is the state of a pool for operators.
type Status struct {
	Owner        bool
	Epoch        uint64
	Recovering   bool
	Releasing    bool
	QueuedByTier [brqueue.Tiers]int // requests
	QueuedTokens int
	Running      int     // requests granted and not ended
	Finished     int     // recorded IDs
	Outstanding  int     // tokens (service: requests) on endpoints
	DrainRate    float64 // tokens per second that ended while requests were queued; 0 when unknown
	Endpoints    []brroute.Status
	Counters     Counters
}

// Status returns the current state of the pool.
func (p *Pool) Status() Status {
	s := Status{
		Owner: p.owner, Epoch: p.epoch, Recovering: p.recovering, Releasing: p.releasing,
		QueuedTokens: p.queue.Tokens(), Running: p.grantedCount, Finished: len(p.finished.byID),
		Outstanding: p.table.Outstanding(), DrainRate: p.rates.drainRate,
		Endpoints: p.table.Status(), Counters: p.counters,
	}
	s.Counters.Refused = maps.Clone(p.counters.Refused)
	for t := range s.QueuedByTier {
		s.QueuedByTier[t] = p.queue.TierLen(t + 1)
	}
	return s
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Pool) setLimits(l SetLimits) {
	headroom := l.Model.HeadroomPercent
	if headroom <= 0 || headroom > 99 {
		headroom = defaultHeadroom
	}
	p.table.SetLimits(headroom, max(0, l.Model.OutstandingLimit))
	p.queueLimit = l.Model.QueueTokens
	if p.queueLimit <= 0 {
		p.queueLimit = defaultQueueTokens
		if p.opts.Kind == brwire.KindService {
			p.queueLimit = defaultQueueRequests
		}
	}
	p.queue.SetWeights(l.Weights)
}

// noteChanges reports endpoint changes in the timeline and passes stalled requests
// to the breakers.
func (p *Pool) noteChanges(now time.Time, changes []brroute.Change) {
	for _, c := range changes {
		p.emit(NoteEndpoint{EndpointID: c.EndpointID, State: string(c.State), Reason: c.Reason})
		for _, f := range c.Stalled {
			p.observeStall(now, f)
		}
	}
}

func (p *Pool) locate(ev Locate) {
	out := brwire.LocateReply{}
	id := ev.Locate.RequestID
	if r := p.requests[id]; r != nil && r.flight != nil {
		out = brwire.LocateReply{Found: true, EntryID: r.entry, EndpointID: r.flight.EndpointID, Address: r.flight.Address, Customer: r.submit.Customer}
	} else if key, ok := parseID(id); ok {
		if e, ok := p.finished.byID[key]; ok {
			out = brwire.LocateReply{Found: true, Finished: true, EntryID: e.entry, EndpointID: e.endpoint, Address: e.address, Customer: e.customer}
		}
	}
	p.emit(SendLocated{Ref: ev.Ref, Located: out})
}
