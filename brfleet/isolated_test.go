package brfleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
func startEndpoints(t *testing.T, c *cluster, n int, latency time.Duration) []*httptest.Server {
	t.Helper()
	var servers []*httptest.Server
	for i := range n {
		var responses atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		servers = append(servers, server)
		if err := c.fleets[0].Announce(Announcement{
			Endpoint: brplace.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: server.Listener.Addr().String(), Slots: 7}, Born: 1, Sequence: 1,
		}); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == n })
	}
	return servers
}

// served counts the requests of the callers of some daemons.
type served struct{ sent, ok int }

func (s served) rate() float64 { return float64(s.ok) / float64(max(1, s.sent)) }

// callers sends requests to each of the daemons of a cluster, one each interval, and
// counts those sent after counting has begun.
type callers struct {
	cluster  *cluster
	fronts   []*httptest.Server
	interval time.Duration

	mu       sync.Mutex
	counting bool
	results  []served // by daemon
}

func newCallers(t *testing.T, c *cluster, interval time.Duration) *callers {
	s := &callers{cluster: c, interval: interval, results: make([]served, len(c.fleets))}
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
				wg.Go(func() { s.send(i, fmt.Sprint(i, n, from)) })
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
	ok := false
	if err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		ok = err == nil && response.StatusCode == http.StatusOK && string(body) == "ok"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
