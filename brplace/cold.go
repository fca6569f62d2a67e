package brplace

import (
	"time"

	"bramleyroute/brlimit"
)

const (
	// coldMargin is added to the time for which an endpoint says that it stays cold, for
	// steady clocks that differ.
	coldMargin = 200 * time.Millisecond

	// joinTime is the time after FleetJoined from which on this daemon sends requests to
	// cold endpoints. Until then it may know few of the other daemons, and its shares are
	// too large.
	joinTime = time.Second
)

// ColdLimit describes how the endpoints of a service start. The zero value is that of a
// service whose endpoints take all requests at once.
type ColdLimit struct {
	Rate     float64       // requests per second that a cold endpoint takes of all daemons together; 0 means no limit
	Duration time.Duration // usual time for which an endpoint is cold after its start
}

// ColdLimitsChanged carries the limits of all services that have one, by service.
type ColdLimitsChanged struct{ Limits map[string]ColdLimit }

// ColdAnnounced carries what an endpoint has announced of the time for which it stays cold.
// It precedes the EndpointChanged of the same announcement.
type ColdAnnounced struct {
	ID        string
	Born      uint64 // start of the endpoint
	Stated    bool   // whether the announcement states Remaining
	Remaining time.Duration
	Age       time.Duration // time since the announcement
}

// FleetJoined reports that this daemon has reached another one since its start, or that
// there are no others.
type FleetJoined struct{}

func (ColdLimitsChanged) event() {}
func (ColdAnnounced) event()     {}
func (FleetJoined) event()       {}

// coldState is what a daemon knows of cold endpoints beside the endpoints themselves.
type coldState struct {
	limits   map[string]ColdLimit // by service
	starts   map[string]coldStart // the newest ones, by endpoint ID
	joinedAt time.Time            // time of FleetJoined; zero before
}

// coldStart is what one start of an endpoint has announced. It may be known before the
// endpoint is.
type coldStart struct {
	born     uint64
	heardAt  time.Time // time of its first announcement
	statedAt time.Time // time of the last announcement that states the cold time; zero if none does
	until    time.Time // end of the cold time as stated
}

// coldUse is what a daemon knows of one endpoint. See State.presumeCold for the presumption.
type coldUse struct {
	limit ColdLimit
	until time.Time // end of the announced cold time
	// presumedAt is the time of the last presumption, and presumedUntil its end. The former
	// is zero if there is none, the latter until a sign of life of the endpoint.
	presumedAt, presumedUntil time.Time
	bucket                    brlimit.Bucket // this daemon's share of the rate
	usableFrom                time.Time      // time from which on the share may be used
	fresh                     bool           // no daemon has sent to the present start before it was announced as cold
}

func newColdState() coldState {
	return coldState{limits: map[string]ColdLimit{}, starts: map[string]coldStart{}}
}

// isCold reports whether the endpoint may be cold, and has a limit for that time.
func (e *endpoint) isCold(now time.Time) bool {
	c := &e.cold
	if c.limit.Rate == 0 {
		return false
	}
	return now.Before(c.until) || !c.presumedAt.IsZero() && (c.presumedUntil.IsZero() || now.Before(c.presumedUntil))
}

// mayTake reports whether this daemon may send a request to the cold endpoint now.
func (c *coldUse) mayTake(now time.Time) bool {
	return !now.Before(c.usableFrom) && c.bucket.Tokens(now) >= 1
}

// available returns the number of requests that this daemon may send to the cold endpoint
// now.
func (c *coldUse) available(now time.Time) float64 {
	if c.mayTake(now) {
		return 1
	}
	return 0
}

// warmIn returns the time until the cold endpoint is warm, or 0 if that isn't known.
func (c *coldUse) warmIn(now time.Time) time.Duration {
	if !c.presumedAt.IsZero() && c.presumedUntil.IsZero() {
		return 0
	}
	return max(c.until.Sub(now), c.presumedUntil.Sub(now))
}

// takeCold records that a request is sent to the endpoint.
func (e *endpoint) takeCold(now time.Time) {
	if e.isCold(now) {
		e.cold.bucket.Take(now)
	}
}

// mayUse returns which endpoints a request may be placed at: those that have room, or only the
// cold ones among them if the others are kept for more urgent requests.
func (s *State) mayUse(mayStart bool) func(*endpoint, *Request) bool {
	if mayStart {
		return s.hasRoom
	}
	return s.hasColdRoom
}

// hasColdRoom is hasRoom for endpoints that are cold.
func (s *State) hasColdRoom(e *endpoint, r *Request) bool { return e.isCold(s.now) && s.hasRoom(e, r) }

// mayStartCold reports whether a request that may not start for the sake of others may do so
// at a cold endpoint: most endpoints of v are warm, and the more urgent requests use those.
func (s *State) mayStartCold(v *service) bool { return v.cold > 0 && 2*v.cold < len(v.endpoints) }

// countCold counts the cold endpoints of v.
func (s *State) countCold(v *service) {
	v.cold = 0
	for _, e := range v.endpoints {
		if e.isCold(s.now) {
			v.cold++
		}
	}
}

// ColdEndpoints returns the number of endpoints that are cold or presumed to be.
func (s *State) ColdEndpoints(now time.Time) int {
	n := 0
	for _, e := range s.endpoints {
		if e.isCold(now) {
			n++
		}
	}
	return n
}

// setColdLimits applies ColdLimitsChanged.
func (s *State) setColdLimits(limits map[string]ColdLimit) {
	s.cold.limits = limits
	for _, e := range s.endpoints {
		s.applyCold(e)
	}
}

// joinFleet applies FleetJoined.
func (s *State) joinFleet() {
	s.cold.joinedAt = s.now
	for _, v := range s.services {
		v.sharesStale = true
	}
}

// setCold applies ColdAnnounced.
func (s *State) setCold(ev ColdAnnounced) {
	c, known := s.cold.starts[ev.ID]
	if c.born > ev.Born {
		return
	}
	announcedAt := s.now.Add(-ev.Age)
	if !known || c.born < ev.Born {
		c = coldStart{born: ev.Born, heardAt: announcedAt}
	}
	if ev.Stated {
		c.statedAt, c.until = announcedAt, time.Time{}
		if ev.Remaining > 0 {
			c.until = announcedAt.Add(ev.Remaining + coldMargin)
		}
	}
	s.cold.starts[ev.ID] = c
	if e := s.endpoints[ev.ID]; e != nil {
		s.applyCold(e)
	}
}

// applyCold makes what the newest start of e has announced effective. A start that hasn't
// stated its cold time counts as cold for the usual one. Until the next tick assigns this
// daemon its share, it sends nothing to an endpoint that turns cold.
func (s *State) applyCold(e *endpoint) {
	limit := s.cold.limits[e.Service]
	c, announced := s.cold.starts[e.ID]
	wasCold := e.isCold(s.now)
	until := c.until
	if announced && c.statedAt.IsZero() {
		until = c.heardAt.Add(limit.Duration)
	}
	if c.statedAt.After(e.cold.presumedAt) {
		e.cold.presumedAt = time.Time{}
	}
	changed := limit != e.cold.limit
	e.cold.limit, e.cold.until = limit, until
	if isCold := e.isCold(s.now); isCold != wasCold || isCold && changed {
		v := s.service(e.Service)
		v.sharesStale = true
		s.countCold(v)
	}
	if !wasCold {
		e.cold.bucket = brlimit.Bucket{}
		e.cold.fresh = announced && c.heardAt.Equal(c.statedAt) // its first announcement says so
	}
}

// presumeCold records that e may have turned cold without this daemon's knowledge: it may
// have started again, or was out of use for another reason. That is so until the given
// time, or if it is zero until the usual cold time after the next sign of life, and at most
// until a later announcement that says otherwise.
func (s *State) presumeCold(e *endpoint, until time.Time) {
	if e.cold.limit.Rate == 0 {
		return
	}
	wasCold := e.isCold(s.now)
	e.cold.presumedAt, e.cold.presumedUntil = s.now, until
	if !wasCold {
		e.cold.bucket, e.cold.fresh = brlimit.Bucket{}, false
		v := s.service(e.Service)
		v.sharesStale = true
		s.countCold(v)
	}
}

// presumeColdAfter presumes that e, which was suspended for the given cause, has ended and
// starts again at an unknown time: its address refused a connection or is another's, or it
// has stayed silent since the suspension before.
func (s *State) presumeColdAfter(e *endpoint, cause Cause) {
	if cause == Unreachable || cause == Stalled && e.lastSuspension > minSuspendTime {
		s.presumeCold(e, time.Time{})
	}
}

// updateCold counts the cold endpoints of v and sets the end of presumptions. An endpoint that
// has shown a sign of life since then has started before that, and is cold for at most the
// usual time from now on.
func (s *State) updateCold(v *service) {
	for _, e := range v.endpoints {
		c := &e.cold
		if !c.presumedAt.IsZero() && c.presumedUntil.IsZero() && e.lastProgress.After(c.presumedAt) {
			c.presumedUntil = s.now.Add(c.limit.Duration)
		}
	}
	s.countCold(v)
}

// assignColdShares assigns this daemon its shares of the rates of the cold endpoints of v. An
// endpoint that states a limit as well gets the smaller rate.
func (s *State) assignColdShares(v *service, daemons []string) {
	rates := map[string]float64{}
	for _, e := range v.endpoints {
		if !e.isCold(s.now) {
			continue
		}
		rates[e.ID] = e.cold.limit.Rate
		if e.limit.Limited {
			rates[e.ID] = min(e.cold.limit.Rate, e.limit.Rate)
		}
	}
	if len(rates) == 0 || s.cold.joinedAt.IsZero() {
		return
	}
	usableFrom := s.cold.joinedAt.Add(joinTime)
	shares := brlimit.Spaced(rates, daemons, s.cfg.Daemon)
	for _, e := range v.endpoints {
		if !e.isCold(s.now) {
			continue
		}
		e.cold.usableFrom = usableFrom
		e.cold.bucket.SetShare(s.now, shares[e.ID])
		if e.cold.fresh && !s.now.Before(usableFrom) {
			// Holders that begin at once would send all at once from then on.
			e.cold.bucket.Fill(s.now, s.cfg.Random())
		}
		e.cold.fresh = false
	}
}
