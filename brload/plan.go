package brload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// MaxArrivals bounds the arrivals of one plan.
const MaxArrivals = 200_000

// Arrival is one request of a plan.
type Arrival struct {
	At        time.Duration // since the start of the run
	Number    int           // in the plan
	Customer  Customer
	Route     string
	Tier      int
	Prompt    string // ends with the number of answer tokens for brfake
	MaxTokens int    // what the request asks for; more than Output
	Output    int    // tokens of the whole answer
	Deadline  time.Duration
}

// Season is the pattern of bursts: in each Period the arrivals come Factor times
// faster than on average for Length, and slower in the rest, so that the mean
// rate is kept. Its zero value has no bursts.
type Season struct {
	Period, Length time.Duration
	Factor         float64
}

// rate returns the factor of the mean rate at a time.
func (s Season) rate(at time.Duration) float64 {
	if s.Period <= 0 || s.Length <= 0 || s.Length >= s.Period {
		return 1
	}
	if at%s.Period < s.Length {
		return s.Factor
	}
	part := s.Length.Seconds() / s.Period.Seconds()
	return max(0, (1-s.Factor*part)/(1-part))
}

// Plan describes a list of arrivals.
type Plan struct {
	Seed   uint64
	Rate   float64 // mean arrivals per second
	Length time.Duration
	Limit  int // arrivals at most; 0 means MaxArrivals
	Season Season
	Mix    Mix
}

// Arrivals returns the arrivals of p in the order of their times: a Poisson
// process whose rate follows the season, by thinning (Lewis and Shedler, 1979).
// Equal plans give equal arrivals. Arrivals panics if the rate is not positive
// or the mix is empty.
func (p Plan) Arrivals() []Arrival {
	if p.Rate <= 0 || len(p.Mix.Classes) == 0 || len(p.Mix.Customers) == 0 {
		panic("brload: plan without rate, classes or customers")
	}
	limit := p.Limit
	if limit <= 0 || limit > MaxArrivals {
		limit = MaxArrivals
	}
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	peak := max(1, p.Season.Factor)
	var out []Arrival
	for at := 0.0; len(out) < limit; {
		at += rng.ExpFloat64() / (p.Rate * peak)
		when := time.Duration(at * float64(time.Second))
		if when >= p.Length {
			break
		}
		if rng.Float64()*peak < p.Season.rate(when) {
			out = append(out, p.Mix.arrival(rng, len(out), when))
		}
	}
	return out
}

func (m Mix) arrival(rng *rand.Rand, number int, at time.Duration) Arrival {
	c := m.Classes[pick(rng, len(m.Classes), func(i int) float64 { return m.Classes[i].Part })]
	u := m.Customers[pick(rng, len(m.Customers), func(i int) float64 { return m.Customers[i].Part })]
	output := c.Output.draw(rng)
	return Arrival{
		At: at, Number: number, Customer: u, Route: c.Route, Tier: c.Tier, Output: output,
		MaxTokens: 4 * c.Output.Most, Deadline: time.Duration(c.DeadlineMS) * time.Millisecond,
		Prompt: prompt(m.Salt, c, rng.IntN(max(1, c.Templates)), number, c.Body.draw(rng), output),
	}
}

// pick returns an index with a probability in proportion to its part.
func pick(rng *rand.Rand, n int, part func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += part(i)
	}
	x := rng.Float64() * sum
	for i := range n - 1 {
		if x -= part(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func (r Range) draw(rng *rand.Rand) int { return r.Least + rng.IntN(max(1, r.Most-r.Least+1)) }

// prompt returns a shared prefix and words of its own. The last word sets the
// length of brfake's answer.
func prompt(salt string, c Class, template, number, body, output int) string {
	var b strings.Builder
	shared := fmt.Sprintf("%s%s%d", salt, c.Route, template)
	for i := range c.Prefix {
		b.WriteString(shared)
		b.WriteByte('.')
		b.WriteString(strconv.Itoa(i))
		b.WriteByte(' ')
	}
	own := "r" + strconv.Itoa(number)
	for range body {
		b.WriteString(own)
		b.WriteByte(' ')
	}
	fmt.Fprintf(&b, "answer_tokens=%d", output)
	return b.String()
}
