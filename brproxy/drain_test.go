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
