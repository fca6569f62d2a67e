package brsystem

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brctl"
	"bramleyroute/brfake"
)

// endTimeout is the time within which a daemon must end after a planned stop.
const endTimeout = 20 * time.Second

// Guards against a stuck_timeout setting that doesn't take effect in the entry.
// The route has no stuck_ms, so a stream that sends keep-alives without tokens
// must end after stuck_timeout, and a log line must name the request.
func TestStuckTimeout(t *testing.T) {
	c := newCluster(t, spec{daemons: 1, controls: 1, settings: map[string]string{"STUCK_TIMEOUT": "1500ms"}})
	e := c.addFake("engine-1")
	e.injectFault(brfake.FaultRequest{Faults: brfake.Faults{StuckRequest: "*", StuckAt: 3}})
	id := newID()
	began := time.Now()
	a := complete(testContext(t), c.daemons[0].caller, call{id: id})
	if took := time.Since(began); a.failure.Kind != "stuck" || took < 1500*time.Millisecond || took > 6*time.Second {
		t.Errorf("response after %v: %+v, want error stuck after 1.5s to 6s", took, a)
	}
	log, err := os.ReadFile(c.daemons[0].logs.Name())
	if err != nil {
		t.Fatal(err)
	}
	found := false
	for line := range strings.Lines(string(log)) {
		found = found || strings.Contains(line, "stuck and was ended") && strings.Contains(line, id) && strings.Contains(line, `"tier":1`) &&
			strings.Contains(line, `"endpoint_id":"engine-1"`) && strings.Contains(line, `"revision":`)
	}
	if !found {
		t.Error("no log line names the stuck request with its tier, endpoint and revision, want one")
	}
}

// Guards against a drain command that drains a daemon other than the named one,
// breaks a running request or leaves the process running, against a list of
// members that still has the drained daemon, and against a command that fails
// because the daemon at its first address has stopped.
func TestDrainCommand(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3})
	c.addFake("engine-1", "--step-base=20ms")
	drained, other := c.daemons[1], c.daemons[2]
	id, started := newID(), make(chan struct{})
	var once sync.Once
	responses := make(chan response, 1)
	go func() {
		responses <- complete(testContext(t), drained.caller, call{id: id, route: "draft", maxTokens: 50, onToken: func(int) { once.Do(func() { close(started) }) }})
	}()
	<-started
	if _, errs, code := c.ctl([]*daemon{other}, "drain", "vm9"); code != brctl.ExitInvalid || !strings.Contains(errs, "daemon_id") {
		t.Errorf("drain of an unknown daemon: exit code %d, %s; want the code for invalid input and the field daemon_id", code, errs)
	}
	if _, errs, code := c.ctl([]*daemon{other}, "drain", drained.id); code != brctl.ExitOK {
		t.Fatalf("drain: exit code %d, %s; want success", code, errs)
	}
	if a := <-responses; !a.matches(id, 0, 50) {
		t.Errorf("request running on the drained daemon: %+v, want a complete response", a)
	}
	drained.waitEnd(endTimeout)
	if code := drained.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code of the drained daemon %d, want 0", code)
	}
	c.eventually("drained daemon removed from the members", func() bool {
		out, _, code := c.ctl([]*daemon{other}, "members")
		return code == brctl.ExitOK && !strings.Contains(out, drained.id) && strings.Contains(out, other.id)
	})
	if out, _, code := c.ctl([]*daemon{drained, other}, "status"); code != brctl.ExitOK || !strings.Contains(out, other.id) {
		t.Errorf("status through the second address: exit code %d, %s; want success and the remaining daemon", code, out)
	}
}

// Guards against requests that fail while the peer key is replaced as the
// operations page describes: three rounds of restarts, one daemon at a time,
// with requests to the daemons that are ready. The entries assign the request
// IDs.
func TestPeerKeyReplaced(t *testing.T) {
	const oldKey, newKey = "peer-key-00000001", "peer-key-00000002"
	rollingRestart(t, func() string { return "" }, oldKey+","+newKey, newKey+","+oldKey, newKey)
}

// Guards against a planned stop of a pool's owner after which requests with IDs
// chosen by their callers are refused as unknown, although no record was lost.
func TestRollingRestartCallersIDs(t *testing.T) {
	rollingRestart(t, newID, "peer-key-00000001")
}

// rollingRestart restarts all daemons one after the other, once for each value
// of the peer keys in rounds, while requests go to the daemons that are ready.
// requestID returns the ID of each request; if empty, the entry assigns one.
func rollingRestart(t *testing.T, requestID func() string, rounds ...string) {
	c := newCluster(t, spec{daemons: 3, controls: 3})
	c.addFake("engine-1")
	ctx := testContext(t)
	var stopped atomic.Bool
	var served int
	var slowest time.Duration
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; !stopped.Load(); i++ {
			d := c.daemons[i%3]
			if !ready(d) {
				continue
			}
			a := complete(ctx, d.caller, call{id: requestID()})
			switch {
			case a.matches(a.id, 0, 8):
				served, slowest = served+1, max(slowest, a.firstToken)
			case a.status == 0 || a.failure.Outcome == "not_run": // the daemon stopped between the readiness check and the request
			default:
				t.Errorf("request through %s: %+v, want a complete response or a refusal with outcome not_run", d.id, a)
			}
		}
	}()
	for _, keys := range rounds {
		for _, d := range c.daemons {
			d.signal(syscall.SIGTERM)
			d.waitEnd(endTimeout)
			d.env = append(d.env, "BRAMLEYROUTE_PEER_KEYS="+keys)
			d.start()
			c.waitReady(d)
		}
	}
	stopped.Store(true)
	<-done
	if served == 0 {
		t.Error("no request was served, want at least one")
	}
	t.Logf("%d requests served during %d restarts, the slowest first token after %v", served, 3*len(rounds), slowest.Round(time.Millisecond))
}
