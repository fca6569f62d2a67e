package brfleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brplace"
)

// contactTime is the time after which the rule on daemons without a path to the endpoints
// holds.
const contactTime = 3 * time.Second

// closeEvery is the number of responses after which an endpoint closes the connection, so
// that the daemons need new ones.
const closeEvery = 5

// startEndpoints announces n sound endpoints to the cluster, which answer after the given
// time, and waits until all daemons know them.
func startEndpoints(t *testing.T, c *cluster, n int, latency time.Duration) *soundEndpoints {
	t.Helper()
	all := &soundEndpoints{arrivals: map[string]int{}}
	for i := range n {
		var responses atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // the daemon that sends it has read it in full
			all.arrived(string(body))
			select {
			case <-time.After(latency):
			case <-r.Context().Done():
			}
			if responses.Add(1)%closeEvery == 0 {
				w.Header().Set("Connection", "close")
			}
			io.WriteString(w, "ok")
		}))
		t.Cleanup(server.Close)
		all.addresses = append(all.addresses, server.Listener.Addr().String())
		if err := c.fleets[0].Announce(t.Context(), Announcement{
			Endpoint: brplace.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: server.Listener.Addr().String(), Slots: 7}, Born: 1, Sequence: 1,
		}); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == n })
	}
	return all
}

// soundEndpoints counts the requests that arrive at some endpoints, by their bodies.
type soundEndpoints struct {
	addresses []string

	mu       sync.Mutex
	arrivals map[string]int
}

func (e *soundEndpoints) arrived(body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[body]++
}

// total returns the number of requests that have arrived, and of those that came twice.
func (e *soundEndpoints) total() (arrived, twice int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.arrivals {
		arrived += n
		if n > 1 {
			twice++
		}
	}
	return arrived, twice
}

// ran reports whether the request with the given body has arrived.
func (e *soundEndpoints) ran(body string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals[body] > 0
}

// served counts the requests of the callers of some daemons.
type served struct{ sent, ok int }

func (s served) rate() float64 { return float64(s.ok) / float64(max(1, s.sent)) }

// callers sends requests to each of the daemons of a cluster, one each interval, and
// counts those sent after counting has begun.
type callers struct {
	fronts   []*httptest.Server
	interval time.Duration
	body     func(daemon, n int) string // of the nth request at a daemon

	mu       sync.Mutex
	counting bool
	results  []served // by daemon
	rejected []string // bodies of the requests answered 503
}

func newCallers(t *testing.T, c *cluster, interval time.Duration) *callers {
	s := &callers{
		interval: interval, results: make([]served, len(c.fleets)),
		body: func(daemon, n int) string { return fmt.Sprint(daemon, n, time.Now()) },
	}
	for _, f := range c.fleets {
		front := httptest.NewServer(f.Proxy())
		t.Cleanup(front.Close)
		s.fronts = append(s.fronts, front)
	}
	return s
}

// run sends requests for the given time. It returns when all have ended.
func (s *callers) run(d time.Duration) {
	var wg sync.WaitGroup
	for i := range s.fronts {
		wg.Go(func() {
			for from, n := time.Now(), 0; time.Since(from) < d; n++ {
				body := s.body(i, n)
				wg.Go(func() { s.send(i, body) })
				time.Sleep(s.interval)
			}
		})
	}
	wg.Wait()
}

func (s *callers) send(daemon int, body string) {
	s.mu.Lock()
	counting := s.counting
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", s.fronts[daemon].URL+"/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "h"
	response, err := s.fronts[daemon].Client().Do(r)
	ok, rejected := false, false
	if err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		ok = err == nil && response.StatusCode == http.StatusOK && string(body) == "ok"
		rejected = response.StatusCode == http.StatusServiceUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rejected {
		s.rejected = append(s.rejected, body)
	}
	if counting {
		s.results[daemon].sent++
		if ok {
			s.results[daemon].ok++
		}
	}
}

func (s *callers) count(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counting = on
}

// total returns the sums over the first n daemons, and over the others.
func (s *callers) total(n int) (first, others served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range s.results {
		sum := &others
		if i < n {
			sum = &first
		}
		sum.sent += r.sent
		sum.ok += r.ok
	}
	return first, others
}

// partitionForms are the ways in which daemons lose their path to the endpoints.
var partitionForms = []struct {
	name string
	form partition
}{{"reset", resetPartition}, {"silent", silentPartition}, {"new connections refused", newConnsPartition}}

// TestPartitionedDaemonsServe guards against failing the callers of daemons that have
// lost their path to all endpoints, while the other daemons reach them.
func TestPartitionedDaemonsServe(t *testing.T) {
	const (
		daemons     = 11
		partitioned = 7
		endpoints   = 6
	)
	for _, test := range partitionForms {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, daemons, 3)
			c.put(0, 1)
			c.awaitInForce(1)
			startEndpoints(t, c, endpoints, 20*time.Millisecond)
			s := newCallers(t, c, 40*time.Millisecond)
			s.run(time.Second)
			for i := range partitioned {
				c.networks[i].set(test.form, nil)
			}
			s.run(contactTime)
			s.count(true)
			s.run(2 * time.Second)
			cut, others := s.total(partitioned)
			t.Logf("served at the partitioned daemons: %+v, at the others: %+v", cut, others)
			if cut.rate() < others.rate()*2/3 {
				t.Errorf("partitioned daemons serve %d of %d requests, the others %d of %d, want at least two thirds of their rate", cut.ok, cut.sent, others.ok, others.sent)
			}
			if others.rate() < 0.95 {
				t.Errorf("the other daemons serve %d of %d requests, want 95 in 100", others.ok, others.sent)
			}
		})
	}
}

// TestPartitionBlamesNoEndpoint guards against taking connections that are lost together
// with the path for crashes of sound endpoints: suspending these at the other daemons, or
// quarantining the requests that ran.
func TestPartitionBlamesNoEndpoint(t *testing.T) {
	const (
		daemons     = 11
		partitioned = 7
	)
	c := newCluster(t, daemons, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	startEndpoints(t, c, 6, 100*time.Millisecond)
	s := newCallers(t, c, 40*time.Millisecond)
	s.run(time.Second)
	// Several daemons lose a run of the same request, as they do if its caller retries.
	s.body = func(_, n int) string { return fmt.Sprint("shared", n) }
	cut := time.AfterFunc(500*time.Millisecond, func() {
		for i := range partitioned {
			c.networks[i].set(resetPartition, nil)
		}
	})
	defer cut.Stop()
	s.run(2 * time.Second)
	for i, f := range c.fleets {
		if n := len(f.proxy.Quarantine()); n > 0 {
			t.Errorf("daemon %d has %d requests in quarantine, want none", i, n)
		}
		if n := c.logs[i].count("endpoint suspended"); i >= partitioned && n > 0 {
			t.Errorf("daemon %d with a path has suspended endpoints %d times, want never", i, n)
		}
	}
}

// TestPartialPartition guards against failing requests, and against using other daemons
// for all of them, at a daemon that has lost its path to some endpoints only.
func TestPartialPartition(t *testing.T) {
	for _, test := range partitionForms {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			c.put(0, 1)
			c.awaitInForce(1)
			endpoints := startEndpoints(t, c, 6, 20*time.Millisecond)
			s := newCallers(t, c, 20*time.Millisecond)
			s.run(500 * time.Millisecond)
			lost := endpoints.addresses[:3]
			c.networks[0].set(test.form, func(a string) bool { return slices.Contains(lost, a) })
			s.run(contactTime)
			s.count(true)
			s.run(time.Second)
			if cut, _ := s.total(1); cut.rate() < 0.95 {
				t.Errorf("%d of %d requests served, want 95 in 100", cut.ok, cut.sent)
			}
			if c.fleets[0].paths.dialer.Partitioned() {
				t.Error("daemon counts as partitioned, want so only without a path to any endpoint")
			}
			c.networks[0].set(connected, nil)
			c.await("paths are back", func() bool {
				return !slices.ContainsFunc(lost, func(a string) bool { return !c.fleets[0].paths.dialer.PrefersDirect(a) })
			})
		})
	}
}

// TestRelaysStop guards against requests that run twice, or that are refused as not run
// although they ran, and against failing the callers of a partitioned daemon for longer
// than it takes to choose another relay, when the daemons that relay for it stop.
func TestRelaysStop(t *testing.T) {
	const daemons = 5
	c := newCluster(t, daemons, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	endpoints := startEndpoints(t, c, 6, 50*time.Millisecond)
	front := c.fleets[4]
	c.networks[4].set(silentPartition, nil)
	s := newCallers(t, &cluster{fleets: []*Fleet{front}}, 5*time.Millisecond)
	s.run(time.Second)
	s.count(true)
	stop := time.AfterFunc(500*time.Millisecond, func() {
		c.stop(0)
		c.stop(1)
	})
	defer stop.Stop()
	s.run(3 * time.Second)
	_, got := s.total(0)
	t.Logf("%d of %d requests served", got.ok, got.sent)
	if got.rate() < 0.9 {
		t.Errorf("%d of %d requests served while two of four relays stop, want 9 in 10", got.ok, got.sent)
	}
	if _, twice := endpoints.total(); twice > 0 {
		t.Errorf("%d requests ran twice, want none", twice)
	}
	for _, body := range s.rejected {
		if endpoints.ran(body) {
			t.Errorf("request %q was refused as not run, but ran", body)
		}
	}
	if front.paths.dialer.Stats().Relayed == 0 {
		t.Error("no connection was relayed")
	}
}

// TestPauseHoldsForRelayedRequests guards against requests that reach an endpoint over the
// connections of a daemon which it has asked for a pause, because another daemon sends
// them through that one.
func TestPauseHoldsForRelayedRequests(t *testing.T) {
	const pause = 2 * time.Second
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	if err := c.fleets[0].Announce(t.Context(), Announcement{
		Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: server.Listener.Addr().String(), Slots: 7}, Born: 1, Sequence: 1,
	}); err != nil {
		t.Fatal(err)
	}
	for _, f := range c.fleets {
		c.await("endpoint is known", func() bool { return f.endpoints.count() == 1 })
	}
	for _, n := range c.networks[1:] {
		n.set(resetPartition, nil)
	}
	c.await("the request is relayed", func() bool {
		sendParts(t, c.fleets[1])
		return arrived.Load() > 0
	})
	// The daemon that relays learns of the pause within the time of a report.
	c.await("the pause is known where it was asked for", func() bool {
		_, ok := c.fleets[0].node.Get(kindPause + "/e")
		return ok
	})
	before := arrived.Load()
	for range 10 {
		sendParts(t, c.fleets[0])
		sendParts(t, c.fleets[1])
	}
	if n := arrived.Load() - before; n > 0 {
		t.Errorf("%d requests arrive in the pause, want none", n)
	}
}

// TestSilentPartitionIsFoundByQuietDaemon guards against a daemon with few requests and
// many idle connections that sends its requests over them one after the other, for as long
// as none is left, after its path has fallen silent.
func TestSilentPartitionIsFoundByQuietDaemon(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	startEndpoints(t, c, 6, 100*time.Millisecond)
	s := newCallers(t, &cluster{fleets: c.fleets[:1]}, 3*time.Millisecond)
	s.run(500 * time.Millisecond)
	c.networks[0].set(silentPartition, nil)
	s.interval = 250 * time.Millisecond
	s.run(contactTime)
	if !c.fleets[0].paths.dialer.Partitioned() {
		t.Errorf("daemon hasn't found the partition %v after it", contactTime)
	}
	s.count(true)
	s.run(time.Second)
	if _, got := s.total(0); got.rate() < 0.9 {
		t.Errorf("%d of %d requests served, want 9 in 10", got.ok, got.sent)
	}
}
