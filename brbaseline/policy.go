package brbaseline

import (
	"slices"

	"bramleyroute/brwire"
)

// Policy decides where requests go. It calls Cluster.Place for each request
// that it places, now or later. Nil fields do nothing.
type Policy struct {
	Name   string
	Submit func(c *Cluster, r *Request)
	First  func(c *Cluster, r *Request) // r got its first token
	End    func(c *Cluster, r *Request) // r ended on its engine, or was canceled there when Done is zero
	GiveUp func(c *Cluster, r *Request) // r was not placed by its deadline
	Report func(c *Cluster, a brwire.Announce)
	Tick   func(c *Cluster) // each StepTime
}

// RoundRobin places each request at once on the next engine.
func RoundRobin() Policy {
	n := 0
	return Policy{Name: "round robin", Submit: func(c *Cluster, r *Request) {
		n++
		c.Place(r, c.engines[n%len(c.engines)].ID)
	}}
}

// LeastOutstanding places each request at once on the engine with the fewest
// tokens in its last report, which is 1 to 5 s old.
func LeastOutstanding() Policy {
	reported := map[string]int{}
	return Policy{
		Name:   "least outstanding",
		Report: func(c *Cluster, a brwire.Announce) { reported[a.EndpointID] = a.RunningTokens + a.WaitingTokens },
		Submit: func(c *Cluster, r *Request) {
			best := c.engines[0]
			for _, e := range c.engines {
				if reported[e.ID] < reported[best.ID] {
					best = e
				}
			}
			c.Place(r, best.ID)
		},
	}
}

// FirstCome holds requests in one queue and places the first of them on the
// first engine that would start it at once.
func FirstCome() Policy {
	var queue []*Request
	return Policy{
		Name:   "first come",
		Submit: func(c *Cluster, r *Request) { queue = append(queue, r) },
		GiveUp: func(c *Cluster, r *Request) {
			queue = slices.DeleteFunc(queue, func(o *Request) bool { return o == r })
		},
		Tick: func(c *Cluster) {
			for len(queue) > 0 {
				i := slices.IndexFunc(c.engines, func(e *Engine) bool { return e.room(queue[0]) })
				if i < 0 {
					return
				}
				c.Place(queue[0], c.engines[i].ID)
				queue = queue[1:]
			}
		},
	}
}
