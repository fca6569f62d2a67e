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
	MaxBatch int    // maximum number of concurrent sequences
}

// RoundRobin returns a target that sends each request immediately to the next
// engine.
func RoundRobin(model string, engines []Engine) Target {
	f := newEngineClient(model)
	var next atomic.Uint64
	return f.target("round robin", func(context.Context, Arrival) (Engine, func(), bool) {
		return engines[next.Add(1)%uint64(len(engines))], func() {}, true
	})
}

// Reports holds the load of each engine from its last announcement.
type Reports struct {
	mu     sync.Mutex
	tokens map[string]int // running and waiting tokens, by endpoint ID
	server *http.Server
}

// ListenReports starts a server on l that receives the announcements of engines.
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

// leastLoaded returns the engine with the fewest announced tokens.
func (r *Reports) leastLoaded(engines []Engine) Engine {
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

// LeastOutstanding returns a target that sends each request immediately to the
// engine with the fewest outstanding tokens in its last announcement. Its Close also
// closes the server of reports.
func LeastOutstanding(model string, engines []Engine, reports *Reports) Target {
	f := newEngineClient(model)
	t := f.target("least outstanding", func(context.Context, Arrival) (Engine, func(), bool) {
		return reports.leastLoaded(engines), func() {}, true
	})
	closeClient := t.Close
	t.Close = func() {
		closeClient()
		_ = reports.server.Close()
	}
	return t
}

// FirstComeFirstServed returns a target that queues requests and dispatches the first
// one when an engine runs fewer than MaxBatch sequences.
func FirstComeFirstServed(model string, engines []Engine) Target {
	f := newEngineClient(model)
	q := newSlots(engines)
	return f.target("first come", q.acquire)
}

// slots is a FIFO queue for the free batch slots of engines.
type slots struct {
	engines []Engine

	mu      sync.Mutex
	free    []int      // by engine
	waiting []chan int // receive the index of an engine
}

func newSlots(engines []Engine) *slots {
	s := &slots{engines: engines}
	for _, e := range engines {
		s.free = append(s.free, e.MaxBatch)
	}
	return s
}

// acquire waits for a free slot. It returns the engine and a function that releases
// the slot, or false if ctx ends first.
func (s *slots) acquire(ctx context.Context, _ Arrival) (Engine, func(), bool) {
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
		return s.engines[best], func() { s.release(best) }, true
	}
	c := make(chan int, 1)
	s.waiting = append(s.waiting, c)
	s.mu.Unlock()
	select {
	case i := <-c:
		return s.engines[i], func() { s.release(i) }, true
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
	s.release(<-c) // the slot was granted concurrently
	return Engine{}, nil, false
}

func (s *slots) release(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free[i]++
		return
	}
	s.waiting[0] <- i
	s.waiting = s.waiting[1:]
}

// engineClient sends requests to engines without a scheduler.
type engineClient struct {
	model  string
	client *http.Client
}

func newEngineClient(model string) *engineClient {
	return &engineClient{model: model, client: newClient()}
}

// engineSelector returns the engine for a request and a function that releases its
// slot, or false if ctx ends first.
type engineSelector func(ctx context.Context, r Arrival) (Engine, func(), bool)

// target returns a target that gives up a request, and cancels it at its engine, if
// the first token has not arrived by the deadline.
func (f *engineClient) target(name string, selectEngine engineSelector) Target {
	return Target{Name: name, Close: f.client.CloseIdleConnections, Send: func(ctx context.Context, r Arrival) Response {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		id, deadlineTimer := newID(), time.AfterFunc(r.Deadline, cancel)
		defer deadlineTimer.Stop()
		e, release, ok := selectEngine(ctx, r)
		if !ok {
			return Response{RequestID: id, EndedAt: time.Now(), Failure: brengine.ErrorBody{
				Kind: brerror.QueueTimeout.String(), Outcome: brerror.NotRun.String()}}
		}
		defer release()
		return f.send(ctx, deadlineTimer, e, id, r)
	}}
}

func (f *engineClient) send(ctx context.Context, deadlineTimer *time.Timer, e Engine, id string, r Arrival) Response {
	c := brengine.Completion{Model: f.model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true}
	a := exchange(ctx, f.client, call{address: e.Address, id: id, body: c, outputTokens: r.Output, onFirst: func() { deadlineTimer.Stop() }})
	a.Endpoint = e.ID
	if a.Err != nil {
		f.cancel(e, id)
		a.Failure = brengine.ErrorBody{Kind: brerror.DeadlineExceeded.String(), Outcome: brerror.Unknown.String()}
	}
	return a
}

func (f *engineClient) cancel(e Engine, id string) {
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
