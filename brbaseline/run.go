package brbaseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyroute/brwire"
)

const (
	// Engines is the number of engines of a run.
	Engines = 12
	// Warmup is the time before the measurement, and MeasuredTime the duration of
	// the measurement.
	Warmup       = 20 * time.Second
	MeasuredTime = 60 * time.Second

	drainTime       = 45 * time.Second // simulated after the last arrival
	templates       = 8                // number for each class
	maxPrefixBlocks = 18               // maximum number of blocks in the prefix of a template
)

// Start is the simulated time at which every run starts.
var Start = time.Unix(1_800_000_000, 0).UTC()

// workload is the workload by class: the tier, the share of the requests in
// percent, the range of the prompt and the output in tokens, and the deadline
// for the first token.
var workload = []struct {
	tier, percent  int
	prompt, output [2]int
	deadline       time.Duration
}{
	{1, 15, [2]int{300, 700}, [2]int{50, 150}, 500 * time.Millisecond},  // traveler's question
	{2, 15, [2]int{300, 900}, [2]int{50, 200}, 2 * time.Second},         // booking
	{3, 25, [2]int{1200, 2500}, [2]int{100, 250}, 6 * time.Second},      // summarizing
	{4, 44, [2]int{900, 2500}, [2]int{200, 700}, 15 * time.Second},      // drafting
	{5, 1, [2]int{20_000, 40_000}, [2]int{500, 1000}, 40 * time.Second}, // proof review
}

// Result is the measurement of a run over the requests that arrived after the
// warmup.
type Result struct {
	Offered, InTime  [5]int // by tier; a request in time ended and had its first token by the deadline
	Prefilled        int    // prompt tokens that were prefilled
	WastedPrefill    int    // part of Prefilled for requests that weren't in time
	AvoidablePrefill int    // part of Prefilled for requests in time that another engine had cached
}

// Cluster is the state of a simulation run.
type Cluster struct {
	Now          time.Time
	policy       Policy
	engines      []*Engine
	rng          *rand.Rand
	openRequests []*Request // neither ended, canceled nor refused
	requests     []*Request
}

// Run simulates a workload with a mean of rate requests per second under a
// policy. The arrivals depend only on the seed and the rate, not on the policy.
func Run(seed uint64, rate float64, p Policy) Result {
	c := newCluster(seed, p)
	arrivals := rand.New(rand.NewPCG(seed, 1))
	nextArrival := 0.0
	for i := 0; c.Now.Before(Start.Add(Warmup + MeasuredTime + drainTime)); i++ {
		for ; nextArrival < c.Now.Sub(Start).Seconds() && c.Now.Before(Start.Add(Warmup+MeasuredTime)); nextArrival += arrivals.ExpFloat64() / rate {
			c.arrive(arrivals, 0)
		}
		c.step(i)
	}
	var res Result
	for _, r := range c.requests {
		if r.Arrival.Before(Start.Add(Warmup)) {
			continue
		}
		res.Offered[r.Tier-1]++
		res.Prefilled += r.prefilled
		if r.EndedAt.IsZero() || r.FirstTokenAt.After(r.Deadline) {
			res.WastedPrefill += r.prefilled
			continue
		}
		res.InTime[r.Tier-1]++
		res.AvoidablePrefill += min(r.avoidable, r.prefilled)
	}
	return res
}

// Capacity returns the number of requests per second that the engines complete
// under FirstComeFirstServed while 50 requests are always queued and deadlines are
// extended by an hour, so that no caller gives up.
func Capacity(seed uint64) float64 {
	c := newCluster(seed, FirstComeFirstServed())
	ended := 0
	for i := 0; c.Now.Before(Start.Add(Warmup + MeasuredTime)); i++ {
		for len(c.openRequests) < 50+c.placedCount() {
			c.arrive(c.rng, time.Hour)
		}
		before := len(c.openRequests)
		c.step(i)
		if c.Now.After(Start.Add(Warmup)) {
			ended += before - len(c.openRequests)
		}
	}
	return float64(ended) / MeasuredTime.Seconds()
}

// Place sends a request to an engine. It panics if the engine is unknown or the
// request was placed before.
func (c *Cluster) Place(r *Request, engineID string) {
	i := slices.IndexFunc(c.engines, func(e *Engine) bool { return e.ID == engineID })
	if i < 0 || r.engine != nil {
		panic("brbaseline: engine unknown or request already placed")
	}
	r.engine, r.Sent = c.engines[i], c.Now
	r.engine.queue = append(r.engine.queue, r)
}

// Refuse ends a request that was not placed.
func (c *Cluster) Refuse(r *Request) { r.closed = true }

func newCluster(seed uint64, p Policy) *Cluster {
	c := &Cluster{Now: Start, policy: p, rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range Engines {
		c.engines = append(c.engines, newEngine(i))
	}
	return c
}

// arrive submits a random request of the workload, with its deadline extended by
// extension.
func (c *Cluster) arrive(rng *rand.Rand, extension time.Duration) {
	n, class := rng.IntN(100), 0
	for n >= workload[class].percent {
		n -= workload[class].percent
		class++
	}
	m := workload[class]
	r := &Request{
		ID: requestID(c.Now, len(c.requests)), Class: class, Tier: m.tier, Arrival: c.Now, Deadline: c.Now.Add(m.deadline + extension),
		Prompt: m.prompt[0] + rng.IntN(m.prompt[1]-m.prompt[0]), Output: m.output[0] + rng.IntN(m.output[1]-m.output[0]),
	}
	template := rng.IntN(templates)
	for b := range min(maxPrefixBlocks, m.prompt[0]/brwire.PrefixBlockTokens) {
		r.Blocks = append(r.Blocks, uint64(class*1_000_000+template*1000+b+1))
	}
	c.requests = append(c.requests, r)
	c.openRequests = append(c.openRequests, r)
	c.policy.Submit(c, r)
}

// step advances the simulation by StepTime. Callers give up requests whose first
// token didn't come by the deadline.
func (c *Cluster) step(i int) {
	if i%int(time.Second/StepTime) == 0 && c.policy.Report != nil {
		for _, e := range c.engines {
			c.policy.Report(c, e.announce(1+c.rng.IntN(5), c.rng))
		}
	}
	if c.policy.Tick != nil {
		c.policy.Tick(c)
	}
	c.Now = c.Now.Add(StepTime)
	for _, e := range c.engines {
		firstTokens, ended := e.step(c.Now, c.maxCachedBlocks)
		for _, r := range firstTokens {
			notify(c.policy.FirstToken, c, r)
		}
		for _, r := range ended {
			r.closed = true
			notify(c.policy.End, c, r)
		}
	}
	for _, r := range c.openRequests {
		if r.closed || !r.FirstTokenAt.IsZero() || !c.Now.After(r.Deadline) {
			continue
		}
		r.closed = true
		if r.engine == nil {
			notify(c.policy.GiveUp, c, r)
			continue
		}
		r.engine.cancel(r)
		notify(c.policy.End, c, r)
	}
	c.openRequests = slices.DeleteFunc(c.openRequests, func(r *Request) bool { return r.closed })
}

// notify calls a function of a policy unless it is nil.
func notify(f func(c *Cluster, r *Request), c *Cluster, r *Request) {
	if f != nil {
		f(c, r)
	}
}

// placedCount returns the number of open requests that are on an engine.
func (c *Cluster) placedCount() int {
	n := 0
	for _, r := range c.openRequests {
		if r.engine != nil {
			n++
		}
	}
	return n
}

// maxCachedBlocks returns the largest number of leading blocks of r that any
// engine has cached.
func (c *Cluster) maxCachedBlocks(r *Request) int {
	most := 0
	for _, e := range c.engines {
		most = max(most, e.cachedBlocks(r))
	}
	return most
}

// requestID returns the n-th UUIDv7 created at a time.
func requestID(createdAt time.Time, n int) string {
	ms := createdAt.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
