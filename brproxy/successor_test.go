package brproxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// runCounter counts the runs of each request that are in progress.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] += n
}

func (c *runCounter) get(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// TestHandOverKeepsOrder guards against events that are missing or come twice, and against
// two runs at the same time, when a stream goes on elsewhere while its endpoint goes on
// too. It also guards against placements and connections that are never released.
func TestHandOverKeepsOrder(t *testing.T) {
	const (
		streams   = 120
		length    = 12
		maxPause  = 45 * time.Millisecond
		stallTime = 20 * time.Millisecond // half of the time until callers disconnect
		seed      = 1
	)
	var pauses sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	randomPause := func() time.Duration {
		pauses.Lock()
		defer pauses.Unlock()
		if random.IntN(4) > 0 {
			return 0
		}
		return time.Duration(random.Int64N(int64(maxPause)))
	}
	counter := &runCounter{runs: map[string]int{}}
	handler := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Id")
		counter.add(id, 1)
		defer counter.add(id, -1)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := last + 1; i <= length; i++ {
			if !pause(r, randomPause()) {
				return
			}
			send(w, event(i))
		}
	}
	s := newSystem(t, handler, handler, handler)
	policy := testPolicy()
	for i := range policy.Routes {
		policy.Routes[i].CallerTimeout, policy.Routes[i].MaxAttempts = 2*stallTime, 3
	}
	s.proxy.SetPolicy(brpolicy.Compile(policy))
	for i, e := range s.endpoints {
		s.proxy.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Address: e.address, Slots: streams,
		}})
	}
	var wg sync.WaitGroup
	for i := range streams {
		s.proxy.mu.Lock()
		for range 20 {
			s.proxy.limiter.CountRequest("s") // fills the retry budget
		}
		s.proxy.mu.Unlock()
		id := strconv.Itoa(i)
		wg.Go(func() {
			status, body, complete := s.do(t, "POST", "/resume/", map[string]string{"Id": id})
			if diff := cmp.Diff(events(length), body); diff != "" || status != http.StatusOK || !complete {
				t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
			}
		})
		time.Sleep(10 * time.Millisecond)
		if i%10 == 9 {
			for id := range i {
				brtest.Await(t, 400*time.Millisecond, "one run of a request", func() bool { return counter.get(strconv.Itoa(id)) <= 1 })
			}
		}
	}
	wg.Wait()
	if n := s.proxy.Stats().Retries.Load(); n < streams/10 {
		t.Errorf("%d streams went on elsewhere, want at least %d: the test shows nothing", n, streams/10)
	}
	brtest.Await(t, time.Second, "no request is counted at an endpoint", func() bool {
		for _, u := range s.proxy.PlacementReport(time.Minute) {
			if u.Active != 0 {
				return false
			}
		}
		return s.proxy.Waiting() == 0
	})
}

// TestSuccessorThatCantBeReached guards against ending a run for an endpoint that then
// refuses the connection, while a third one would take the request.
func TestSuccessorThatCantBeReached(t *testing.T) {
	hang := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "1" {
			send(w, event(2))
			return
		}
		send(w, event(1))
		<-r.Context().Done()
	}
	s := newSilentSystem(t, hang, hang, hang)
	s.preferFirst()
	s.occupy("e2", 1) // the second is chosen first
	s.endpoints[1].server.Close()
	status, body, complete := s.do(t, "POST", "/resume/", nil)
	if diff := cmp.Diff(events(2), body); diff != "" || status != http.StatusOK || !complete {
		t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
	}
	if n := s.endpoints[2].arrivals(); n != 1 {
		t.Errorf("%d arrivals at the third endpoint, want 1", n)
	}
	if n := s.proxy.Stats().Retries.Load(); n != 1 {
		t.Errorf("%d retries were taken from the budget, want 1", n)
	}
}
