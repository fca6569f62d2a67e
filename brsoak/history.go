package brsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Violation is a promise that was seen broken.
type Violation struct {
	Promise string
	Detail  string
}

// Promises that a History checks.
const (
	AtMostOnce     = "a request that may run once ran twice"
	NotRunIsTrue   = "a request that was said not to have run ran"
	WholeAnswers   = "an answer that looks whole isn't the endpoint's"
	AnswersArrive  = "a request that an endpoint ran got no answer"
	ConfigIsNewest = "a reader was shown a policy older than an acknowledged one"
	ConfigApplies  = "an acknowledged policy isn't in force in time"
	QuotaHolds     = "a customer got more than its quota"
	RetriesBounded = "more dispatches were repeated than the budget allows"
	LeavingIsLeft  = "an endpoint that has left gets requests"
	Recovers       = "the fleet doesn't serve after the last fault"
)

// Limits of the checks.
const (
	quotaWindow    = 8 * time.Second
	quotaTolerance = 0.1
	// quotaSlack is in seconds of the rate, as on the users' platform.
	quotaSlack  = 0.7
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
	// drainTime is the time after the acknowledgement of an endpoint's leave from
	// which on it gets nothing, with some slack for what is on its way.
	drainTime = 2500*time.Millisecond + 500*time.Millisecond
)

// Attempt is what a caller saw of one request.
type Attempt struct {
	ID       string
	Kind     Kind
	Customer Customer
	Daemon   int
	Sent     time.Time
	Ended    time.Time
	Status   int  // 0 when no whole answer arrived
	Promise  bool // the status says that the request was not run
	Whole    bool // the answer looks whole
	Body     string
	Left     bool // the caller gave up
}

// Outcome is how an execution ended.
type Outcome uint8

// The outcomes.
const (
	Running  Outcome = iota
	Answered         // in full
	Broken           // by the endpoint, on purpose
	Stopped          // because the connection ended
)

// Execution is what an endpoint saw of one request.
type Execution struct {
	ID       string
	Endpoint string
	Began    time.Time
	Outcome  Outcome
}

// History holds what was seen and checks it. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	kinds      map[string]Kind
	customers  map[string]Customer
	attempts   map[string]Attempt
	runs       map[string][]Execution
	order      []Execution
	left       map[string]time.Time // by endpoint, when its leave was acknowledged
	acked      uint64
	disturbed  []disturbance
	violations []Violation
}

// disturbance is a time in which a daemon can't be expected to keep connections.
type disturbance struct {
	daemon   int // allDaemons for all of them
	from, to time.Time
}

const allDaemons = -1

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{
		kinds: map[string]Kind{}, customers: map[string]Customer{}, attempts: map[string]Attempt{},
		runs: map[string][]Execution{}, left: map[string]time.Time{},
	}
}

// Violations returns what was seen broken so far.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation(nil), h.violations...)
}

// Counts returns the number of attempts and of those that got a good answer.
func (h *History) Counts() (attempts, good int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.Status == 200 && a.Whole {
			good++
		}
	}
	return len(h.attempts), good
}

func (h *History) violate(promise, format string, args ...any) {
	h.violations = append(h.violations, Violation{promise, fmt.Sprintf(format, args...)})
}

// Sends notes that an attempt is about to be sent.
func (h *History) Sends(id string, k Kind, c Customer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kinds[id], h.customers[id] = k, c
}

// Disturbs notes that a daemon is killed, frozen or cut off in a time.
func (h *History) Disturbs(daemon int, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = append(h.disturbed, disturbance{daemon, from, to})
}

// Calm reports whether no daemon was disturbed since a time.
func (h *History) Calm(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.disturbedIn(since, time.Now(), func(int) bool { return true })
}

// Begins notes that an endpoint runs a request. The returned function is called
// when it has ended.
func (h *History) Begins(r Execution) (ended func(Outcome)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	earlier := h.runs[r.ID]
	if kind, ok := h.kinds[r.ID]; ok && kind != Safe && len(earlier) > 0 {
		h.violate(AtMostOnce, "%s at %s and at %s, %v later", r.ID, earlier[0].Endpoint, r.Endpoint, r.Began.Sub(earlier[0].Began))
	}
	if a, ok := h.attempts[r.ID]; ok && a.Promise {
		h.violate(NotRunIsTrue, "%s at %s, %v after status %d", r.ID, r.Endpoint, r.Began.Sub(a.Ended), a.Status)
	}
	if at, ok := h.left[r.Endpoint]; ok && r.Began.Sub(at) > drainTime && !h.disturbedIn(at, r.Began, func(int) bool { return true }) {
		h.violate(LeavingIsLeft, "%s at %s, %v after its leave was acknowledged", r.ID, r.Endpoint, r.Began.Sub(at))
	}
	h.runs[r.ID] = append(earlier, r)
	h.order = append(h.order, r)
	n := len(earlier)
	return func(o Outcome) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.runs[r.ID][n].Outcome = o
	}
}

// Ends notes what a caller saw.
func (h *History) Ends(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts[a.ID] = a
	runs := h.runs[a.ID]
	if a.Promise && len(runs) > 0 {
		h.violate(NotRunIsTrue, "%s got status %d, and ran at %s", a.ID, a.Status, runs[0].Endpoint)
	}
	if a.Status == 200 && a.Whole {
		h.checkBody(a, runs)
	}
}

func (h *History) checkBody(a Attempt, runs []Execution) {
	for _, r := range runs {
		if a.Body == body(a.Kind, a.ID, r.Endpoint) {
			return
		}
	}
	h.violate(WholeAnswers, "%s, %d bytes after %d runs", a.ID, len(a.Body), len(runs))
}

// Leaves notes that an endpoint's leave was acknowledged.
func (h *History) Leaves(endpoint string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[endpoint] = at
}

// Acknowledged notes an acknowledged policy.
func (h *History) Acknowledged(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked = max(h.acked, version)
}

// Newest returns the highest version that was acknowledged so far.
func (h *History) Newest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acked
}

// Reads notes that a reader was shown a version. least is what Newest returned
// before it asked.
func (h *History) Reads(daemon int, version, least uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < least {
		h.violate(ConfigIsNewest, "daemon %d showed %d after %d was acknowledged", daemon, version, least)
	}
}

// Breaks notes a promise that was seen broken elsewhere.
func (h *History) Breaks(promise, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate(promise, "%s", detail)
}

// served returns the part of the requests of unlimited callers, ended since from,
// that got a good answer.
func (h *History) served(from time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, good := 0, 0
	for _, a := range h.attempts {
		if a.Customer != Unlimited || a.Ended.Before(from) {
			continue
		}
		all++
		if a.Status == 200 && a.Whole {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// Finish checks what only the whole history shows.
func (h *History) Finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkDelivery()
	h.checkQuota()
	h.checkRetries()
}

// checkDelivery finds requests that an endpoint ran without a fault and whose
// waiting caller got no whole answer from an undisturbed daemon.
func (h *History) checkDelivery() {
	for id, a := range h.attempts {
		own := func(daemon int) bool { return daemon == a.Daemon || daemon == allDaemons }
		if a.Status != 0 || a.Left || h.disturbedIn(a.Sent, a.Ended, own) {
			continue
		}
		for _, r := range h.runs[id] {
			if r.Outcome != Broken {
				h.violate(AnswersArrive, "%s of daemon %d, run by %s", id, a.Daemon, r.Endpoint)
			}
		}
	}
}

// disturbedIn reports whether one of some daemons was disturbed in a time.
func (h *History) disturbedIn(from, to time.Time, daemon func(int) bool) bool {
	return slices.ContainsFunc(h.disturbed, func(d disturbance) bool {
		return d.from.Before(to) && d.to.After(from) && daemon(d.daemon)
	})
}

func (h *History) checkQuota() {
	limit := QuotaRate*quotaWindow.Seconds()*(1+quotaTolerance) + QuotaBurst + quotaSlack*QuotaRate
	most := mostIn(h.order, quotaWindow, func(r Execution) float64 {
		if h.customers[r.ID] == Limited && h.runs[r.ID][0].Began.Equal(r.Began) {
			return CallTokens
		}
		return 0
	})
	if most > limit {
		h.violate(QuotaHolds, "%.0f tokens of at most %.0f in %v", most, limit, quotaWindow)
	}
}

func (h *History) checkRetries() {
	again := func(r Execution) float64 {
		if h.runs[r.ID][0].Began.Equal(r.Began) {
			return -retryRatio
		}
		return 1
	}
	if most := mostIn(h.order, retryWindow, again); most > retrySlack {
		h.violate(RetriesBounded, "%.0f above a fifth of the requests in %v", most, retryWindow)
	}
}

// mostIn returns the largest sum of weight over the runs of any window.
func mostIn(runs []Execution, window time.Duration, weight func(Execution) float64) float64 {
	most, sum, first := 0.0, 0.0, 0
	for i, r := range runs {
		sum += weight(r)
		for r.Began.Sub(runs[first].Began) > window {
			sum -= weight(runs[first])
			first++
		}
		if i >= first {
			most = max(most, sum)
		}
	}
	return most
}
