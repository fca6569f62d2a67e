package brdrain

import "time"

// Plan is the schedule of a planned stop.
type Plan struct {
	Steered time.Time // load balancers send no requests from here on
	End     time.Time // the requests that are still in progress are ended
}

// Request is what is known of a request when it could be dispatched.
type Request struct {
	Repeatable bool      // may be sent again after it has run
	Deadline   time.Time // at which it ends at the latest
	// Late is the share of such requests that take longer than until the end of the stop,
	// by experience; 1 if there is none.
	Late float64
}

// maxLate is the largest share of requests that must not run twice which a stop may end: a
// refusal costs each of their callers a retry and some time, an end costs one its request.
const maxLate = 0.05

// Admits reports whether a request is accepted at now. Otherwise it is refused at once.
func (p Plan) Admits(now time.Time, r Request) bool {
	switch {
	case !now.Before(p.End):
		return false
	case !r.Deadline.After(p.End):
		return true
	case !now.Before(p.Steered):
		return false
	default:
		return r.Repeatable || r.Late <= maxLate
	}
}

// Ending is the way in which a request is ended without its response.
type Ending uint8

const (
	Refuse Ending = iota // respond that it hasn't run
	Fail                 // respond with an error that says nothing about that
	Abort                // end the response so that it doesn't look complete
)

// EndingOf returns the ending of a request that may have been sent to an endpoint, and whose
// response has begun.
func EndingOf(maybeSent, begun bool) Ending {
	switch {
	case begun:
		return Abort
	case maybeSent:
		return Fail
	default:
		return Refuse
	}
}
