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
	// Late is the probability that it takes longer than until the end of the stop, by
	// experience. It decides in the first phase only.
	Late float64
}

// maxLate is the largest probability with which a stop may end a request that must not run
// twice and comes in the first phase. A refusal costs its caller a retry, and about one in ten
// of those who are refused find no daemon that serves them.
const maxLate = 0.1

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
