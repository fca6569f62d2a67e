package brroute

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brwire"
)

const (
	// SilentAfter is the time without an announcement after which an endpoint
	// gets nothing new: three missed announcements.
	SilentAfter = 3 * time.Second
	// forgetAfter is the time without an announcement after which an endpoint
	// without requests in flight is removed.
	forgetAfter = 60 * time.Second
	// maxEndpoints bounds the table: three times the two-year target of one
	// region's largest pool. Announcements of further endpoints are ignored.
	maxEndpoints = 8192
	// defaultCapacity, in tokens, is assumed when an engine announces none.
	defaultCapacity = 100_000
	// maxReported bounds the figures of a report, in tokens; an engine holds a
	// few million.
	maxReported = 1 << 32
	// recentEnds is how long ended requests are kept to correct late reports;
	// reports are at most 5 s old, and a slow link is allowed as much again.
	recentEnds = 10 * time.Second
)

// Options configure a Table.
type Options struct {
	Kind brwire.EndpointKind
	Rand func() uint64 // breaks ties between the best candidates
}

// Table holds the endpoints of one pool.
type Table struct {
	opts     Options
	headroom int // percent of capacity kept for tier 1
	limit    int // outstanding per endpoint in tokens; 0 means what it announces

	byID  map[string]*endpoint
	list  []*endpoint // in the order of their first announcement
	index prefixIndex

	adopted     map[string][]*Flight // by endpoint id, until it announces itself
	trial       *Flight
	groups      map[string]*group
	reserved    map[string]bool // versions that requests without a group don't get
	speed       speed           // over all endpoints
	idle        speed           // best of the usable endpoints at the last Tick
	outstanding int             // sum over flights
	low         int             // outstanding of tiers 2 to 5
	capacity    int             // of the usable endpoints at the last Tick or Report
	best        []candidate     // reused by Choose
}

type endpoint struct {
	brwire.Announce
	slot     int
	previous []string // earlier incarnations, whose reports may still arrive
	heard    time.Time
	measured time.Time
	load     int // last report, corrected by grants and completions since
	flights  []*Flight
	ends     []end
	silent   bool
	loads    string    // version that an order makes it load; empty when none
	failed   int       // failed loads announced before that order
	loadsBy  time.Time // end of the wait for it
	counted  int       // in the table's capacity

	outstanding int // tokens in flight
	pending     int // prompt tokens in flight without a first token
	speed       speed

	halfOpen bool
	failures int // in a row
	retryAt  time.Time
	backoff  time.Duration
	progress time.Time // last first token or completion
	overdue  time.Duration
}

type end struct {
	granted, ended time.Time
	tokens         int
}

// State names what a Change tells of an endpoint.
type State string

// The states.
const (
	Joined   State = "joined"
	HalfOpen State = "half_open"
	Closed   State = "closed"
	Leaving  State = "leaving"
	Silent   State = "silent"
	Removed  State = "removed"
)

// Change tells that an endpoint entered a state.
type Change struct {
	EndpointID string
	Version    string
	State      State
	Reason     string
	Stalled    []*Flight // with HalfOpen: the requests that made no progress
}

// New returns an empty Table with a headroom of 20% for tier 1. New panics if a
// field of o is missing.
func New(o Options) *Table {
	if o.Kind == "" || o.Rand == nil {
		panic("brroute: options incomplete")
	}
	return &Table{opts: o, headroom: 20, byID: map[string]*endpoint{}, groups: map[string]*group{}}
}

// SetLimits sets the percentage of capacity that is kept for tier 1 and the
// outstanding limit per endpoint in tokens (service: requests); a limit of 0
// means what each endpoint announces. SetLimits panics if the percentage is not
// within 0 to 99 or the limit is negative.
func (t *Table) SetLimits(headroomPercent, outstandingLimit int) {
	if headroomPercent < 0 || headroomPercent > 99 || outstandingLimit < 0 {
		panic("brroute: limit out of range")
	}
	t.headroom, t.limit = headroomPercent, outstandingLimit
	t.measureCapacity()
}

// Report applies an announcement. Reports of an earlier incarnation are ignored;
// of one that is older than the last report of its incarnation only the cache
// events count.
func (t *Table) Report(now time.Time, a brwire.Announce) []Change {
	e := t.byID[a.EndpointID]
	if e == nil {
		if len(t.list) >= maxEndpoints {
			return nil
		}
		e = t.add(a)
		t.accept(now, e, a)
		return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: Joined}}
	}
	if a.Incarnation != e.Incarnation {
		if slices.Contains(e.previous, a.Incarnation) {
			return nil
		}
		t.restart(e, a)
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
	t.accept(now, e, a)
	return changes
}

// Load keeps new work from an endpoint that is about to get an order to load a
// version, until it announces that version or another failed load, or until by.
// An endpoint serves the new version up to an announcement's period before the
// table knows, and would in that time get the old version's requests. A zero by
// ends the wait. An unknown endpoint is ignored.
func (t *Table) Load(endpointID, version string, by time.Time) {
	e := t.byID[endpointID]
	if e == nil {
		return
	}
	e.loads, e.failed, e.loadsBy = version, len(e.FailedLoads), by
	if by.IsZero() {
		e.loads = ""
	}
	t.recount(e)
}

// endLoad ends the wait for a load that the last report tells of, or whose time
// is over.
func (t *Table) endLoad(now time.Time, e *endpoint) {
	if e.loads != "" && (e.Version == e.loads || len(e.FailedLoads) > e.failed || !now.Before(e.loadsBy)) {
		e.loads = ""
		t.recount(e)
	}
}

// ForgetAdopted drops the adopted requests whose endpoint never announced
// itself. A new owner calls it when a takeover discards what was in flight.
func (t *Table) ForgetAdopted() { t.adopted = nil }

// Len returns the number of endpoints in the table.
func (t *Table) Len() int { return len(t.list) }

// Outstanding returns the expected tokens (service: requests) in flight.
func (t *Table) Outstanding() int { return t.outstanding }

// Status describes one endpoint to operators.
type Status struct {
	EndpointID     string
	Address        string
	Version        string
	Leaving        bool
	Silent         bool
	HalfOpen       bool
	Loading        string // version that an order makes it load
	Requests       int    // in flight
	Outstanding    int    // expected tokens in flight
	Load           int    // corrected report, in tokens
	CapacityTokens int
	TokenTime      time.Duration // learned, between tokens on an idle endpoint
}

// Status returns the endpoints in the order of their first announcement.
func (t *Table) Status() []Status {
	out := make([]Status, 0, len(t.list))
	for _, e := range t.list {
		out = append(out, Status{
			EndpointID: e.EndpointID, Address: e.Address, Version: e.Version,
			Leaving: e.Leaving, Silent: e.silent, HalfOpen: e.halfOpen, Loading: e.loads,
			Requests: len(e.flights), Outstanding: e.outstanding, Load: e.load, CapacityTokens: e.CapacityTokens,
			TokenTime: seconds(t.speedOf(e).token),
		})
	}
	return out
}

// Check returns an error when the sums don't match the requests in flight or a
// bound is exceeded.
func (t *Table) Check() error {
	total, low := 0, 0
	for _, e := range t.list {
		sum, pending := 0, 0
		for i, f := range e.flights {
			if f.index != i || f.endpoint != e {
				return fmt.Errorf("brroute: endpoint %s: flight %d is misplaced", e.EndpointID, i)
			}
			sum += f.tokens
			if f.tier > 1 {
				low += f.tokens
			}
			if f.first.IsZero() {
				pending += f.uncached
			}
		}
		if sum != e.outstanding || pending != e.pending {
			return fmt.Errorf("brroute: endpoint %s: %d tokens outstanding and %d pending, flights hold %d and %d",
				e.EndpointID, e.outstanding, e.pending, sum, pending)
		}
		total += sum
	}
	if total != t.outstanding || low != t.low {
		return fmt.Errorf("brroute: %d tokens outstanding (%d low), endpoints hold %d (%d low)", t.outstanding, t.low, total, low)
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
			t.attach(e, f)
		}
	}
	delete(t.adopted, a.EndpointID)
	return e
}

// accept takes over the figures of the newest report of an endpoint.
func (t *Table) accept(now time.Time, e *endpoint, a brwire.Announce) {
	events := a.CacheEvents
	a.CacheEvents = nil
	// Ended requests keep these for 10 minutes; one copy of each is enough.
	a.EndpointID = e.EndpointID
	a.Address = keep(e.Address, a.Address)
	a.Version = keep(e.Version, a.Version)
	e.Announce = a
	e.heard = now
	e.measured = now.Add(-max(0, a.Age()))
	e.load = bound(a.RunningTokens) + bound(a.WaitingTokens)
	for _, f := range e.flights {
		if f.granted.After(e.measured) {
			e.load += f.tokens
		}
	}
	kept := e.ends[:0]
	for _, d := range e.ends {
		if now.Sub(d.ended) > recentEnds {
			continue
		}
		kept = append(kept, d)
		if !d.granted.After(e.measured) && d.ended.After(e.measured) {
			e.load -= d.tokens
		}
	}
	e.ends = kept
	e.load = max(0, e.load)
	t.index.apply(now, e.slot, events)
	t.endLoad(now, e)
	t.recount(e)
}

// recount takes over what e adds to the capacity.
func (t *Table) recount(e *endpoint) {
	t.capacity -= e.counted
	e.counted = t.usableLimit(e)
	t.capacity += e.counted
}

// bound pulls a reported figure into a range whose sums cannot overflow.
func bound(tokens int) int { return min(maxReported, max(0, tokens)) }

// keep returns old when both are equal, so that the newer copy can be freed.
func keep(old, s string) string {
	if old == s {
		return old
	}
	return s
}

// restart prepares e for the reports of a new incarnation.
func (t *Table) restart(e *endpoint, a brwire.Announce) {
	e.previous = append(e.previous, e.Incarnation)
	if len(e.previous) > 4 {
		e.previous = e.previous[1:]
	}
	e.Incarnation, e.Sequence = a.Incarnation, 0
	e.ends = e.ends[:0]
	e.retryAt, e.backoff = time.Time{}, 0
	t.index.reset(e.slot)
}

func (t *Table) remove(e *endpoint) {
	delete(t.byID, e.EndpointID)
	t.capacity -= e.counted
	t.index.freeSlot(e.slot)
	t.list = slices.Delete(t.list, slices.Index(t.list, e), slices.Index(t.list, e)+1)
}

func (t *Table) measureCapacity() {
	t.capacity = 0
	for _, e := range t.list {
		e.counted = t.usableLimit(e)
		t.capacity += e.counted
	}
}

// usableLimit returns the bound on the outstanding tokens of e, 0 while it may
// get nothing new.
func (t *Table) usableLimit(e *endpoint) int {
	if !e.usable() {
		return 0
	}
	return t.limitOf(e)
}

// limitOf returns the bound on the outstanding tokens of e.
func (t *Table) limitOf(e *endpoint) int {
	c := bound(e.CapacityTokens)
	if c == 0 {
		c = defaultCapacity
		if t.opts.Kind == brwire.KindService {
			c = 1
		}
	}
	if t.limit > 0 {
		c = min(c, t.limit)
	}
	return c
}

// usable reports whether e may get new work of some kind.
func (e *endpoint) usable() bool { return !e.Leaving && !e.silent && e.loads == "" }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
