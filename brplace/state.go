package brplace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is what a State starts with.
type Config struct {
	Daemon string         // id of this daemon
	Zone   string         // failure domain of this daemon
	Random func() float64 // uniform in [0, 1)
}

// State is the placement of one daemon. It isn't safe for concurrent use.
type State struct {
	cfg       Config
	endpoints map[string]*endpoint
	services  map[string]*service
	flights   map[uint64]*flight
	peers     map[string]Report
	now       time.Time
	effects   []Effect
}

// service is the endpoints and the waiting requests of one service.
type service struct {
	endpoints []*endpoint // sorted by ID
	queue     []*Request  // in the order of before
	interval  time.Duration
	lastStart time.Time // of a request that had waited
	health    sample    // over all endpoints
	pace      time.Duration
}

// flight is a request between its dispatch and its end.
type flight struct {
	request  Request
	endpoint *endpoint
	sent     time.Time
	began    bool
}

// New returns a State without endpoints. New panics if cfg.Random is nil.
func New(cfg Config) *State {
	if cfg.Random == nil {
		panic("brplace: config without Random")
	}
	return &State{
		cfg:       cfg,
		endpoints: map[string]*endpoint{},
		services:  map[string]*service{},
		flights:   map[uint64]*flight{},
		peers:     map[string]Report{},
	}
}

// Step applies one event at the time now and returns what is to be done.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.now, s.effects = now, nil
	switch e := ev.(type) {
	case EndpointChanged:
		s.changeEndpoint(e.Endpoint)
	case EndpointLost:
		s.loseEndpoint(e.ID)
	case PeerReported:
		s.takeReport(e.Daemon, e.Report)
	case PeerLost:
		s.takeReport(e.Daemon, nil)
	case Submit:
		s.submit(e.Request)
	case Cancel:
		s.cancel(e.ID)
	case Began:
		s.began(e.ID)
	case Ended:
		s.ended(e)
	case Tick:
		s.tick()
	default:
		panic("brplace: unknown event")
	}
	return s.effects
}

// recentTime is how long an endpoint without a running request stays in the
// reports, so that the others learn how its last request ended.
const recentTime = 500 * time.Millisecond

// Report returns what this daemon has running, or had until a short time ago.
func (s *State) Report(now time.Time) Report {
	r := Report{}
	for id, e := range s.endpoints {
		if e.own.Active > 0 || now.Sub(e.endedAt) < recentTime {
			r[id] = e.own
		}
	}
	return r
}

// Waiting returns the number of requests that wait for a dispatch.
func (s *State) Waiting() int {
	n := 0
	for _, v := range s.services {
		n += len(v.queue)
	}
	return n
}

func (s *State) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

func (s *State) changeEndpoint(n Endpoint) {
	e := s.endpoints[n.ID]
	switch {
	case e == nil:
		e = &endpoint{Endpoint: n, remoteness: float64(xxhash.Sum64String(s.cfg.Daemon+"/"+n.ID)) / (1 << 64)}
		s.endpoints[n.ID] = e
		s.attach(e)
		for _, r := range s.peers {
			e.others.add(r[n.ID])
		}
	case e.Service != n.Service:
		s.detach(e)
		e.Endpoint = n
		s.attach(e)
	default:
		e.Endpoint = n
	}
	s.drain(s.service(n.Service), maxPlaced)
}

func (s *State) attach(e *endpoint) {
	v := s.service(e.Service)
	v.endpoints = append(v.endpoints, e)
	slices.SortFunc(v.endpoints, func(a, b *endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (s *State) detach(e *endpoint) {
	v := s.service(e.Service)
	v.endpoints = slices.DeleteFunc(v.endpoints, func(x *endpoint) bool { return x == e })
}

func (s *State) loseEndpoint(id string) {
	if e := s.endpoints[id]; e != nil {
		s.detach(e)
		delete(s.endpoints, id)
	}
}

// takeReport replaces what is known of another daemon's dispatches.
func (s *State) takeReport(daemon string, r Report) {
	old := s.peers[daemon]
	for id, u := range old {
		if e := s.endpoints[id]; e != nil {
			e.others.remove(u)
		}
	}
	freed := map[*service]bool{}
	var failing []*endpoint
	for id, u := range r {
		e := s.endpoints[id]
		if e == nil {
			continue
		}
		e.others.add(u)
		before, known := old[id]
		if u.Pace != before.Pace {
			e.pace = average(e.pace, u.Pace, paceWeight)
		}
		if known && u.Ended >= before.Ended && u.Failed >= before.Failed {
			s.observe(e, u.Ended-before.Ended, u.Failed-before.Failed)
			if u.Failed > before.Failed {
				failing = append(failing, e)
			}
		}
		if u.Active < before.Active {
			freed[s.service(e.Service)] = true
		}
	}
	for _, e := range failing {
		s.checkHealth(e)
	}
	if r == nil {
		delete(s.peers, daemon)
	} else {
		s.peers[daemon] = r
	}
	for v := range freed {
		// Every daemon sees the same free slots; each takes one at a time.
		s.drain(v, 1)
	}
}

func (s *State) began(id uint64) {
	f := s.flights[id]
	if f == nil || f.began {
		return
	}
	f.began = true
	f.endpoint.own.Prompt -= f.request.Prompt
	f.endpoint.progressed = s.now
}

func (s *State) ended(ev Ended) {
	f := s.flights[ev.ID]
	if f == nil {
		return
	}
	delete(s.flights, ev.ID)
	e, v := f.endpoint, s.service(f.request.Service)
	e.own.Active--
	e.endedAt = s.now
	if !f.began {
		e.own.Prompt -= f.request.Prompt
	}
	switch ev.Result {
	case Good:
		e.own.Ended++
		e.progressed = s.now
		s.observe(e, 1, 0)
		e.learn(s.now.Sub(f.sent), ev.Pace)
	case Failed:
		e.own.Ended++
		e.own.Failed++
		s.observe(e, 1, 1)
		s.checkHealth(e)
	case Gone:
		e.own.Ended++
		e.own.Failed++
		s.observe(e, 1, 1)
		s.suspend(e, Unreachable)
	}
	s.drain(v, maxPlaced)
}

func (s *State) tick() {
	for _, f := range s.flights {
		s.checkStalled(f)
	}
	for _, v := range s.services {
		v.age()
		s.expire(v)
		s.drain(v, maxPlaced)
	}
}
