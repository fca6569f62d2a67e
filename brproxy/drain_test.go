package brproxy

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bramleyroute/brdrain"
	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// TestDrainEndsRequests guards against a stop that ends a request with neither an answer nor
// a refusal, wherever the request is at the end, that blames its endpoint, or that doesn't
// log why. The endpoint never responds.
func TestDrainEndsRequests(t *testing.T) {
	const never = "POST /never/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n"
	results := make(chan VersionResult, 10)
	s := newSystem(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	s.proxy.cfg.OnResult = func(r VersionResult) { results <- r }
	address := s.front.Address()
	open := func(id string, length int) *caller {
		c := s.dial(t, address)
		fmt.Fprintf(c, never, id, length)
		return c
	}
	sent := open("sent", 0)
	brtest.Await(t, 5*time.Second, "request is sent", func() bool { return s.arrivals() == 1 })
	s.occupy("e0", 10)
	body, waiting := open("body", 10), open("waiting", 0)
	brtest.Await(t, 5*time.Second, "request waits", func() bool { return s.proxy.Waiting() == 1 })
	now := time.Now()
	plan := brdrain.Plan{Steered: now.Add(100 * time.Millisecond), End: now.Add(time.Second)}
	ctx, cancel := context.WithDeadline(context.Background(), plan.End.Add(time.Second))
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.proxy.Drain(ctx, plan) }()
	time.Sleep(200 * time.Millisecond)
	late := open("late", 0)
	got := map[string]int{}
	got["late"], _ = late.receive()
	if time.Now().After(plan.End) {
		t.Error("late request was refused only at the end of the stop")
	}
	for name, c := range map[string]*caller{"sent": sent, "body": body, "waiting": waiting} {
		got[name], _ = c.receive()
	}
	if diff := cmp.Diff(map[string]int{"sent": 504, "body": 503, "waiting": 503, "late": 503}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if n := s.arrivals(); n != 1 {
		t.Errorf("%d requests were sent, want 1", n)
	}
	if len(results) != 0 {
		t.Errorf("result %+v was reported for an endpoint, want none", <-results)
	}
	logged := map[string]any{}
	for _, e := range append(s.log.entries(t, "refused"), s.log.entries(t, "failed")...) {
		if _, ok := e["stop_left_ms"]; ok {
			logged[e["id"].(string)] = e["reason"]
		}
	}
	if diff := cmp.Diff(map[string]any{"sent": "stopping", "body": "stopping", "waiting": "stopping", "late": "stopping"}, logged); diff != "" {
		t.Errorf("reasons in the log (-want +got):\n%s", diff)
	}
}

// TestDrainAdmitsByExperience guards against refusing streams that usually end in time,
// because their deadline is long, while load balancers still send them here.
func TestDrainAdmitsByExperience(t *testing.T) {
	s := newSystem(t, respond(200, "", event(1)))
	post := func() int {
		status, _, _ := s.do(t, "POST", "/stream/", nil)
		return status
	}
	for range 20 {
		post()
	}
	now := time.Now()
	plan := brdrain.Plan{Steered: now.Add(time.Second), End: now.Add(2 * time.Second)} // the deadline is 3 s
	drained := make(chan error, 1)
	go func() { drained <- s.proxy.Drain(context.Background(), plan) }()
	time.Sleep(100 * time.Millisecond)
	if status := post(); status != http.StatusOK {
		t.Errorf("status %d while load balancers send, want 200", status)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainRefusesWithoutBound guards against a stop that accepts a request when load balancers
// send no more, because those before it were short, and then cuts its response. The caller
// holds its connection by a stream that was in progress at the start of the stop.
func TestDrainRefusesWithoutBound(t *testing.T) {
	release := make(chan struct{})
	s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
		respond(200, "", event(1))(w, r)
		if r.Header.Get("Id") != "short" {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	})
	const stream = "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: 0\r\n\r\n"
	send := func(c *caller, id string) int {
		fmt.Fprintf(c, stream, id)
		status, _ := c.receive()
		return status
	}
	for range 120 {
		if status := send(s.dial(t, s.front.Address()), "short"); status != http.StatusOK {
			t.Fatalf("status %d before the stop, want 200", status)
		}
	}
	kept := s.dial(t, s.front.Address())
	fmt.Fprintf(kept, stream, "held")
	brtest.Await(t, 5*time.Second, "stream is in progress", func() bool { return s.arrivals() == 121 })
	now := time.Now()
	plan := brdrain.Plan{Steered: now.Add(50 * time.Millisecond), End: now.Add(2 * time.Second)} // the deadline is 3 s
	drained := make(chan error, 1)
	go func() { drained <- s.proxy.Drain(context.Background(), plan) }()
	time.Sleep(time.Until(plan.Steered.Add(50 * time.Millisecond)))
	close(release)
	held, _ := kept.receive()
	late := send(kept, "late")
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusServiceUnavailable}, []int{held, late}); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if n := s.arrivals(); n != 121 {
		t.Errorf("%d requests reached an endpoint, want 121 without the late one", n)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainEndsBeforeSteering guards against a stop whose grace period is shorter than the
// time in which load balancers learn of it, and that waits for them until nothing is left of
// the period: then connections are cut.
func TestDrainEndsBeforeSteering(t *testing.T) {
	s := newSystem(t, respond(200, "", ""))
	s.dial(t, s.front.Address())
	now := time.Now()
	plan := brdrain.Plan{Steered: now.Add(time.Minute), End: now.Add(200 * time.Millisecond)}
	ctx, cancel := context.WithDeadline(context.Background(), plan.End.Add(2*time.Second))
	defer cancel()
	if err := s.proxy.Drain(ctx, plan); err != nil {
		t.Error(err)
	}
}
