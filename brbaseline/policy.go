package brbaseline

import (
	"slices"

	"bramleyroute/brwire"
)

// Policy decides on which engine each request is placed. Its functions call
// Cluster.Place for each request that they place, when it is submitted or later.
// Nil functions are skipped.
type Policy struct {
	Name       string
	Submit     func(c *Cluster, r *Request)        // r arrived
	FirstToken func(c *Cluster, r *Request)        // r got its first token
	End        func(c *Cluster, r *Request)        // r ended on its engine, or was canceled there if EndedAt is zero
	GiveUp     func(c *Cluster, r *Request)        // r was not placed by its deadline
	Report     func(c *Cluster, a brwire.Announce) // an engine reported, once a second
	Tick       func(c *Cluster)                    // called in each step of StepTime
}

// RoundRobin returns a policy that immediately places each request on the next
// engine in turn.
func RoundRobin() Policy {
	n := 0
	return Policy{Name: "round robin", Submit: func(c *Cluster, r *Request) {
		n++
		c.Place(r, c.engines[n%len(c.engines)].ID)
	}}
}

// LeastOutstanding returns a policy that immediately places each request on the
// engine with the fewest running and waiting tokens in its last report, whose
// figures are 1 to 5 s old.
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

// FirstComeFirstServed returns a first-come, first-served policy. It queues all
// requests and places the first one on the first engine that would start it without
// waiting.
func FirstComeFirstServed() Policy {
	var queue []*Request
	return Policy{
		Name:   "first come",
		Submit: func(c *Cluster, r *Request) { queue = append(queue, r) },
		GiveUp: func(c *Cluster, r *Request) {
			queue = slices.DeleteFunc(queue, func(o *Request) bool { return o == r })
		},
		Tick: func(c *Cluster) {
			for len(queue) > 0 {
				i := slices.IndexFunc(c.engines, func(e *Engine) bool { return e.hasRoom(queue[0]) })
				if i < 0 {
					return
				}
				c.Place(queue[0], c.engines[i].ID)
				queue = queue[1:]
			}
		},
	}
}
