package brconcurrency

import (
	"math"
	"time"
)

// levels is the number of load levels of an endpoint. Level i holds the requests that began
// while up to (i+1)/levels of its slots were in use, the last one also those beyond them.
const levels = 4

// Level counts the complete responses to requests of one load level. It is encoded as an array,
// since reports go to all daemons.
type Level struct {
	_       struct{} `cbor:",toarray"`
	Count   uint64   // number of responses
	Seconds float64  // sum of the times for a unit of work, in seconds
	Active  float64  // sum of the numbers of requests at the endpoint
}

// Counts are the responses of one start of an endpoint, counted by one process since its own
// start.
type Counts struct {
	_      struct{} `cbor:",toarray"`
	Born   uint64   // start of the endpoint
	Levels [levels]Level
}

// Report is what one process publishes to the others, by endpoint ID.
type Report map[string]Counts

// valid reports whether c can be a count: another build or a damaged message may send anything.
func (c Counts) valid() bool {
	for _, l := range c.Levels {
		if !isSum(l.Seconds) || !isSum(l.Active) {
			return false
		}
	}
	return true
}

func isSum(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// since returns what was counted after old, and whether there is anything. A count that is lower than
// the old one belongs to a process that has started again, all of which is new.
func (c Counts) since(old Counts) (Counts, bool) {
	if old.Born != c.Born {
		old = Counts{}
	}
	d := Counts{Born: c.Born}
	found := false
	for i, l := range c.Levels {
		o := old.Levels[i]
		if l.Count < o.Count || l.Seconds < o.Seconds || l.Active < o.Active {
			o = Level{}
		}
		d.Levels[i] = Level{Count: l.Count - o.Count, Seconds: l.Seconds - o.Seconds, Active: l.Active - o.Active}
		found = found || d.Levels[i].Count > 0
	}
	return d, found
}

// add adds a response to a request that began while active requests, this one included, were at
// the endpoint.
func (c *Counts) add(slots, active int, unit time.Duration) {
	l := &c.Levels[levelOf(slots, active)]
	l.Count++
	l.Seconds += unit.Seconds()
	l.Active += float64(active)
}

// levelOf returns the load level of an endpoint with the given number of requests.
func levelOf(slots, active int) int {
	return min(max(0, (active*levels-1)/max(1, slots)), levels-1)
}

// decayed is a sum of counts in which those of the past have lost weight.
type decayed struct {
	count, seconds, active float64
}

func (d *decayed) add(l Level) {
	d.count += float64(l.Count)
	d.seconds += l.Seconds
	d.active += l.Active
}

func (d *decayed) scale(factor float64) {
	d.count *= factor
	d.seconds *= factor
	d.active *= factor
}
