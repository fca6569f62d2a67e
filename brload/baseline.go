package brload

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Engine is an engine that a baseline sends to.
type Engine struct {
	ID       string
	Address  string // host:port
	MaxBatch int    // sequences that it runs at a time
}

// RoundRobin returns a target that sends each request at once to the next engine.
func RoundRobin(model string, engines []Engine) Target {
	f := newFront(model)
	var next atomic.Uint64
	return f.target("round robin", func(context.Context, Arrival) (Engine, func(), bool) {
		return engines[next.Add(1)%uint64(len(engines))], func() {}, true
	})
}

// Reports holds the load that engines announced last.
type Reports struct {
	mu     sync.Mutex
	tokens map[string]int // by endpoint id
	server *http.Server
}

// ListenReports takes engines' announcements from a listener.
func ListenReports(l net.Listener) *Reports {
	r := &Reports{tokens: map[string]int{}}
	m := http.NewServeMux()
	m.HandleFunc("POST "+brengine.PathAnnounce, r.serve)
	r.server = &http.Server{Handler: m, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	return r
}

func (r *Reports) serve(w http.ResponseWriter, q *http.Request) {
	var a brwire.Announce
	if json.NewDecoder(q.Body).Decode(&a) == nil {
		r.mu.Lock()
		r.tokens[a.EndpointID] = a.RunningTokens + a.WaitingTokens
		r.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// least returns the engine with the fewest announced tokens.
func (r *Reports) least(engines []Engine) Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := engines[0]
	for _, e := range engines[1:] {
		if r.tokens[e.ID] < r.tokens[best.ID] {
			best = e
		}
	}
	return best
}

// LeastOutstanding returns a target that sends each request at once to the
// engine with the fewest outstanding tokens in its last announcement.
func LeastOutstanding(model string, engines []Engine, reports *Reports) Target {
	f := newFront(model)
	t := f.target("least outstanding", func(context.Context, Arrival) (Engine, func(), bool) {
		return reports.least(engines), func() {}, true
	})
	closeClient := t.Close
	t.Close = func() {
		closeClient()
		_ = reports.server.Close()
	}
	return t
}

// FirstCome returns a target that holds requests in one queue and sends the
// first of them as soon as an engine runs less than its MaxBatch.
func FirstCome(model string, engines []Engine) Target {
	f := newFront(model)
	q := newSlots(engines)
	return f.target("first come", q.take)
}

// slots is a queue for the free places of engines, in arrival order.
type slots struct {
	engines []Engine

	mu      sync.Mutex
	free    []int // by engine
	waiting []chan int
}

func newSlots(engines []Engine) *slots {
	s := &slots{engines: engines}
	for _, e := range engines {
		s.free = append(s.free, e.MaxBatch)
	}
	return s
}

// take waits for a place until ctx ends.
func (s *slots) take(ctx context.Context, _ Arrival) (Engine, func(), bool) {
	s.mu.Lock()
	best := 0
	for i, n := range s.free {
		if n > s.free[best] {
			best = i
		}
	}
	if s.free[best] > 0 && len(s.waiting) == 0 {
		s.free[best]--
		s.mu.Unlock()
		return s.engines[best], func() { s.give(best) }, true
	}
	c := make(chan int, 1)
	s.waiting = append(s.waiting, c)
	s.mu.Unlock()
	select {
	case i := <-c:
		return s.engines[i], func() { s.give(i) }, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	for i, w := range s.waiting {
		if w == c {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.mu.Unlock()
			return Engine{}, nil, false
		}
	}
	s.mu.Unlock()
	s.give(<-c) // granted at the same moment
	return Engine{}, nil, false
}

func (s *slots) give(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free[i]++
		return
	}
	s.waiting[0] <- i
	s.waiting = s.waiting[1:]
}

// front sends to engines without a scheduler.
type front struct {
	model  string
	client *http.Client
}

func newFront(model string) *front { return &front{model: model, client: newClient()} }

// chooser returns the engine for a request and what gives its place back, or
// false when ctx ended first.
type chooser func(ctx context.Context, r Arrival) (Engine, func(), bool)

// target returns a target that gives a request up, and cancels it at its engine,
// when the first token has not come by the deadline.
func (f *front) target(name string, choose chooser) Target {
	return Target{Name: name, Close: f.client.CloseIdleConnections, Send: func(ctx context.Context, r Arrival) Answer {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		id, late := newID(), time.AfterFunc(r.Deadline, cancel)
		defer late.Stop()
		e, give, ok := choose(ctx, r)
		if !ok {
			return Answer{RequestID: id, Ended: time.Now(), Failure: brengine.ErrorBody{
				Kind: brerror.QueueTimeout.String(), Outcome: brerror.NotRun.String()}}
		}
		defer give()
		return f.send(ctx, late, e, id, r)
	}}
}

func (f *front) send(ctx context.Context, late *time.Timer, e Engine, id string, r Arrival) Answer {
	c := brengine.Completion{Model: f.model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true}
	a := exchange(ctx, f.client, call{address: e.Address, id: id, body: c, want: r.Output, onFirst: func() { late.Stop() }})
	a.Endpoint = e.ID
	if a.Err != nil {
		f.cancel(e, id)
		a.Failure = brengine.ErrorBody{Kind: brerror.DeadlineExceeded.String(), Outcome: brerror.Unknown.String()}
	}
	return a
}

func (f *front) cancel(e Engine, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+e.Address+brengine.PathRequests+id, nil)
	if err != nil {
		return
	}
	if res, err := f.client.Do(q); err == nil {
		_ = res.Body.Close()
	}
}
