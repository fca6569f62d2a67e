package brfleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"bramleyroute/brplace"
)

// brittleEndpoint runs slots requests at once, rejects all others and fails for some time
// when it has rejected more than it bears in a second.
type brittleEndpoint struct {
	slots int
	work  time.Duration

	mu       sync.Mutex
	stated   bool      // it states that it is brittle
	brittle  bool      // it is
	down     time.Time // end of its last failure
	running  int
	rejected []time.Time
	falls    int
	served   int
}

const (
	brittleRejections = 1 // per second that an endpoint bears
	brittleDown       = 2 * time.Second
)

func (e *brittleEndpoint) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Now().Before(e.down) {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.stated {
		w.Header().Set("Rejections", fmt.Sprint(brittleRejections))
	}
	if e.brittle && e.running >= e.slots {
		e.reject()
		e.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.served++
	e.mu.Unlock()
	time.Sleep(e.work)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	io.WriteString(w, "ok")
}

// reject counts a rejection. The caller must hold e.mu.
func (e *brittleEndpoint) reject() {
	now := time.Now()
	e.rejected = append(e.rejected, now)
	n := 0
	for _, t := range e.rejected {
		if now.Sub(t) < time.Second {
			n++
		}
	}
	if n > brittleRejections {
		e.falls++
		e.rejected, e.down = nil, now.Add(brittleDown)
	}
}

// TestEndpointSlotsHoldForAllDaemons guards against daemons that together send endpoints
// more requests than these have slots, though they state that they fail when they have
// to reject many. By the users' rule at most 2 and a tenth of them may. The callers ask
// for more than the endpoints can run, and come back when they are told to.
func TestEndpointSlotsHoldForAllDaemons(t *testing.T) {
	const (
		daemons   = 11
		endpoints = 6
		slots     = 6
		callers   = 2 * endpoints * slots
		work      = 60 * time.Millisecond
		contact   = 2 * time.Second // from the statement until they let none wait
		duration  = 5 * time.Second
		allowed   = 2 + endpoints/10
	)
	c := newCluster(t, daemons, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	var servers []*brittleEndpoint
	for i := range endpoints {
		e := &brittleEndpoint{slots: slots, work: work}
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		servers = append(servers, e)
		if err := c.fleets[0].Announce(t.Context(), Announcement{
			Endpoint: brplace.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: server.Listener.Addr().String(), Slots: slots}, Born: 1, Sequence: 1,
		}); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == endpoints })
	}
	set := func(change func(e *brittleEndpoint)) {
		for _, e := range servers {
			e.mu.Lock()
			change(e)
			e.mu.Unlock()
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { callUntil(stop, c.fleets[i%daemons]) })
	}
	set(func(e *brittleEndpoint) { e.stated = true })
	time.Sleep(contact)
	set(func(e *brittleEndpoint) { e.brittle, e.served = true, 0 })
	time.Sleep(duration)
	falls, served := 0, 0
	set(func(e *brittleEndpoint) { falls, served = falls+e.falls, served+e.served })
	close(stop)
	wg.Wait()
	capacity := float64(endpoints*slots) * duration.Seconds() / work.Seconds()
	t.Logf("%d falls, %d requests served, %.2f of what the endpoints can", falls, served, float64(served)/capacity)
	if falls > allowed {
		t.Errorf("%d falls of %d endpoints, want at most %d", falls, endpoints, allowed)
	}
	if float64(served) < capacity/4 {
		t.Errorf("%d requests served, want at least a quarter of the %.0f that the endpoints can run", served, capacity)
	}
}

// callUntil sends requests to f, one after the other, until stop is closed.
func callUntil(stop chan struct{}, f *Fleet) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		r := httptest.NewRequest("POST", "/x", nil)
		r.Host = "h"
		w := httptest.NewRecorder()
		f.Proxy().ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
