package brroute

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brlimit"
	"bramleyroute/brwire"
)

const (
	// SilentAfter is the time without an announcement after which an endpoint gets
	// no new requests. It corresponds to three missed announcements.
	SilentAfter = 3 * time.Second
	// removeAfter is the time without an announcement after which an endpoint
	// without requests in flight is removed.
	removeAfter = 60 * time.Second
	// maxEndpoints limits the table at three times the two-year target for the
	// largest pool of a region. Announcements of further endpoints are ignored.
	maxEndpoints = 8192
	// defaultCapacity, in tokens, is assumed when an engine announces no capacity.
	defaultCapacity = 100_000
	// maxReportedTokens limits the token counts of a report. An engine holds a few
	// million tokens.
	maxReportedTokens = 1 << 32
	// completionRetention is how long completions are stored to correct late reports.
	// Reports are at most 5 s old, and a slow link may delay them by as much again.
	completionRetention = 10 * time.Second
)

// Options configures a Table.
type Options struct {
	Kind brwire.EndpointKind
	Rand func() uint64 // breaks ties between candidates
}

// Table holds the endpoints of one pool.
type Table struct {
	opts             Options
	headroom         int // percentage of capacity reserved for tier 1
	outstandingLimit int // per endpoint in tokens; 0 for the announced capacity

	byID  map[string]*endpoint
	list  []*endpoint // in order of their first announcement
	index prefixIndex

	adopted            map[string][]*Flight // by endpoint ID, for endpoints that haven't announced themselves yet
	trial              *Flight
	groups             map[string]*group
	reserved           map[string]bool // versions that get no requests without a group
	evacuated          []string        // failure domains
	speed              speed           // of all endpoints
	idleSpeed          speed           // best speed of the usable endpoints at the last Tick
	outstanding        int             // sum over the flights
	lowTierOutstanding int             // part of outstanding in tiers 2 to 5
	capacity           int             // of the usable endpoints, in tokens
	candidates         []candidate     // reused by Choose
}

type endpoint struct {
	brwire.Announce
	slot                 int
	previousIncarnations []string // earlier incarnations, whose reports may still arrive
	lastAnnounced        time.Time
	measuredAt           time.Time
	load                 int // of the last report, corrected by later grants and completions
	flights              []*Flight
	completions          []completion
	silent               bool
	evacuated            bool      // its failure domain is evacuated
	loadingVersion       string    // version that the endpoint was ordered to load; empty for none
	failedLoadsBefore    int       // number of failed loads announced before that order
	loadDeadline         time.Time // end of the suspension for the load
	countedCapacity      int       // part of the table's capacity

	outstanding int // tokens in flight
	pending     int // uncached prompt tokens of flights without a first token
	speed       speed

	halfOpen            bool
	consecutiveFailures int
	retryAt             time.Time
	backoff             time.Duration
	lastProgress        time.Time // last first token or completion
	overdue             time.Duration

	limit  brlimit.Limit
	bucket brlimit.Bucket // of the limit
}

// completion is the end of a request, stored to correct late reports.
type completion struct {
	granted, ended time.Time
	tokens         int
}

// State is the state of an endpoint in a Change.
type State string

// States of an endpoint.
const (
	Joined   State = "joined"
	HalfOpen State = "half_open"
	Closed   State = "closed"
	Leaving  State = "leaving"
	Silent   State = "silent"
	Removed  State = "removed"

	Limited      State = "limited"       // states a limit, or another one
	Unlimited    State = "unlimited"     // no longer states one
	InvalidLimit State = "invalid_limit" // states a limit that isn't a number of requests per second
)

// Change reports that an endpoint entered a state.
type Change struct {
	EndpointID string
	Version    string
	State      State
	Reason     string
	Stalled    []*Flight // requests that made no progress; set with HalfOpen
}

// New returns an empty Table that reserves 20% of its capacity for tier 1. New
// panics if a field of o is missing.
func New(o Options) *Table {
	if o.Kind == "" || o.Rand == nil {
		panic("brroute: incomplete options")
	}
	return &Table{opts: o, headroom: 20, byID: map[string]*endpoint{}, groups: map[string]*group{}}
}

// SetLimits sets the percentage of capacity that is reserved for tier 1 and the
// limit of outstanding tokens (service: requests) per endpoint. With a limit of
// 0, each endpoint's announced capacity applies. SetLimits panics if the
// percentage is not within 0 to 99 or the limit is negative.
func (t *Table) SetLimits(headroomPercent, outstandingLimit int) {
	if headroomPercent < 0 || headroomPercent > 99 || outstandingLimit < 0 {
		panic("brroute: limit out of range")
	}
	t.headroom, t.outstandingLimit = headroomPercent, outstandingLimit
	t.recomputeCapacity()
}

// Report applies an announcement. Reports of an earlier incarnation are ignored.
// From a report that is older than the last one of its incarnation only the
// cache events are applied.
func (t *Table) Report(now time.Time, a brwire.Announce) []Change {
	e := t.byID[a.EndpointID]
	if e == nil {
		if len(t.list) >= maxEndpoints {
			return nil
		}
		e = t.add(a)
		t.applyReport(now, e, a)
		joined := Change{EndpointID: e.EndpointID, Version: e.Version, State: Joined}
		return append([]Change{joined}, t.applyLimit(now, e)...)
	}
	if a.Incarnation != e.Incarnation {
		if slices.Contains(e.previousIncarnations, a.Incarnation) {
			return nil
		}
		t.startIncarnation(e, a)
	}
	if a.Sequence <= e.Sequence {
		t.index.apply(now, e.slot, a.CacheEvents)
		return nil
	}
	var changes []Change
	if a.Leaving && !e.Leaving {
		changes = append(changes, Change{EndpointID: e.EndpointID, Version: a.Version, State: Leaving})
	}
	if e.silent {
		e.silent = false
		changes = append(changes, Change{EndpointID: e.EndpointID, Version: a.Version, State: Joined, Reason: "announces again"})
	}
	if a.Version != e.Version {
		t.index.reset(e.slot)
	}
	t.applyReport(now, e, a)
	return append(changes, t.applyLimit(now, e)...)
}

// SuspendForLoad suspends new grants to an endpoint that is about to be ordered to
// load a version. Grants resume when the endpoint announces that version or
// another failed load, or at the deadline. An endpoint serves the new version up
// to one announcement period before the table receives the announcement, and
// would get requests for the old version in the meantime. A zero deadline ends the
// suspension. An unknown endpoint is ignored.
func (t *Table) SuspendForLoad(endpointID, version string, deadline time.Time) {
	e := t.byID[endpointID]
	if e == nil {
		return
	}
	e.loadingVersion, e.failedLoadsBefore, e.loadDeadline = version, len(e.FailedLoads), deadline
	if deadline.IsZero() {
		e.loadingVersion = ""
	}
	t.updateCapacity(e)
}

// endLoadWait ends the suspension of e when the load has succeeded or failed
// according to the last report, or when its deadline has passed.
func (t *Table) endLoadWait(now time.Time, e *endpoint) {
	if e.loadingVersion != "" && (e.Version == e.loadingVersion || len(e.FailedLoads) > e.failedLoadsBefore || !now.Before(e.loadDeadline)) {
		e.loadingVersion = ""
		t.updateCapacity(e)
	}
}

// DropAdopted drops the adopted requests whose endpoints haven't announced
// themselves. A new owner calls it when a takeover discards the requests in
// flight.
func (t *Table) DropAdopted() { t.adopted = nil }

// Len returns the number of endpoints in the table.
func (t *Table) Len() int { return len(t.list) }

// Outstanding returns the expected tokens (service: requests) in flight.
func (t *Table) Outstanding() int { return t.outstanding }

// Status is the state of one endpoint for operators.
type Status struct {
	EndpointID     string
	Address        string
	Version        string
	Leaving        bool
	Silent         bool
	Evacuated      bool
	HalfOpen       bool
	Loading        string // version that the endpoint was ordered to load
	Requests       int    // in flight
	Outstanding    int    // expected tokens in flight
	Load           int    // corrected load of the last report, in tokens
	CapacityTokens int
	TokenTime      time.Duration // learned time between tokens on an idle endpoint
}

// Status returns the status of the endpoints in order of their first announcement.
func (t *Table) Status() []Status {
	out := make([]Status, 0, len(t.list))
	for _, e := range t.list {
		out = append(out, Status{
			EndpointID: e.EndpointID, Address: e.Address, Version: e.Version,
			Leaving: e.Leaving, Silent: e.silent, Evacuated: e.evacuated, HalfOpen: e.halfOpen, Loading: e.loadingVersion,
			Requests: len(e.flights), Outstanding: e.outstanding, Load: e.load, CapacityTokens: e.CapacityTokens,
			TokenTime: seconds(t.speedOf(e).tokenTime),
		})
	}
	return out
}

// Check returns an error when the sums don't match the requests in flight or a
// limit is exceeded.
func (t *Table) Check() error {
	total, low := 0, 0
	for _, e := range t.list {
		sum, pending := 0, 0
		for i, f := range e.flights {
			if f.index != i || f.endpoint != e {
				return fmt.Errorf("brroute: endpoint %s: flight %d has a wrong index or endpoint", e.EndpointID, i)
			}
			sum += f.tokens
			if f.tier > 1 {
				low += f.tokens
			}
			if f.firstToken.IsZero() {
				pending += f.uncached
			}
		}
		if sum != e.outstanding || pending != e.pending {
			return fmt.Errorf("brroute: endpoint %s: %d tokens outstanding and %d pending, flights sum to %d and %d",
				e.EndpointID, e.outstanding, e.pending, sum, pending)
		}
		total += sum
	}
	if total != t.outstanding || low != t.lowTierOutstanding {
		return fmt.Errorf("brroute: %d tokens outstanding (%d of tiers 2 to 5), endpoints sum to %d (%d of tiers 2 to 5)", t.outstanding, t.lowTierOutstanding, total, low)
	}
	return t.index.check()
}

func (t *Table) add(a brwire.Announce) *endpoint {
	e := &endpoint{slot: t.index.newSlot()}
	e.EndpointID, e.Incarnation = a.EndpointID, a.Incarnation
	t.byID[a.EndpointID] = e
	t.list = append(t.list, e)
	for _, f := range t.adopted[a.EndpointID] {
		if !f.ended {
			t.addFlight(e, f)
		}
	}
	delete(t.adopted, a.EndpointID)
	return e
}

// applyReport applies the newest report of an endpoint.
func (t *Table) applyReport(now time.Time, e *endpoint, a brwire.Announce) {
	events := a.CacheEvents
	a.CacheEvents = nil
	// Records of ended requests keep these strings for 10 minutes, so equal strings
	// are shared.
	a.EndpointID = e.EndpointID
	a.Address = reuseString(e.Address, a.Address)
	a.Version = reuseString(e.Version, a.Version)
	e.Announce = a
	e.evacuated = slices.Contains(t.evacuated, a.FailureDomain)
	e.lastAnnounced = now
	e.measuredAt = now.Add(-max(0, a.Age()))
	e.load = clampTokens(a.RunningTokens) + clampTokens(a.WaitingTokens)
	for _, f := range e.flights {
		if f.granted.After(e.measuredAt) {
			e.load += f.tokens
		}
	}
	recent := e.completions[:0]
	for _, d := range e.completions {
		if now.Sub(d.ended) > completionRetention {
			continue
		}
		recent = append(recent, d)
		if !d.granted.After(e.measuredAt) && d.ended.After(e.measuredAt) {
			e.load -= d.tokens
		}
	}
	e.completions = recent
	e.load = max(0, e.load)
	t.index.apply(now, e.slot, events)
	t.endLoadWait(now, e)
	t.updateCapacity(e)
}

// updateCapacity updates the contribution of e to the capacity.
func (t *Table) updateCapacity(e *endpoint) {
	t.capacity -= e.countedCapacity
	e.countedCapacity = t.usableLimit(e)
	t.capacity += e.countedCapacity
}

// clampTokens limits a reported count to a range in which sums can't overflow.
func clampTokens(tokens int) int { return min(maxReportedTokens, max(0, tokens)) }

// reuseString returns old if both strings are equal, so that s can be freed.
func reuseString(old, s string) string {
	if old == s {
		return old
	}
	return s
}

// startIncarnation prepares e for the reports of a new incarnation.
func (t *Table) startIncarnation(e *endpoint, a brwire.Announce) {
	e.previousIncarnations = append(e.previousIncarnations, e.Incarnation)
	if len(e.previousIncarnations) > 4 {
		e.previousIncarnations = e.previousIncarnations[1:]
	}
	e.Incarnation, e.Sequence = a.Incarnation, 0
	e.completions = e.completions[:0]
	e.retryAt, e.backoff = time.Time{}, 0
	t.index.reset(e.slot)
}

func (t *Table) remove(e *endpoint) {
	delete(t.byID, e.EndpointID)
	t.capacity -= e.countedCapacity
	t.index.freeSlot(e.slot)
	t.list = slices.Delete(t.list, slices.Index(t.list, e), slices.Index(t.list, e)+1)
}

func (t *Table) recomputeCapacity() {
	t.capacity = 0
	for _, e := range t.list {
		e.countedCapacity = t.usableLimit(e)
		t.capacity += e.countedCapacity
	}
}

// usableLimit returns the limit of outstanding tokens of e, or 0 while e may not
// get new requests.
func (t *Table) usableLimit(e *endpoint) int {
	if !e.usable() {
		return 0
	}
	return t.outstandingLimitOf(e)
}

// outstandingLimitOf returns the limit of outstanding tokens of e.
func (t *Table) outstandingLimitOf(e *endpoint) int {
	c := clampTokens(e.CapacityTokens)
	if c == 0 {
		c = defaultCapacity
		if t.opts.Kind == brwire.KindService {
			c = 1
		}
	}
	if t.outstandingLimit > 0 {
		c = min(c, t.outstandingLimit)
	}
	return c
}

// usable reports whether e may get new requests.
func (e *endpoint) usable() bool { return e.open() && e.loadingVersion == "" }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
