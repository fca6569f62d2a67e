package brsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Violation is an observed violation of a guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// The guarantees that a History checks.
const (
	AtMostOnce         = "a request that may run at most once ran twice"
	NotRunHolds        = "a request that was reported as not run was run"
	ResponsesIntact    = "a complete response differs from the response of the endpoint"
	ResponsesDelivered = "a request that an endpoint ran got no response"
	ReadsAreCurrent    = "a read returned a policy older than an acknowledged one"
	ConfigIsApplied    = "an acknowledged policy was not applied in time"
	QuotaHolds         = "a customer exceeded its quota"
	RetriesLimited     = "more dispatches were retried than the retry budget allows"
	EvacuationsHold    = "an endpoint received requests after the evacuation of its failure domain"
	LeavingIsDrained   = "an endpoint received requests after it had left"
	Recovers           = "the fleet did not recover after the last fault"
)

// Limits of the checks.
const (
	quotaWindow    = 8 * time.Second
	quotaTolerance = 0.1
	// quotaSlack is an allowance in seconds of the quota rate. The users' platform
	// allows the same.
	quotaSlack  = 0.7
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
	// drainLimit is the time after the acknowledgement of an endpoint's leave from
	// which the endpoint must not receive requests. It includes 500 ms for requests
	// in transit.
	drainLimit = 2500*time.Millisecond + 500*time.Millisecond
	// evacuationLimit is the same for the acknowledgement of an evacuation.
	evacuationLimit = 5*time.Second + 500*time.Millisecond
)

// Attempt is the result of one request as seen by the caller.
type Attempt struct {
	ID       string
	Kind     Kind
	Customer Customer
	Daemon   int // index of the daemon that received the request
	Sent     time.Time
	Ended    time.Time
	Status   int  // HTTP status; 0 if the response is incomplete
	NotRun   bool // the status guarantees that the request was not run
	Complete bool // the response was read to its end
	Body     string
	TimedOut bool // the caller timed out
}

// Outcome is the result of an execution.
type Outcome uint8

// The outcomes.
const (
	Running   Outcome = iota
	Completed         // responded in full
	Aborted           // aborted by the endpoint as an injected fault
	Stopped           // ended because the connection was closed
)

// Execution is the run of one request at an endpoint.
type Execution struct {
	ID        string
	Endpoint  string
	Domain    string // failure domain of the endpoint
	StartedAt time.Time
	Outcome   Outcome
}

// History records attempts, executions and acknowledgements and checks them for
// violations. It is safe for concurrent use.
type History struct {
	mu             sync.Mutex
	kinds          map[string]Kind
	customers      map[string]Customer
	attempts       map[string]Attempt
	executions     map[string][]Execution // by request ID
	executionOrder []Execution            // all executions in the order of their start
	leaveAcked     map[string]time.Time   // by endpoint ID, time of the acknowledgement
	evacuated      map[string]time.Time   // by failure domain, time of the acknowledgement
	ackedVersion   uint64                 // highest acknowledged policy version
	disturbances   []disturbance
	violations     []Violation
}

// disturbance is an interval in which a daemon may lose connections.
type disturbance struct {
	daemon   int // index, or allDaemons
	from, to time.Time
}

const allDaemons = -1

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{
		kinds: map[string]Kind{}, customers: map[string]Customer{}, attempts: map[string]Attempt{},
		executions: map[string][]Execution{}, leaveAcked: map[string]time.Time{},
		evacuated: map[string]time.Time{},
	}
}

// Violations returns the violations recorded so far.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation(nil), h.violations...)
}

// Counts returns the number of attempts and of successful attempts, which have a
// complete response with status 200.
func (h *History) Counts() (attempts, good int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.Status == 200 && a.Complete {
			good++
		}
	}
	return len(h.attempts), good
}

func (h *History) addViolation(guarantee, format string, args ...any) {
	h.violations = append(h.violations, Violation{guarantee, fmt.Sprintf(format, args...)})
}

// RecordSend records that an attempt is about to be sent.
func (h *History) RecordSend(id string, k Kind, c Customer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kinds[id], h.customers[id] = k, c
}

// RecordDisturbance records that a daemon is killed, frozen or disconnected between
// two times.
func (h *History) RecordDisturbance(daemon int, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, disturbance{daemon, from, to})
}

// Undisturbed reports whether no daemon has been disturbed since a time.
func (h *History) Undisturbed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.disturbedDuring(since, time.Now(), func(int) bool { return true })
}

// RecordExecution records that an endpoint starts to run a request. The caller must
// call the returned function with the outcome when the execution has ended.
func (h *History) RecordExecution(r Execution) (finish func(Outcome)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.executions[r.ID]
	if kind, ok := h.kinds[r.ID]; ok && kind != Safe && len(previous) > 0 {
		h.addViolation(AtMostOnce, "%s ran at %s and at %s, %v later", r.ID, previous[0].Endpoint, r.Endpoint, r.StartedAt.Sub(previous[0].StartedAt))
	}
	if a, ok := h.attempts[r.ID]; ok && a.NotRun {
		h.addViolation(NotRunHolds, "%s ran at %s, %v after status %d", r.ID, r.Endpoint, r.StartedAt.Sub(a.Ended), a.Status)
	}
	if at, ok := h.leaveAcked[r.Endpoint]; ok && r.StartedAt.Sub(at) > drainLimit && !h.disturbedDuring(at, r.StartedAt, func(int) bool { return true }) {
		h.addViolation(LeavingIsDrained, "%s ran at %s, %v after the leave was acknowledged", r.ID, r.Endpoint, r.StartedAt.Sub(at))
	}
	if at, ok := h.evacuated[r.Domain]; ok && r.StartedAt.Sub(at) > evacuationLimit && !h.disturbedDuring(at, r.StartedAt, func(int) bool { return true }) {
		h.addViolation(EvacuationsHold, "%s ran at %s, %v after the evacuation was acknowledged", r.ID, r.Endpoint, r.StartedAt.Sub(at))
	}
	h.executions[r.ID] = append(previous, r)
	h.executionOrder = append(h.executionOrder, r)
	index := len(previous)
	return func(o Outcome) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.executions[r.ID][index].Outcome = o
	}
}

// RecordAttempt records the result of an attempt.
func (h *History) RecordAttempt(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts[a.ID] = a
	runs := h.executions[a.ID]
	if a.NotRun && len(runs) > 0 {
		h.addViolation(NotRunHolds, "%s got status %d but ran at %s", a.ID, a.Status, runs[0].Endpoint)
	}
	if a.Status == 200 && a.Complete {
		h.checkBody(a, runs)
	}
}

func (h *History) checkBody(a Attempt, runs []Execution) {
	for _, r := range runs {
		if a.Body == responseBody(a.Kind, a.ID, r.Endpoint) {
			return
		}
	}
	h.addViolation(ResponsesIntact, "%s: response of %d bytes matches none of %d executions", a.ID, len(a.Body), len(runs))
}

// RecordLeave records the acknowledgement of an endpoint's leave.
func (h *History) RecordLeave(endpoint string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaveAcked[endpoint] = at
}

// RecordEvacuation records the acknowledgement of the evacuation of a failure domain.
func (h *History) RecordEvacuation(domain string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuated[domain] = at
}

// RecordEvacuationEnd records that the withdrawal of an evacuation is about to be sent.
func (h *History) RecordEvacuationEnd(domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.evacuated, domain)
}

// RecordAcknowledged records that a policy version was acknowledged.
func (h *History) RecordAcknowledged(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ackedVersion = max(h.ackedVersion, version)
}

// NewestAcknowledged returns the highest acknowledged version.
func (h *History) NewestAcknowledged() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ackedVersion
}

// RecordRead records the version that a read at a daemon returned. minVersion is the
// value of NewestAcknowledged before the read was sent.
func (h *History) RecordRead(daemon int, version, minVersion uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < minVersion {
		h.addViolation(ReadsAreCurrent, "daemon %d returned version %d after version %d was acknowledged", daemon, version, minVersion)
	}
}

// RecordViolation records a violation that was detected outside of h.
func (h *History) RecordViolation(guarantee, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation(guarantee, "%s", detail)
}

// goodShare returns the fraction of successful requests among those of unlimited
// callers that ended at or after from.
func (h *History) goodShare(from time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, good := 0, 0
	for _, a := range h.attempts {
		if a.Customer != Unlimited || a.Ended.Before(from) {
			continue
		}
		all++
		if a.Status == 200 && a.Complete {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// Finish runs the checks that need the complete history.
func (h *History) Finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkDelivery()
	h.checkQuota()
	h.checkRetries()
}

// checkDelivery finds requests that an endpoint ran without an injected fault, but
// whose caller got no complete response although it did not time out and its daemon
// was undisturbed.
func (h *History) checkDelivery() {
	for id, a := range h.attempts {
		isAttemptDaemon := func(daemon int) bool { return daemon == a.Daemon || daemon == allDaemons }
		if a.Status != 0 || a.TimedOut || h.disturbedDuring(a.Sent, a.Ended, isAttemptDaemon) {
			continue
		}
		for _, r := range h.executions[id] {
			if r.Outcome != Aborted {
				h.addViolation(ResponsesDelivered, "%s sent to daemon %d, run by %s", id, a.Daemon, r.Endpoint)
			}
		}
	}
}

// disturbedDuring reports whether a daemon that match selects was disturbed between
// two times.
func (h *History) disturbedDuring(from, to time.Time, match func(int) bool) bool {
	return slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		return d.from.Before(to) && d.to.After(from) && match(d.daemon)
	})
}

func (h *History) checkQuota() {
	limit := QuotaRate*quotaWindow.Seconds()*(1+quotaTolerance) + QuotaBurst + quotaSlack*QuotaRate
	peak := maxWindowSum(h.executionOrder, quotaWindow, func(r Execution) float64 {
		if h.customers[r.ID] == Limited && h.executions[r.ID][0].StartedAt.Equal(r.StartedAt) {
			return CallTokens
		}
		return 0
	})
	if peak > limit {
		h.addViolation(QuotaHolds, "%.0f tokens in a window, limit %.0f in %v", peak, limit, quotaWindow)
	}
}

func (h *History) checkRetries() {
	retryWeight := func(r Execution) float64 {
		if h.executions[r.ID][0].StartedAt.Equal(r.StartedAt) {
			return -retryRatio
		}
		return 1
	}
	if peak := maxWindowSum(h.executionOrder, retryWindow, retryWeight); peak > retrySlack {
		h.addViolation(RetriesLimited, "%.0f retries above a fifth of the requests in %v", peak, retryWindow)
	}
}

// maxWindowSum returns the largest sum of weight over the runs that begin within one
// window. The runs must be sorted by time.
func maxWindowSum(runs []Execution, window time.Duration, weight func(Execution) float64) float64 {
	peak, sum, first := 0.0, 0.0, 0
	for i, r := range runs {
		sum += weight(r)
		for r.StartedAt.Sub(runs[first].StartedAt) > window {
			sum -= weight(runs[first])
			first++
		}
		if i >= first {
			peak = max(peak, sum)
		}
	}
	return peak
}
