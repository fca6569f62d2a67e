package brserver

import "time"

// Limits are the limits of a connection.
type Limits struct {
	HeaderBytes   int           // of a request header
	HeaderTimeout time.Duration // from the first byte of a request header to its end
	IdleTimeout   time.Duration // until a connection without a request may be closed
}

// max returns the more generous of both limits.
func (l Limits) max(m Limits) Limits {
	return Limits{
		HeaderBytes:   max(l.HeaderBytes, m.HeaderBytes),
		HeaderTimeout: max(l.HeaderTimeout, m.HeaderTimeout),
		IdleTimeout:   max(l.IdleTimeout, m.IdleTimeout),
	}
}

// readAhead is the size in bytes of the buffer of net/http, which may hold a part of the
// body when the header is complete.
const readAhead = 4096

// Phase is a part of the life of a connection.
type Phase int

const (
	Idle       Phase = iota // no byte of the next request was read
	Reading                 // a part of a request header was read
	InProgress              // a request is being handled
)

// String returns the name of p in the log.
func (p Phase) String() string {
	return [...]string{"idle", "reading", "in progress"}[p]
}

// Verdict is the decision on a connection.
type Verdict int

const (
	Continue       Verdict = iota // read on
	CloseIdle                     // close without a response
	RejectTimeout                 // respond that the request header came too slowly, and close
	RejectTooLarge                // respond that the request header is too large, and close
	RejectNoRoom                  // respond that there is no memory for the request header, and close
)

// State is the state of one connection. It does no I/O. Its methods return the next state.
type State struct {
	phase   Phase
	since   time.Time // start of the phase
	closing bool      // to be closed as soon as it is idle for closeDelay
	pressed bool      // its place is needed: to be closed unless the header of a request is complete
	// limits are the most generous ones that were in force since the latest request began.
	// The caller may go by any of them.
	limits      Limits
	headerBytes int           // read since the start of the request
	headerWait  time.Duration // time spent waiting for the caller since the first byte of the request
}

// NewState returns the state of a connection accepted at now.
func NewState(now time.Time, l Limits) State { return State{since: now, limits: l} }

// Phase returns the phase of the connection.
func (s State) Phase() Phase { return s.phase }

// Closing reports whether the connection is to be closed.
func (s State) Closing() bool { return s.closing }

// WithClosing returns the state of a connection that is to be closed as soon as it is idle
// for closeDelay.
func (s State) WithClosing() State {
	s.closing = true
	return s
}

// WithPressure returns the state of a connection whose place another one needs. It is closed
// as WithClosing says, and a request header that isn't complete is rejected.
func (s State) WithPressure() State {
	s.closing, s.pressed = true, true
	return s
}

// Pressed reports whether the place of the connection is needed.
func (s State) Pressed() bool { return s.pressed }

// WithRequest returns the state after the header of a request was read completely. Limits l
// are in force.
func (s State) WithRequest(now time.Time, l Limits) State {
	s.phase, s.since, s.limits = InProgress, now, l
	s.headerBytes, s.headerWait, s.pressed = 0, 0, false
	return s
}

// WithResponse returns the state after the response to a request was written completely,
// if the connection is kept.
func (s State) WithResponse(now time.Time, l Limits) State {
	s.phase, s.since, s.limits = Idle, now, s.limits.max(l)
	return s
}

// WithData returns the state after n > 0 bytes were read, for which the connection was
// waited for during wait, and whether they are too many for a request header.
func (s State) WithData(now time.Time, l Limits, n int, wait time.Duration) (State, Verdict) {
	switch s.phase {
	case InProgress:
		return s, Continue
	case Idle:
		s.phase, s.since = Reading, now
		s.headerBytes, s.headerWait = 0, 0
	case Reading:
		s.headerWait += wait
	}
	s.limits = s.limits.max(l)
	s.headerBytes += n
	if s.headerBytes > s.limits.HeaderBytes+readAhead {
		return s, RejectTooLarge
	}
	return s, Continue
}

// Wait returns the time for which to wait for data, if l is in force. It is 0 if the
// connection is to be closed unless something has arrived. It isn't defined for a request
// in progress.
func (s State) Wait(now time.Time, l Limits) time.Duration {
	m := s.limits.max(l)
	switch {
	case s.phase == Reading && s.pressed:
		return 0
	case s.phase == Reading:
		return max(0, m.HeaderTimeout-s.headerWait)
	case s.closing:
		return max(0, s.since.Add(closeDelay).Sub(now))
	default:
		return max(0, s.since.Add(m.IdleTimeout+IdleGrace).Sub(now))
	}
}

// WithSilence returns the state after the connection was waited for during wait, and what
// to do if nothing has arrived. It isn't defined for a request in progress.
func (s State) WithSilence(now time.Time, l Limits, wait time.Duration) (State, Verdict) {
	s.limits = s.limits.max(l)
	if s.phase == Reading {
		s.headerWait += wait
	}
	switch {
	case s.Wait(now, l) > 0:
		return s, Continue
	case s.phase == Reading:
		return s, RejectTimeout
	default:
		return s, CloseIdle
	}
}

// closeDelay is the time from the accept, or the latest response, in which a request is
// probably on its way.
const closeDelay = 100 * time.Millisecond

// IdleGrace is added to the idle timeout. A caller may know a policy with a longer one
// before this daemon does, and may send a request at the very end of it.
const IdleGrace = time.Second
