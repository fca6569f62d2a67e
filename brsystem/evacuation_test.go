package brsystem

import (
	"strings"
	"testing"

	"bramleyroute/brctl"
	"bramleyroute/broperator"
)

// Guards against an evacuation that bramleyctl reports as ordered and that is lost with the
// control leader, that the pool's owner doesn't follow, or that goes on after its withdrawal.
func TestEvacuation(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	inA, inB := c.addFake("engine-a", "--failure-domain=a"), c.addFake("engine-b", "--failure-domain=b")
	ctx := testContext(t)
	change := func(args ...string) {
		t.Helper()
		if out, errs, code := c.ctl(c.daemons, append([]string{"evacuation"}, args...)...); code != brctl.ExitOK {
			t.Fatalf("%v: exit code %d, %s, %s; want success", args, code, out, errs)
		}
	}
	reached := func(f *fake) int {
		n := 0
		for _, requests := range f.counts().Requests {
			n += requests
		}
		return n
	}
	const requests = 12
	serve := func(when string) {
		t.Helper()
		for i := range requests {
			if a := complete(ctx, c.daemons[i%len(c.daemons)].caller, call{maxTokens: 5}); a.err != nil || !a.finished {
				t.Errorf("%s: %+v, want a complete response", when, a)
			}
		}
	}
	change("order", "a")
	c.eventually("endpoint is evacuated", func() bool { return c.endpointState("engine-a") == "evacuated" })
	before := reached(inA)
	serve("a is evacuated")
	if n := reached(inA) - before; n > 0 || reached(inB) < requests {
		t.Errorf("%d requests reached the evacuated endpoint and %d the other one, want none and %d", n, reached(inB), requests)
	}

	leader := c.controlLeader(t)
	leader.kill()
	leader.start()
	c.waitReady(leader)
	c.eventually("evacuations are listed after the loss of the leader", func() bool {
		out, _, code := c.ctl([]*daemon{leader}, "evacuation", "list", "-o", "json")
		list := []broperator.Evacuation{}
		if code == brctl.ExitOK {
			list = fromJSON[[]broperator.Evacuation](t, out)
		}
		return len(list) == 1 && list[0].Domain == "a"
	})
	change("order", "b")
	c.eventually("both are evacuated", func() bool { return c.endpointState("engine-b") == "evacuated" })
	if a := complete(ctx, c.daemons[0].caller, call{maxTokens: 5}); a.failure.Outcome != "not_run" || a.failure.RetryAfterMS == 0 {
		t.Errorf("no endpoint is left: %+v, want a refusal with the time to come back", a)
	}
	change("withdraw", "a")
	change("withdraw", "b")
	c.eventually("endpoints are used again", func() bool {
		return c.endpointState("engine-a") == "in_use" && c.endpointState("engine-b") == "in_use"
	})
	serve("nothing is evacuated")
	if out, _, _ := c.ctl(c.daemons, "evacuation", "list", "-o", "json"); strings.TrimSpace(out) != "[]" {
		t.Errorf("evacuations %s, want none", out)
	}
}
