package brplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bramleyroute/brconcurrency"

	"github.com/cespare/xxhash/v2"
)

// Config configures a State.
type Config struct {
	Daemon        string         // ID of this daemon
	FailureDomain string         // failure domain of this daemon
	Random        func() float64 // returns uniform values in [0, 1); required
	// LearnConcurrency says that the number of requests at once that each endpoint takes well is
	// learned from its responses. Without it, endpoints are filled to their slots.
	LearnConcurrency bool
}

// State is the placement state of one daemon. It isn't safe for concurrent use.
type State struct {
	cfg          Config
	endpoints    map[string]*endpoint
	services     map[string]*service
	inflight     map[uint64]*inflightRequest
	limits       map[string]*endpointLimit // by endpoint ID
	estimator    *brconcurrency.Estimator  // nil without Config.LearnConcurrency
	cold         coldState
	memoryLimits map[string]int // memory of an endpoint in tokens, by service; see MemoryLimitsChanged
	peers        map[string]Report
	// partitionedPeers holds the daemons that have lost their direct path to the endpoints.
	partitionedPeers map[string]bool
	evacuated        []string             // failure domains
	reportedAt       map[string]time.Time // time of the last report, by daemon
	countsAge        time.Duration        // moving average of the median age of the reports; 0 if unknown
	tickedAt         time.Time
	daemons          []string           // IDs of the daemons, including this one; empty if unknown
	beyondShare      map[string]float64 // customers that receive more than their share; see SharesCompared
	now              time.Time
	effects          []Effect
}

// service holds the endpoints and the waiting requests of one service.
type service struct {
	endpoints     []*endpoint   // in this daemon's order of preference
	queue         []*Request    // in the order defined by before
	startInterval time.Duration // moving average between two placements of waiting requests
	lastStart     time.Time     // time of the last placement of a waiting request
	health        decayingCount // over all endpoints
	eventInterval time.Duration // mean over the endpoints; 0 if unknown
	meanDuration  time.Duration // moving average of the durations of this daemon's requests; 0 if unknown
	tokenTime     time.Duration // time to process a prompt token at an endpoint of average speed; 0 if unknown
	urgentRank    int           // most urgent rank of this daemon's requests so far
	running       int           // number of running requests of this daemon
	shortRunning  int           // number of those that are short
	sharesStale   bool          // the limits of its endpoints or the daemons have changed since assignShares
	utilization   float64       // moving average of the part of its slots in use
	mostBrittle   bool          // most of its endpoints that have stated anything are brittle
	cold          int           // number of its endpoints that were cold at the last tick or change of one
	borrows       bool          // this daemon may use slots of others; see State.mayBorrow
	rates         rates
	demand        demand
	memory        serviceMemory
	fastestUnit   time.Duration // shortest learned.unit of its endpoints; 0 if none is known
}

// inflightRequest is a dispatched request that has not ended.
type inflightRequest struct {
	request      Request
	endpoint     *endpoint
	dispatchedAt time.Time
	gotFirstByte bool
	pathLost     bool // this daemon has lost its direct path since the dispatch
	unqueued     bool // the endpoint had a free slot and no prompt to process, as far as known
	active       int  // number of requests at the endpoint at the dispatch, this one included, as far as known
}

// New returns a State without endpoints. New panics if cfg.Random is nil.
func New(cfg Config) *State {
	if cfg.Random == nil {
		panic("brplace: config without Random")
	}
	s := &State{
		cfg:       cfg,
		endpoints: map[string]*endpoint{},
		services:  map[string]*service{},
		inflight:  map[uint64]*inflightRequest{},
		limits:    map[string]*endpointLimit{},
		cold:      newColdState(),
		peers:     map[string]Report{},

		partitionedPeers: map[string]bool{},
		reportedAt:       map[string]time.Time{},
	}
	if cfg.LearnConcurrency {
		s.estimator = brconcurrency.New()
	}
	return s
}

// Step applies one event at the time now and returns the resulting effects. It
// panics if the type of the event is unknown.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.now, s.effects = now, nil
	switch e := ev.(type) {
	case EndpointChanged:
		s.changeEndpoint(e.Endpoint)
	case EndpointLost:
		s.removeEndpoint(e.ID)
	case EndpointPaused:
		s.pause(e.ID, e.Duration)
	case EndpointFailed:
		if f := s.endpoints[e.ID]; f != nil {
			s.recordFailed(f)
		}
	case LimitObserved:
		s.observeLimit(e)
	case LimitPublished:
		s.setLimit(e)
	case ColdLimitsChanged:
		s.setColdLimits(e.Limits)
	case ColdAnnounced:
		s.setCold(e)
	case FleetJoined:
		s.joinFleet()
	case PeerReported:
		s.applyReport(e.Daemon, e.Report)
	case PeerLost:
		s.applyReport(e.Daemon, nil)
		delete(s.partitionedPeers, e.Daemon)
	case ConcurrencyReported:
		s.applyConcurrency(e)
	case PeerPartitioned:
		s.setPeerPartitioned(e)
	case DomainsEvacuated:
		s.evacuate(e)
	case MemoryLimitsChanged:
		s.setMemoryLimits(e.Tokens)
	case SharesCompared:
		s.setBeyondShare(e.Beyond)
	case PathLost:
		s.losePath()
	case FleetChanged:
		s.setDaemons(e.Daemons)
	case Submit:
		s.submit(e.Request)
	case Cancel:
		s.cancel(e.ID)
	case FirstByte:
		s.recordFirstByte(e.ID)
	case Progressed:
		s.recordProgress(e.ID)
	case Ended:
		s.recordEnd(e)
	case Tick:
		s.tick()
	default:
		panic("brplace: unknown event")
	}
	return s.effects
}

// Report returns the usage by this daemon of the endpoints that have running requests
// or had one within the given retention. During the retention the other daemons receive
// the outcome of the last request. Endpoints whose requests are placed by rates stay for
// at least flowRetention.
func (s *State) Report(now time.Time, retention time.Duration) Report {
	r := Report{}
	for id, e := range s.endpoints {
		keep := retention
		if s.service(e.Service).rates.decide {
			keep = max(keep, flowRetention)
		}
		if e.own.Active > 0 || now.Sub(e.lastEnded) < keep {
			r[id] = e.own
		}
	}
	return r
}

// QueueLength returns the number of requests waiting for a dispatch.
func (s *State) QueueLength() int {
	n := 0
	for _, v := range s.services {
		n += len(v.queue)
	}
	return n
}

// service returns the state of a service and creates it if necessary.
func (s *State) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{urgentRank: math.MaxInt}
		s.services[name] = v
	}
	return v
}

func (s *State) changeEndpoint(announced Endpoint) {
	e := s.endpoints[announced.ID]
	switch {
	case e == nil:
		e = &endpoint{Endpoint: announced, affinityHash: float64(xxhash.Sum64String(s.cfg.Daemon+"/"+announced.ID)) / (1 << 64)}
		s.endpoints[announced.ID] = e
		s.attach(e)
		for daemon, r := range s.peers {
			e.others.add(r[announced.ID])
			if u, ok := r[announced.ID]; ok {
				s.recordHeld(e, daemon, u)
			}
		}
	case e.Service != announced.Service:
		s.forgetOutcomes(e)
		s.detach(e)
		e.Endpoint = announced
		s.attach(e)
	default:
		s.service(e.Service).sharesStale = s.service(e.Service).sharesStale || e.slotUse.brittle && e.Slots != announced.Slots
		e.Endpoint = announced
	}
	s.applyEvacuation(s.endpoints[announced.ID])
	s.applyLimit(s.endpoints[announced.ID])
	s.addEstimate(s.endpoints[announced.ID])
	s.placeWaiting(s.service(announced.Service), maxPlacements)
}

func (s *State) attach(e *endpoint) {
	v := s.service(e.Service)
	v.endpoints = append(v.endpoints, e)
	slices.SortFunc(v.endpoints, s.comparePreference)
	v.sharesStale = v.sharesStale || e.hasShares()
	v.memory.parts = nil
	s.countCold(v)
}

// comparePreference orders endpoints by this daemon's preference: first those of its own
// failure domain, then by affinityHash.
func (s *State) comparePreference(a, b *endpoint) int {
	return cmp.Or(
		cmp.Compare(s.domainDistance(a), s.domainDistance(b)),
		cmp.Compare(a.affinityHash, b.affinityHash),
		cmp.Compare(a.ID, b.ID),
	)
}

func (s *State) domainDistance(e *endpoint) int {
	if e.Zone == s.cfg.FailureDomain {
		return 0
	}
	return 1
}

func (s *State) detach(e *endpoint) {
	v := s.service(e.Service)
	v.endpoints = slices.DeleteFunc(v.endpoints, func(x *endpoint) bool { return x == e })
	v.sharesStale = v.sharesStale || e.hasShares()
	v.memory.parts = nil
	s.countCold(v)
}

func (s *State) removeEndpoint(id string) {
	if e := s.endpoints[id]; e != nil {
		s.forgetOutcomes(e)
		s.removeEstimate(id)
		s.detach(e)
		delete(s.endpoints, id)
		delete(s.limits, id)
	}
	delete(s.cold.starts, id)
}

// applyReport replaces the usage by another daemon. A nil report removes the
// daemon.
func (s *State) applyReport(daemon string, r Report) {
	old := s.peers[daemon]
	for id, u := range old {
		if e := s.endpoints[id]; e != nil {
			e.others.remove(u)
			if _, ok := r[id]; !ok {
				e.memory.forgetHeld(daemon)
			}
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
		s.recordHeld(e, daemon, u)
		e.flow.recordReport(daemon, u.Ended-u.Failed, old != nil)
		prev, known := old[id]
		if u.EventInterval != prev.EventInterval {
			e.eventInterval = movingAverage(e.eventInterval, u.EventInterval, eventIntervalWeight)
		}
		if known && u.Ended >= prev.Ended && u.Failed >= prev.Failed {
			ended, failed := u.Ended-prev.Ended, u.Failed-prev.Failed
			if s.partitionedPeers[daemon] {
				ended, failed = ended-failed, 0
			}
			s.recordOutcomes(e, ended, failed)
			if u.Ended-u.Failed > prev.Ended-prev.Failed {
				e.lastProgress = s.now
			}
			if failed > 0 {
				failing = append(failing, e)
			}
		}
		if u.Active < prev.Active {
			freed[s.service(e.Service)] = true
		}
	}
	for _, e := range failing {
		s.checkHealth(e)
	}
	if r == nil {
		s.forgetPeer(daemon)
	} else {
		s.peers[daemon] = r
		s.reportedAt[daemon] = s.now
	}
	for v := range freed {
		// All daemons see the same freed slots; placing a single request limits how
		// far they overfill the endpoints.
		s.placeWaiting(v, 1)
	}
}

// forgetPeer removes what is known of another daemon apart from its usage.
func (s *State) forgetPeer(daemon string) {
	delete(s.peers, daemon)
	delete(s.reportedAt, daemon)
	for _, e := range s.endpoints {
		delete(e.flow.endedAt, daemon)
	}
}

func (s *State) recordFirstByte(id uint64) {
	f := s.inflight[id]
	if f == nil || f.gotFirstByte {
		return
	}
	f.gotFirstByte = true
	s.service(f.request.Service).recordPrompt(f, s.now)
	f.endpoint.own.PendingPromptTokens -= f.request.PromptTokens
	f.endpoint.lastProgress = s.now
}

func (s *State) recordProgress(id uint64) {
	if f := s.inflight[id]; f != nil {
		f.endpoint.lastProgress = s.now
	}
}

func (s *State) recordEnd(ev Ended) {
	f := s.inflight[ev.ID]
	if f == nil {
		return
	}
	delete(s.inflight, ev.ID)
	e, v := f.endpoint, s.service(f.request.Service)
	e.own.Active--
	e.memory.own -= f.request.tokens()
	v.countRunning(&f.request, -1)
	e.lastEnded = s.now
	s.recordSlot(e, ev.Result)
	if !f.gotFirstByte {
		e.own.PendingPromptTokens -= f.request.PromptTokens
	}
	switch f.attributed(ev.Result) {
	case Succeeded:
		e.flow.recent++
		e.own.Ended++
		e.lastProgress = s.now
		s.recordOutcomes(e, 1, 0)
		e.recordSuccess(s.now.Sub(f.dispatchedAt), ev.EventInterval)
		if !f.request.Stream {
			v.rates.recordDuration(s.now.Sub(f.dispatchedAt))
			v.rates.admission.recordAnswer(false)
		}
		s.observeConcurrency(f, ev.EventInterval)
		v.meanDuration = movingAverage(v.meanDuration, s.now.Sub(f.dispatchedAt), meanDurationWeight)
	case Failed:
		s.recordFailed(e)
	case WrongAddress:
		e.own.Ended++
		e.own.Failed++
		s.recordOutcomes(e, 1, 1)
		s.suspend(e, Unreachable)
	}
	s.placeWaiting(v, maxPlacements)
}

// recordFailed counts a request of this daemon that failed because of its endpoint.
func (s *State) recordFailed(e *endpoint) {
	e.own.Ended++
	e.own.Failed++
	s.recordOutcomes(e, 1, 1)
	s.checkHealth(e)
}

func (s *State) tick() {
	for _, f := range s.inflight {
		s.checkStalled(f)
	}
	elapsed := time.Duration(0)
	if !s.tickedAt.IsZero() {
		elapsed = s.now.Sub(s.tickedAt)
	}
	s.tickedAt = s.now
	s.recordAge()
	for _, v := range s.services {
		v.updateStatistics()
		s.updateLearned(v)
		s.updateMemory(v)
		s.expire(v)
		s.updateCold(v)
		s.updateBrittle(v)
		v.updateUtilization()
		if elapsed > 0 {
			v.demand.update(elapsed)
			s.updateRates(v, elapsed)
		}
		s.assignShares(v)
		v.borrows = s.mayBorrow(v)
		s.placeWaiting(v, maxPlacements)
		s.rejectEvacuated(v)
		s.rejectUnservable(v)
	}
}
