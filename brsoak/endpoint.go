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
	endpointSlots     = 4
	plainLatency      = 10 * time.Millisecond
	streamEvents      = 12
	eventInterval     = 15 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long an endpoint waits for the response to a heartbeat
	// before it tries another daemon.
	heartbeatTimeout = time.Second
	// drainPeriod is how long a leaving endpoint continues to serve.
	drainPeriod = 3500 * time.Millisecond
)

// endpoint simulates a model engine or a plain service. It runs every request that
// it receives and records the execution in the History.
type endpoint struct {
	run           *run
	id            string
	service       string
	failureDomain string
	address       string
	proxy         *Proxy // forwards connections from the daemons
	startedAt     time.Time
	server        *http.Server
	slots         chan struct{}
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	aborting   atomic.Bool   // half of the responses are aborted
	abortCount atomic.Uint64 // responses while aborting is set

	mu       sync.Mutex
	sequence uint64
	leaving  bool
}

// responseBody returns the response body of an endpoint to a request.
func responseBody(k Kind, id, endpoint string) string {
	if k == Stream {
		var b strings.Builder
		for i := range streamEvents {
			b.WriteString(streamEvent(i, id, endpoint))
		}
		return b.String()
	}
	return strings.Repeat(id+" by "+endpoint+"\n", 20)
}

func streamEvent(i int, id, endpoint string) string {
	return fmt.Sprintf("id: %d\ndata: %s by %s\n\n", i+1, id, endpoint)
}

// startEndpoint starts an endpoint behind a proxy that listens at address.
func startEndpoint(r *run, id, service, failureDomain, address string) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("brsoak: endpoint listener: %w", err)
	}
	proxy, err := NewProxy(address, l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{
		run: r, id: id, service: service, failureDomain: failureDomain, address: address, proxy: proxy, startedAt: time.Now(),
		slots: make(chan struct{}, endpointSlots), cancel: cancel,
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 5 * time.Second}
	e.wg.Go(func() {
		// Serve returns when the server is closed.
		_ = e.server.Serve(l)
	})
	e.wg.Go(func() { e.sendHeartbeats(ctx) })
	return e, nil
}

// crash stops the endpoint without an announcement.
func (e *endpoint) crash() {
	e.cancel()
	e.proxy.Close()
	e.server.Close()
	e.wg.Wait()
}

// drain announces that the endpoint leaves, serves for drainPeriod, withdraws the
// endpoint and stops it.
func (e *endpoint) drain(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if e.announce(ctx) {
		e.run.history.RecordLeave(e.id, time.Now())
		sleep(ctx, drainPeriod)
	}
	e.callDaemon(ctx, func(address string) (*http.Request, error) { return e.run.adapter.Withdraw(address, e.id) })
	e.crash()
}

func (e *endpoint) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		e.announce(ctx)
		sleep(ctx, heartbeatInterval)
	}
}

// announce sends a heartbeat and reports whether a daemon accepted it.
func (e *endpoint) announce(ctx context.Context) bool {
	e.mu.Lock()
	e.sequence++
	h := Heartbeat{
		ID: e.id, Service: e.service, Address: e.address, FailureDomain: e.failureDomain, Slots: endpointSlots,
		Leaving: e.leaving, Sequence: e.sequence, StartedAt: e.startedAt,
	}
	e.mu.Unlock()
	return e.callDaemon(ctx, func(address string) (*http.Request, error) { return e.run.adapter.Announce(address, h) })
}

// callDaemon sends a request to random daemons, up to four times, and reports
// whether one of them accepted it.
func (e *endpoint) callDaemon(ctx context.Context, request func(address string) (*http.Request, error)) bool {
	for range 4 {
		_, address := e.run.randomDaemon()
		r, err := request(address.Control)
		if err != nil {
			panic(fmt.Sprintf("brsoak: create endpoint request: %v", err))
		}
		if status, _, err := e.run.send(ctx, r, heartbeatTimeout); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id, target := e.run.adapter.ParseReceived(r.Header)
	if target != e.id {
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
	finish := e.run.history.RecordExecution(Execution{ID: id, Endpoint: e.id, Domain: e.failureDomain, StartedAt: time.Now()})
	kind := kindFromID(id)
	abort := e.nextAbort()
	if abort == abortImmediately {
		finish(Aborted)
		panic(http.ErrAbortHandler)
	}
	e.run.adapter.AddResponseHeaders(w.Header(), id, e.id)
	if kind == Stream {
		e.stream(w, r, id, abort, finish)
		return
	}
	sleep(r.Context(), plainLatency)
	text := responseBody(kind, id, e.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if abort == abortHalfway {
		// The bytes written may be lost, since the connection is closed.
		_, _ = w.Write([]byte(text[:len(text)/2]))
		finish(Aborted)
		panic(http.ErrAbortHandler)
	}
	_, err := w.Write([]byte(text))
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	finish(outcome(r, err))
}

func outcome(r *http.Request, err error) Outcome {
	if err != nil || r.Context().Err() != nil {
		return Stopped
	}
	return Completed
}

func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string, abort abortPoint, finish func(Outcome)) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last := streamEvents
	if abort == abortHalfway {
		last /= 2
	}
	for i := range last {
		sleep(r.Context(), eventInterval)
		_, err := w.Write([]byte(streamEvent(i, id, e.id)))
		if err == nil {
			err = control.Flush()
		}
		if o := outcome(r, err); o != Completed {
			finish(o)
			return
		}
	}
	if last < streamEvents {
		finish(Aborted)
		panic(http.ErrAbortHandler)
	}
	finish(Completed)
}

// abortPoint is the point of a response at which the endpoint closes the connection.
type abortPoint uint8

const (
	abortNever abortPoint = iota
	abortImmediately
	abortHalfway
)

// nextAbort returns the abort point of the next response.
func (e *endpoint) nextAbort() abortPoint {
	if !e.aborting.Load() {
		return abortNever
	}
	return [...]abortPoint{abortNever, abortImmediately, abortNever, abortHalfway}[e.abortCount.Add(1)%4]
}

func (e *endpoint) refuse(w http.ResponseWriter, id string, status int) {
	e.run.adapter.AddResponseHeaders(w.Header(), id, e.id)
	e.run.adapter.MarkNotRun(w.Header())
	w.WriteHeader(status)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
