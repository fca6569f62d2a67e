package brproxy

import (
	"strconv"

	"bramleyroute/brevent"
	"bramleyroute/brpolicy"
)

// resumePoint is the event after which a response must go on with a stream. An endpoint
// that ignores Last-Event-Id runs the request anew and sends all events again.
type resumePoint struct{ after string } // ID of the event; empty if any event may follow

// resumePoint returns the event after which the next response to q must go on: the last
// one that the caller has, from this daemon or from an earlier request. On routes that
// aren't resumable, endpoints know no Last-Event-Id.
func (q *request) resumePoint() resumePoint {
	switch {
	case q.route.RetryMode != brpolicy.Resumable:
		return resumePoint{}
	case q.headSent:
		return resumePoint{q.lastEventID}
	}
	return resumePoint{q.call.LastEventID}
}

// accepts reports whether the events in b may follow. Only the first event with an ID is
// checked: within one response, the endpoint keeps the order.
func (r *resumePoint) accepts(b []byte) bool {
	if r.after == "" {
		return true
	}
	id := brevent.FirstID(b)
	if id == "" {
		return true
	}
	after := r.after
	r.after = ""
	return follows(id, after)
}

// follows reports whether an event ID can come after another one in a stream. IDs
// increase; those that aren't numbers can only be told from the other one.
func follows(id, after string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(after, 10, 64)
	if err != nil || lastErr != nil {
		return id != after
	}
	return n > last
}
