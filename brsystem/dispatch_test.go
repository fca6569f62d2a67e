package brsystem

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/broperator"
)

// Guards against a response that is lost, or a request that runs again, when the
// entry that streams it is killed. The caller must get the rest through another
// entry.
func TestEntryKilledMidStream(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	e := c.addFake("engine-1", "--step-base=10ms")
	ctx := testContext(t)
	victim, other := c.daemons[3], c.daemons[0]
	if c.owner(model) == victim {
		victim, other = other, victim
	}
	id := newID()
	var once sync.Once
	first := complete(ctx, victim.caller, call{id: id, route: "draft", maxTokens: 200, onToken: func(n int) {
		if n >= 20 {
			once.Do(victim.kill)
		}
	}})
	if first.finished || first.tokens < 20 {
		t.Fatalf("stream through the killed entry: %+v, want it broken after 20 tokens or more", first)
	}
	rest := resume(ctx, other.caller, id, first.tokens)
	if !rest.matches(id, first.tokens, 200) {
		t.Errorf("rest from token %d: %+v, want all tokens to 200", first.tokens, rest)
	}
	if again := complete(ctx, other.caller, call{id: id, route: "draft", maxTokens: 200}); again.status != http.StatusConflict {
		t.Errorf("resend: %+v, want status 409", again)
	}
	if n := e.counts().Requests[id]; n != 1 {
		t.Errorf("the engine received the request %d times, want 1", n)
	}
}

// Guards against streams that hang on connections that no longer carry data
// while new connections work.
func TestStalledConnections(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3})
	e := c.addFake("engine-1", "--step-base=10ms")
	ctx := testContext(t)
	var wg, reached sync.WaitGroup
	ids := make([]string, 12)
	reached.Add(len(ids))
	for i := range ids {
		ids[i] = newID()
		var once sync.Once
		wg.Go(func() {
			a := complete(ctx, c.daemons[i%3].caller, call{id: ids[i], route: "draft", maxTokens: 300, onToken: func(n int) {
				if n >= 10 {
					once.Do(reached.Done)
				}
			}})
			if !a.matches(ids[i], 0, 300) {
				t.Errorf("request %d: %+v, want a complete response", i, a)
			}
		})
	}
	reached.Wait()
	e.injectFault(brfake.FaultRequest{Silence: true})
	wg.Wait()
	counts := e.counts()
	if counts.Resumes < len(ids) || counts.Duplicates != 0 {
		t.Errorf("%d resumes of %d streams, %d duplicates; want at least one resume for each stream and no duplicates", counts.Resumes, len(ids), counts.Duplicates)
	}
}

// Guards against a request that is run again on another engine after its engine
// was killed, and against a response that says it was not run.
func TestEngineKilledMidStream(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3})
	engines := []*fake{c.addFake("engine-1", "--step-base=10ms"), c.addFake("engine-2", "--step-base=10ms")}
	ctx := testContext(t)
	id := newID()
	var once sync.Once
	a := complete(ctx, c.daemons[0].caller, call{id: id, route: "draft", maxTokens: 300, onToken: func(n int) {
		once.Do(func() {
			for _, e := range engines {
				if e.counts().Requests[id] > 0 {
					e.kill()
					e.proxy.Stop() // without its endpoint the proxy would still accept connections
				}
			}
		})
	}})
	if a.finished || a.failure.Outcome != "unknown" {
		t.Errorf("response after the engine was killed: %+v, want an incomplete one with outcome unknown", a)
	}
	again := complete(ctx, c.daemons[1].caller, call{id: id, route: "draft", maxTokens: 300})
	if again.status != http.StatusConflict {
		t.Errorf("resend: %+v, want status 409", again)
	}
	fresh := newID()
	if b := complete(ctx, c.daemons[1].caller, call{id: fresh, route: "draft", maxTokens: 20}); !b.matches(fresh, 0, 20) {
		t.Errorf("new request on the other engine: %+v, want a complete response", b)
	}
	for _, e := range engines {
		if e.cmd.ProcessState == nil && e.counts().Requests[id] > 0 {
			t.Error("the request reached a second engine")
		}
	}
}

// Guards against new requests on an endpoint 3 s after it announced that it is
// leaving, also through an entry that was frozen when the announcement came.
func TestLeavingEndpoint(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	leaving, staying := c.addFake("engine-1"), c.addFake("engine-2")
	ctx := testContext(t)
	frozen := c.daemons[3]
	if c.owner(model) == frozen {
		frozen = c.daemons[2] // not the first daemon, which serves the queries of endpointState
	}
	for range 6 {
		id := newID()
		if a := complete(ctx, frozen.caller, call{id: id}); !a.matches(id, 0, 8) {
			t.Fatalf("request before the endpoint leaves: %+v, want a complete response", a)
		}
	}
	frozen.freeze()
	leaving.mustOrder(brengine.Order{OrderID: "leave-1", Kind: brengine.OrderLeave, FencingToken: 1})
	leftAt := time.Now()
	c.eventually("engine-1 leaving", func() bool { s := c.endpointState("engine-1"); return s == "leaving" || s == "" })
	if took := time.Since(leftAt); took > 3*time.Second {
		t.Errorf("the scheduler shows the endpoint as leaving after %v, want at most 3s", took)
	}
	frozen.thaw()
	before := leaving.counts().Requests
	for i := range 24 {
		id := newID()
		if a := complete(ctx, c.daemons[i%4].caller, call{id: id}); a.status == http.StatusOK && !a.matches(id, 0, 8) {
			t.Errorf("request %d: %+v, want a complete response or a refusal", i, a)
		}
	}
	if after := leaving.counts().Requests; len(after) != len(before) {
		t.Errorf("the leaving endpoint received %d new requests, want 0", len(after)-len(before))
	}
	if len(staying.counts().Requests) == 0 {
		t.Error("the other endpoint received no requests, want some")
	}
}

// mustOrder sends an order to the endpoint and fails the test unless it is
// accepted.
func (f *fake) mustOrder(o brengine.Order) {
	f.t.Helper()
	if code := f.postOrder(o); code >= 300 {
		f.t.Fatalf("order %s: status %d, want it accepted", o.OrderID, code)
	}
}

// Guards against a planned stop of an entry that breaks a stream, accepts new
// work or never ends.
func TestGracefulStop(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	c.addFake("engine-1", "--step-base=10ms")
	ctx := testContext(t)
	stopping := c.daemons[3]
	var wg, reached sync.WaitGroup
	reached.Add(8)
	for i := range 8 {
		id := newID()
		var once sync.Once
		wg.Go(func() {
			a := complete(ctx, stopping.caller, call{id: id, route: "draft", maxTokens: 250, onToken: func(int) { once.Do(reached.Done) }})
			if !a.matches(id, 0, 250) {
				t.Errorf("stream %d: %+v, want a complete response", i, a)
			}
		})
	}
	reached.Wait()
	stopping.signal(syscall.SIGTERM)
	c.eventually("not ready", func() bool {
		res, err := http.Get("http://" + stopping.operator + "/readyz")
		if err != nil {
			return true
		}
		res.Body.Close()
		return res.StatusCode != http.StatusOK
	})
	if a := complete(ctx, stopping.caller, call{}); a.err == nil && (a.failure.Kind != "shutting_down" || a.failure.Outcome != "not_run" || a.failure.RetryAfterMS == 0) {
		t.Errorf("new request at the stopping entry: %+v, want shutting_down and not_run with a retry time", a)
	}
	wg.Wait()
	stopping.waitEnd(15 * time.Second)
	if code := stopping.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code of the stopped entry %d, want 0", code)
	}
}

// Guards against a stuck stream that is never ended or ends without a
// stream_stuck event, and against a slow stream that is treated as stuck.
func TestStuckStream(t *testing.T) {
	doc := document(nil)
	doc.Templates[0].Routes[1].StuckMS = 2000
	c := newCluster(t, spec{daemons: 3, controls: 3, document: &doc})
	e := c.addFake("engine-1", "--step-base=400ms")
	ctx := testContext(t)
	slow := newID()
	var wg sync.WaitGroup
	wg.Go(func() {
		if a := complete(ctx, c.daemons[0].caller, call{id: slow, route: "draft", maxTokens: 20}); !a.matches(slow, 0, 20) {
			t.Errorf("slow stream: %+v, want a complete response", a)
		}
	})
	stuck := newID()
	e.injectFault(brfake.FaultRequest{Faults: brfake.Faults{StuckRequest: stuck, StuckAt: 3}})
	a := complete(ctx, c.daemons[1].caller, call{id: stuck, route: "draft", maxTokens: 20})
	if a.failure.Kind != "stuck" || a.failure.Outcome != "unknown" {
		t.Errorf("stuck stream: %+v, want error stuck with outcome unknown", a)
	}
	wg.Wait()
	timeline, err := callOperator[broperator.TimelineQuery, broperator.Timeline](c.daemons[2], "POST", broperator.PathTimeline, broperator.TimelineQuery{})
	if err != nil {
		t.Fatal(err)
	}
	for _, ev := range timeline.Events {
		if ev.RequestID == stuck && ev.Kind.String() == "stream_stuck" {
			return
		}
	}
	t.Error("no stream_stuck event of the stuck request in the timeline")
}

// Guards against a booking that runs twice, or is reported as not run, when its
// entry is killed while the service executes it.
func TestBookingEntryKilled(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	b := c.addFake("booking-1", "--kind=service", "--model="+service, "--capacity-tokens=16", "--service-latency=1500ms")
	ctx := testContext(t)
	victim, other := c.daemons[3], c.daemons[1]
	if c.owner(service) == victim {
		victim, other = other, victim
	}
	id := newID()
	var wg sync.WaitGroup
	wg.Go(func() { invoke(ctx, victim.caller, "book", id) })
	c.eventually("booking at the service", func() bool { return b.counts().Requests[id] == 1 })
	victim.kill()
	wg.Wait()
	for range 5 {
		if a := invoke(ctx, other.caller, "book", id); a.status == http.StatusOK || a.failure.Outcome == "not_run" {
			t.Errorf("resend after the kill: %+v, want a failure with an outcome other than not_run", a)
		}
	}
	if n := b.counts().Requests[id]; n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
	fresh := newID()
	if a := invoke(ctx, other.caller, "book", fresh); a.status != http.StatusOK {
		t.Errorf("another booking: %+v, want status 200", a)
	}
}
