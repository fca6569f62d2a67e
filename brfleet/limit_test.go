package brfleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brtest"
)

// limitedEndpoint names a limit in its responses and records when requests arrive.
type limitedEndpoint struct {
	mu       sync.Mutex
	limit    string // value of the header field; empty for none
	arrivals []time.Time
}

func (e *limitedEndpoint) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
	if e.limit != "" {
		w.Header().Set("Limit", e.limit)
	}
	io.WriteString(w, "ok")
}

func (e *limitedEndpoint) setLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// arrived returns the number of requests that arrived after t.
func (e *limitedEndpoint) arrived(t time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if a.After(t) {
			n++
		}
	}
	return n
}

// TestEndpointLimitHoldsForAllDaemons guards against daemons that each send what an
// endpoint takes from all of them together, against refusing requests that another
// endpoint could run, and against a limit that outlasts the endpoint's need.
func TestEndpointLimitHoldsForAllDaemons(t *testing.T) {
	const (
		daemons  = 11
		rate     = 1.6                    // requests/s that the endpoint takes
		window   = 4 * time.Second        // of the check
		allowed  = 14                     // 1.5 x rate x window + 5
		contact  = 500 * time.Millisecond // until the daemons know the limit
		interval = 10 * time.Millisecond  // between two requests
	)
	c := newCluster(t, daemons, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	endpoints := map[string]*limitedEndpoint{"limited": {}, "other": {}}
	for id, e := range endpoints {
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		if err := c.fleets[0].Announce(t.Context(), Announcement{
			Endpoint: brplace.Endpoint{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 8}, Born: 1, Sequence: 1,
		}); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == len(endpoints) })
	}
	limited := endpoints["limited"]
	failed := 0
	send := func(d time.Duration) (from time.Time) {
		from = time.Now()
		for i := 0; time.Since(from) < d; i++ {
			if status, _ := sendParts(t, c.fleets[i%daemons]); status != http.StatusOK {
				failed++
			}
			time.Sleep(interval)
		}
		return from
	}
	if from := send(contact); limited.arrived(from) < 5 {
		t.Fatalf("%d requests reach the endpoint without a limit, want it in use", limited.arrived(from))
	}
	limited.setLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	send(contact)
	if n := limited.arrived(send(window)); n > allowed || n < int(0.75*rate*window.Seconds()) {
		t.Errorf("%d requests in %v reach an endpoint that takes %v a second, want at most %d and most of what it takes", n, window, rate, allowed)
	}
	limited.setLimit("")
	brtest.Await(t, 10*time.Second, "endpoint is in use again", func() bool { return limited.arrived(send(contact)) >= 5 })
	if failed > 0 {
		t.Error(fmt.Sprint(failed, " requests failed, want none: the other endpoint has room"))
	}
}
