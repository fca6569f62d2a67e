package brplace

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyroute/brlimit"
)

// brittleReplay replays a fleet whose endpoints state that they bear few rejections, let
// no request wait some time later, and fail when they have rejected more in a second.
type brittleReplay struct {
	daemons, endpoints, slots int
	kinds                     []streamKind
	load                      float64 // demand relative to the slots of the endpoints
	rejections                int     // per second that an endpoint bears
	unstated                  bool    // the endpoints don't state that they are brittle
	split                     bool    // the daemons of one half don't hear those of the other
	reportInterval            time.Duration
	reportDelay               time.Duration
	domainInterval            time.Duration // between two reports to the daemons of the same failure domain; 0 for none
	domainDelay               time.Duration
	limitDelay                time.Duration // until the other daemons have a limit

	rng     *rand.Rand
	now     time.Duration
	seq     int
	steps   timeline
	states  []*State
	servers []*brittleServer
	lastID  uint64
	streams map[uint64]*brittleStream // by ID of the placement
	byRank  [3]struct{ requests, served, onTime int }
	falls   int // while the rule holds
	fallen  map[int]bool
	most    int // rejections by an endpoint in a second
	total   int // rejections while the rule holds
	refused int
	late    time.Duration // longest time from an arrival to a refusal, beyond MaxQueueTime
	noRetry int           // refusals without a Retry-After
}

// brittleServer is an endpoint of the replay.
type brittleServer struct {
	born     uint64
	running  int
	queue    []*brittleStream
	rejected []time.Duration
	down     bool
	busy     time.Duration // slot time used while the rule holds
}

// brittleStream is a stream of the replay.
type brittleStream struct {
	daemon, rank int
	arrived      time.Duration
	sentAt       time.Duration
	work         time.Duration
	leaves       bool // its caller leaves halfway
	tried        []string
	attempt      uint64
	endpoint     int
}

const (
	brittleStated   = 500 * time.Millisecond        // the endpoints begin to state it
	brittleHolds    = brittleStated + 3*time.Second // they let no request wait any more
	brittleDuration = brittleHolds + 6*time.Second
	brittleQueue    = 8 // requests that an endpoint lets wait before
	brittleDown     = 4 * time.Second
	brittleNetwork  = 2 * time.Millisecond // one way between a daemon and an endpoint
	brittleWait     = 1200 * time.Millisecond
	brittleTarget   = 600 * time.Millisecond
	brittleAttempts = 2
	brittleLeaving  = 0.05                  // part of the callers that leave
	brittleNotice   = 10 * time.Millisecond // until an endpoint notices that
	brittleUnaware  = 5                     // one endpoint of so many doesn't notice it
)

func (r *brittleReplay) run() {
	r.rng = rand.New(rand.NewPCG(5, 6))
	r.streams, r.fallen = map[uint64]*brittleStream{}, map[int]bool{}
	for range r.endpoints {
		r.servers = append(r.servers, &brittleServer{born: 1})
	}
	for d := range r.daemons {
		s := New(Config{Daemon: fmt.Sprint("d", d), FailureDomain: fmt.Sprint("z", replayZone(d)), Random: r.rng.Float64})
		s.Step(start, FleetChanged{daemonIDs(r.daemons)})
		r.states = append(r.states, s)
		for e := range r.endpoints {
			s.Step(start, EndpointChanged{r.endpoint(e)})
		}
		r.every(replayTick, func() { r.step(d, Tick{}) })
		r.every(r.reportInterval, func() { r.report(d, r.reportDelay, false) })
		if r.domainInterval > 0 {
			r.every(r.domainInterval, func() { r.report(d, r.domainDelay, true) })
		}
	}
	mean := 0.0 // slot time of the demand at a load of 1, per endpoint and second
	for _, k := range r.kinds {
		mean += k.perEndpoint * (k.prefill + time.Duration(k.events*float64(k.interval))).Seconds()
	}
	for i := range r.daemons {
		weight := 0.4 + 1.2*float64(i)/float64(max(1, r.daemons-1)) // callers are spread unevenly
		if r.daemons == 1 {
			weight = 1
		}
		for _, k := range r.kinds {
			r.arrive(i, k, weight*r.load*k.perEndpoint*float64(r.slots)/mean*float64(r.endpoints)/float64(r.daemons))
		}
	}
	for r.now < brittleDuration {
		s := heap.Pop(&r.steps).(timedStep)
		r.now = s.at
		s.run()
	}
}

func (r *brittleReplay) endpoint(e int) Endpoint {
	return Endpoint{ID: fmt.Sprintf("e%03d", e), Service: "s", Zone: fmt.Sprint("z", replayZone(e)), Slots: r.slots, Born: r.servers[e].born}
}

func (r *brittleReplay) after(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.steps, timedStep{r.now + d, r.seq, f})
}

// every calls f once in each interval, beginning at a random time of the first.
func (r *brittleReplay) every(interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		r.after(interval, again)
	}
	r.after(time.Duration(r.rng.Float64()*float64(interval)), again)
}

func (r *brittleReplay) hears(d, other int) bool {
	return d != other && (!r.split || d%2 == other%2)
}

func (r *brittleReplay) report(d int, delay time.Duration, domain bool) {
	report := r.states[d].Report(start.Add(r.now), 500*time.Millisecond)
	r.after(delay, func() {
		for other := range r.daemons {
			if r.hears(d, other) && (!domain || replayZone(d) == replayZone(other)) {
				r.step(other, PeerReported{Daemon: fmt.Sprint("d", d), Report: report})
			}
		}
	})
}

func (r *brittleReplay) arrive(d int, k streamKind, rate float64) {
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		events := time.Duration(k.events * r.rng.ExpFloat64() * float64(k.interval))
		q := &brittleStream{daemon: d, rank: k.rank, arrived: r.now, work: k.prefill + events, leaves: r.rng.Float64() < brittleLeaving}
		if r.now >= brittleHolds {
			r.byRank[k.rank].requests++
		}
		r.submit(q)
		r.arrive(d, k, rate)
	})
}

func (r *brittleReplay) submit(q *brittleStream) {
	r.lastID++
	r.streams[r.lastID] = q
	at := start.Add(q.arrived)
	r.step(q.daemon, Submit{Request{
		ID: r.lastID, Service: "s", Rank: q.rank, FirstByteDue: at.Add(brittleTarget),
		Deadline: at.Add(6 * time.Second), MaxQueueTime: brittleWait - (r.now - q.arrived), ExcludedEndpoints: q.tried,
	}})
}

func (r *brittleReplay) step(d int, ev Event) {
	for _, effect := range r.states[d].Step(start.Add(r.now), ev) {
		switch e := effect.(type) {
		case Dispatch:
			q := r.streams[e.ID]
			fmt.Sscanf(e.Endpoint.ID, "e%d", &q.endpoint)
			q.attempt, q.sentAt = e.ID, r.now
			q.tried = append(q.tried, e.Endpoint.ID)
			r.after(brittleNetwork, func() { r.accept(q) })
		case Reject:
			r.refuse(r.streams[e.ID], e)
			delete(r.streams, e.ID)
		case LimitLearned:
			r.after(r.limitDelay, func() {
				for other := range r.states {
					if r.hears(d, other) {
						r.step(other, LimitPublished{ID: e.ID, Born: e.Born, Limit: e.Limit, Rejected: e.Rejected})
					}
				}
			})
		}
	}
}

func (r *brittleReplay) refuse(q *brittleStream, e Reject) {
	r.refused++
	r.late = max(r.late, r.now-q.arrived-brittleWait)
	if e.RetryAfter <= 0 {
		r.noRetry++
	}
}

// accept lets a stream arrive at its endpoint.
func (r *brittleReplay) accept(q *brittleStream) {
	s := r.servers[q.endpoint]
	queue := brittleQueue
	if r.now >= brittleHolds {
		queue = 0
	}
	switch {
	case s.down:
		r.end(q, WrongAddress)
	case s.running < r.slots:
		r.start(q)
	case len(s.queue) < queue:
		s.queue = append(s.queue, q)
	default:
		r.reject(q)
	}
}

// reject turns a stream away. Its daemon sends it to another endpoint.
func (r *brittleReplay) reject(q *brittleStream) {
	if r.now >= brittleHolds {
		r.countRejection(q.endpoint)
	}
	r.after(brittleNetwork, func() {
		r.observe(q, true)
		r.step(q.daemon, Ended{ID: q.attempt, Result: Inconclusive})
		delete(r.streams, q.attempt)
		if len(q.tried) < brittleAttempts {
			r.submit(q)
		}
	})
}

// countRejection counts a rejection by an endpoint, which fails if it bears no more.
func (r *brittleReplay) countRejection(i int) {
	s := r.servers[i]
	s.rejected = append(s.rejected, r.now)
	n := 0
	for _, t := range s.rejected {
		if t > r.now-time.Second {
			n++
		}
	}
	r.most = max(r.most, n)
	r.total++
	if n > r.rejections {
		r.fall(i)
	}
}

// fall stops an endpoint for some time. The streams at it fail.
func (r *brittleReplay) fall(i int) {
	s := r.servers[i]
	s.down, s.running, s.queue, s.rejected = true, 0, nil, nil
	r.falls++
	r.fallen[i] = true
	for _, q := range r.streams {
		if q.attempt != 0 && q.endpoint == i && q.sentAt <= r.now-brittleNetwork {
			r.end(q, Failed)
		}
	}
	r.after(brittleDown, func() {
		s.down = false
		s.born++
		for d := range r.states {
			r.step(d, EndpointChanged{r.endpoint(i)})
		}
	})
}

func (r *brittleReplay) start(q *brittleStream) {
	s, born, began := r.servers[q.endpoint], r.servers[q.endpoint].born, r.now
	s.running++
	if r.now >= brittleHolds {
		r.byRank[q.rank].served++
		if r.now-q.arrived <= brittleTarget {
			r.byRank[q.rank].onTime++
		}
	}
	work := time.Duration(replaySpeed(q.endpoint) * float64(q.work))
	free := func() {
		if s.down || s.born != born {
			return
		}
		s.running--
		s.busy += r.now - max(began, min(r.now, brittleHolds))
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			r.start(next)
		}
	}
	if q.leaves {
		noticed := work/2 + brittleNetwork + brittleNotice
		if q.endpoint%brittleUnaware == 0 {
			noticed = work
		}
		r.after(work/2, func() { r.end(q, Inconclusive) })
		r.after(noticed, free)
		return
	}
	r.after(work, func() {
		free()
		r.end(q, Succeeded)
	})
	r.after(min(work, 50*time.Millisecond)+brittleNetwork, func() { r.observe(q, false) })
}

// observe lets the daemon of q see the header of the response.
func (r *brittleReplay) observe(q *brittleStream, rejected bool) {
	var limit brlimit.Limit
	if r.now >= brittleStated && !r.unstated {
		limit = brlimit.Limit{Brittle: true, RejectionLimit: r.rejections}
	}
	r.step(q.daemon, LimitObserved{
		ID: r.endpoint(q.endpoint).ID, Born: r.servers[q.endpoint].born, SentAt: start.Add(q.sentAt), Limit: limit, Rejected: rejected,
	})
}

// end lets the daemon of q see the end of its response, once.
func (r *brittleReplay) end(q *brittleStream, result Result) {
	id := q.attempt
	if r.streams[id] != q {
		return
	}
	r.after(brittleNetwork, func() {
		if r.streams[id] == q {
			delete(r.streams, id)
			r.step(q.daemon, Ended{ID: id, Result: result})
		}
	})
}

// used returns the part of the slot time that was used while the rule held.
func (r *brittleReplay) used() float64 {
	var busy time.Duration
	for _, s := range r.servers {
		busy += s.busy
	}
	return busy.Seconds() / float64(r.slots*r.endpoints) / (brittleDuration - brittleHolds).Seconds()
}

func (r *brittleReplay) served(rank int) float64 {
	return float64(r.byRank[rank].served) / float64(max(1, r.byRank[rank].requests))
}

func (r *brittleReplay) String() string {
	onTime, requests := 0, 0
	for _, c := range r.byRank {
		onTime += c.onTime
		requests += c.requests
	}
	return fmt.Sprintf("%d falls of %d endpoints, %d rejections, at most %d in a second; %.2f of the slots used, %.2f on time; served by rank %.2f %.2f %.2f",
		r.falls, len(r.fallen), r.total, r.most, r.used(), float64(onTime)/float64(max(1, requests)), r.served(0), r.served(1), r.served(2))
}
