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
	// Warmup is the time before requests count, and Length the time in which
	// they do.
	Warmup = 20 * time.Second
	Length = 60 * time.Second

	drain     = 45 * time.Second // after the last arrival
	templates = 8                // of each class
	prefix    = 18               // most blocks that a template shares
)

// Start is the time at which every run starts.
var Start = time.Unix(1_800_000_000, 0).UTC()

// mix is the work: the tier, the part of the requests in percent, the bounds of
// the prompt and the output in tokens, and the deadline of the first token.
var mix = []struct {
	tier, part  int
	prompt, out [2]int
	deadline    time.Duration
}{
	{1, 15, [2]int{300, 700}, [2]int{50, 150}, 500 * time.Millisecond},  // traveller's question
	{2, 15, [2]int{300, 900}, [2]int{50, 200}, 2 * time.Second},         // booking
	{3, 25, [2]int{1200, 2500}, [2]int{100, 250}, 6 * time.Second},      // summarising
	{4, 44, [2]int{900, 2500}, [2]int{200, 700}, 15 * time.Second},      // drafting
	{5, 1, [2]int{20_000, 40_000}, [2]int{500, 1000}, 40 * time.Second}, // proof review
}

// Result is what a run measured, over the requests after the warmup.
type Result struct {
	Offered, Good [5]int // by tier; good ones ended with the first token by the deadline
	Prefilled     int    // prompt tokens
	Late          int    // of Prefilled, for requests that weren't good
	Missed        int    // of Prefilled, of good requests, although another engine had them cached
}

// Cluster is the state of a run.
type Cluster struct {
	Now     time.Time
	policy  Policy
	engines []*Engine
	rng     *rand.Rand
	open    []*Request // neither ended nor given up
	all     []*Request
}

// Run plays rate requests per second under a policy. Equal seeds give equal
// arrivals for every policy.
func Run(seed uint64, rate float64, p Policy) Result {
	c := newCluster(seed, p)
	arrivals := rand.New(rand.NewPCG(seed, 1))
	due := 0.0
	for i := 0; c.Now.Before(Start.Add(Warmup + Length + drain)); i++ {
		for ; due < c.Now.Sub(Start).Seconds() && c.Now.Before(Start.Add(Warmup+Length)); due += arrivals.ExpFloat64() / rate {
			c.arrive(arrivals, 0)
		}
		c.step(i)
	}
	var res Result
	for _, r := range c.all {
		if r.Arrival.Before(Start.Add(Warmup)) {
			continue
		}
		res.Offered[r.Tier-1]++
		res.Prefilled += r.filled
		if r.Done.IsZero() || r.First.After(r.Deadline) {
			res.Late += r.filled
			continue
		}
		res.Good[r.Tier-1]++
		res.Missed += min(r.missed, r.filled)
	}
	return res
}

// Capacity returns the requests per second that the engines end under FirstCome
// when 50 requests wait at all times and nobody gives up.
func Capacity(seed uint64) float64 {
	c := newCluster(seed, FirstCome())
	ended := 0
	for i := 0; c.Now.Before(Start.Add(Warmup + Length)); i++ {
		for len(c.open) < 50+c.placed() {
			c.arrive(c.rng, time.Hour)
		}
		before := len(c.open)
		c.step(i)
		if c.Now.After(Start.Add(Warmup)) {
			ended += before - len(c.open)
		}
	}
	return float64(ended) / Length.Seconds()
}

// Place sends a request to an engine. Place panics if the engine is unknown or
// the request was placed before.
func (c *Cluster) Place(r *Request, engineID string) {
	i := slices.IndexFunc(c.engines, func(e *Engine) bool { return e.ID == engineID })
	if i < 0 || r.engine != nil {
		panic("brbaseline: unknown engine or placed request")
	}
	r.engine, r.Sent = c.engines[i], c.Now
	r.engine.queue = append(r.engine.queue, r)
}

// Refuse ends a request that was not placed.
func (c *Cluster) Refuse(r *Request) { r.gone = true }

func newCluster(seed uint64, p Policy) *Cluster {
	c := &Cluster{Now: Start, policy: p, rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range Engines {
		c.engines = append(c.engines, newEngine(i))
	}
	return c
}

func (c *Cluster) arrive(rng *rand.Rand, patience time.Duration) {
	n, class := rng.IntN(100), 0
	for n >= mix[class].part {
		n -= mix[class].part
		class++
	}
	m := mix[class]
	r := &Request{
		ID: requestID(c.Now, len(c.all)), Class: class, Tier: m.tier, Arrival: c.Now, Deadline: c.Now.Add(m.deadline + patience),
		Prompt: m.prompt[0] + rng.IntN(m.prompt[1]-m.prompt[0]), Output: m.out[0] + rng.IntN(m.out[1]-m.out[0]),
	}
	template := rng.IntN(templates)
	for b := range min(prefix, m.prompt[0]/brwire.PrefixBlockTokens) {
		r.Blocks = append(r.Blocks, uint64(class*1_000_000+template*1000+b+1))
	}
	c.all = append(c.all, r)
	c.open = append(c.open, r)
	c.policy.Submit(c, r)
}

// step serves one StepTime. Callers give up when the first token is late.
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
		firsts, ended := e.step(c.Now, c.warmest)
		for _, r := range firsts {
			notify(c.policy.First, c, r)
		}
		for _, r := range ended {
			r.gone = true
			notify(c.policy.End, c, r)
		}
	}
	for _, r := range c.open {
		if r.gone || !r.First.IsZero() || !c.Now.After(r.Deadline) {
			continue
		}
		r.gone = true
		if r.engine == nil {
			notify(c.policy.GiveUp, c, r)
			continue
		}
		r.engine.cancel(r)
		notify(c.policy.End, c, r)
	}
	c.open = slices.DeleteFunc(c.open, func(r *Request) bool { return r.gone })
}

func notify(f func(c *Cluster, r *Request), c *Cluster, r *Request) {
	if f != nil {
		f(c, r)
	}
}

func (c *Cluster) placed() int {
	n := 0
	for _, r := range c.open {
		if r.engine != nil {
			n++
		}
	}
	return n
}

func (c *Cluster) warmest(r *Request) int {
	most := 0
	for _, e := range c.engines {
		most = max(most, e.depth(r))
	}
	return most
}

// requestID returns the n-th UUIDv7 minted at a time.
func requestID(minted time.Time, n int) string {
	ms := minted.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
