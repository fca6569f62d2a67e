package brpool

import (
	"time"

	"bramleyroute/brwire"
)

// TickInterval is how often Tick is due.
const TickInterval = 100 * time.Millisecond

// Options configure a Pool.
type Options struct {
	Name string              // of the pool, as brwire.PoolName returns it
	Kind brwire.EndpointKind // of its endpoints
	Rand func() uint64       // source of randomness, for jitter and ties
}

// Pool is the state of the scheduler of one pool.
type Pool struct{ opts Options }

// New returns a Pool that owns nothing yet. New panics if a field of o is
// missing.
func New(o Options) *Pool {
	if o.Name == "" || o.Kind == "" || o.Rand == nil {
		panic("brpool: options incomplete")
	}
	return &Pool{opts: o}
}

// Step applies ev at time now and returns the effects in the order in which
// they must be carried out.
func (p *Pool) Step(now time.Time, ev Event) []Effect { return nil }

// Check returns an error that names the first invariant that doesn't hold.
func (p *Pool) Check() error { return nil }
