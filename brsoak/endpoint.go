package brsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	endpointSlots = 4
	plainTime     = 10 * time.Millisecond
	streamEvents  = 12
	eventTime     = 15 * time.Millisecond
	beatInterval  = 500 * time.Millisecond
	// beatTimeout is how long an endpoint waits for the answer to a heartbeat
	// before it calls the next daemon.
	beatTimeout = time.Second
	// serveOn is how long an endpoint that leaves goes on serving.
	serveOn = 3500 * time.Millisecond
)

// endpoint is a stand-in for a model engine or a plain service: it runs what it is
// sent, once per request that it receives, and tells the History.
type endpoint struct {
	soak    *run
	id      string
	service string
	zone    string
	address string
	proxy   *Proxy // through which the daemons reach it
	born    time.Time
	server  *http.Server
	slots   chan struct{}
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	breaking atomic.Bool   // half of the answers are broken off
	answers  atomic.Uint64 // while breaking

	mu       sync.Mutex
	sequence uint64
	leaving  bool
}

// body returns the answer of an endpoint to a request.
func body(k Kind, id, endpoint string) string {
	if k == Stream {
		var b strings.Builder
		for i := range streamEvents {
			b.WriteString(event(i, id, endpoint))
		}
		return b.String()
	}
	return strings.Repeat(id+" by "+endpoint+"\n", 20)
}

func event(i int, id, endpoint string) string {
	return fmt.Sprintf("id: %d\ndata: %s by %s\n\n", i+1, id, endpoint)
}

// startEndpoint starts an endpoint behind a proxy at address.
func startEndpoint(r *run, id, service, zone, address string) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("brsoak: endpoint: %w", err)
	}
	proxy, err := NewProxy(address, l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{
		soak: r, id: id, service: service, zone: zone, address: address, proxy: proxy, born: time.Now(),
		slots: make(chan struct{}, endpointSlots), cancel: cancel,
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 5 * time.Second}
	e.wg.Go(func() {
		// It returns when the server is closed.
		_ = e.server.Serve(l)
	})
	e.wg.Go(func() { e.beat(ctx) })
	return e, nil
}

// crash ends the endpoint without a word.
func (e *endpoint) crash() {
	e.cancel()
	e.proxy.Close()
	e.server.Close()
	e.wg.Wait()
}

// leave announces the endpoint's leave, serves on for a while, and ends it.
func (e *endpoint) leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if e.announce(ctx) {
		e.soak.history.Leaves(e.id, time.Now())
		sleep(ctx, serveOn)
	}
	e.callDaemon(ctx, func(address string) (*http.Request, error) { return e.soak.adapter.Withdraw(address, e.id) })
	e.crash()
}

func (e *endpoint) beat(ctx context.Context) {
	for ctx.Err() == nil {
		e.announce(ctx)
		sleep(ctx, beatInterval)
	}
}

// announce sends a heartbeat to any daemon and reports whether one took it.
func (e *endpoint) announce(ctx context.Context) bool {
	e.mu.Lock()
	e.sequence++
	h := Heartbeat{
		ID: e.id, Service: e.service, Address: e.address, Zone: e.zone, Slots: endpointSlots,
		Leaving: e.leaving, Sequence: e.sequence, Born: e.born,
	}
	e.mu.Unlock()
	return e.callDaemon(ctx, func(address string) (*http.Request, error) { return e.soak.adapter.Announce(address, h) })
}

// callDaemon sends a request to one daemon after the other until one takes it.
func (e *endpoint) callDaemon(ctx context.Context, request func(address string) (*http.Request, error)) bool {
	for range 4 {
		_, address := e.soak.anyDaemon()
		r, err := request(address.Control)
		if err != nil {
			panic(fmt.Sprintf("brsoak: request of an endpoint: %v", err))
		}
		if status, _, err := e.soak.do(ctx, r, beatTimeout); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id, wanted := e.soak.adapter.Received(r.Header)
	if wanted != e.id {
		e.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		e.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	ended := e.soak.history.Begins(Execution{ID: id, Endpoint: e.id, Began: time.Now()})
	kind := kindOf(id)
	breaks := e.breaks()
	if breaks == atOnce {
		ended(Broken)
		panic(http.ErrAbortHandler)
	}
	e.soak.adapter.Stamp(w.Header(), id, e.id)
	if kind == Stream {
		e.stream(w, r, id, breaks, ended)
		return
	}
	sleep(r.Context(), plainTime)
	text := body(kind, id, e.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if breaks == halfway {
		// What was written is cut off as well; the connection is closed.
		_, _ = w.Write([]byte(text[:len(text)/2]))
		ended(Broken)
		panic(http.ErrAbortHandler)
	}
	_, err := w.Write([]byte(text))
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	ended(outcome(r, err))
}

func outcome(r *http.Request, err error) Outcome {
	if err != nil || r.Context().Err() != nil {
		return Stopped
	}
	return Answered
}

func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string, breaks breakOff, ended func(Outcome)) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last := streamEvents
	if breaks == halfway {
		last /= 2
	}
	for i := range last {
		sleep(r.Context(), eventTime)
		_, err := w.Write([]byte(event(i, id, e.id)))
		if err == nil {
			err = control.Flush()
		}
		if o := outcome(r, err); o != Answered {
			ended(o)
			return
		}
	}
	if last < streamEvents {
		ended(Broken)
		panic(http.ErrAbortHandler)
	}
	ended(Answered)
}

// breakOff is where an answer ends with its connection.
type breakOff uint8

const (
	never breakOff = iota
	atOnce
	halfway
)

// breaks returns where the next answer ends.
func (e *endpoint) breaks() breakOff {
	if !e.breaking.Load() {
		return never
	}
	return [...]breakOff{never, atOnce, never, halfway}[e.answers.Add(1)%4]
}

func (e *endpoint) refuse(w http.ResponseWriter, id string, status int) {
	e.soak.adapter.Stamp(w.Header(), id, e.id)
	e.soak.adapter.MarkNotRun(w.Header())
	w.WriteHeader(status)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
