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

const endTimeout = 20 * time.Second

// Guards against a setting that the daemon doesn't pass on to the entry: the
// route states no stuck_ms, so the stream that sends keep-alives and no tokens
// ends after stuck_timeout, and the log line names the request.
func TestStuckTimeout(t *testing.T) {
	c := newCluster(t, spec{daemons: 1, controls: 1, settings: map[string]string{"STUCK_TIMEOUT": "1500ms"}})
	e := c.addFake("engine-1")
	e.fault(brfake.FaultRequest{Faults: brfake.Faults{StuckRequest: "*", StuckAt: 3}})
	id := newID()
	began := time.Now()
	a := complete(testContext(t), c.daemons[0].caller, call{id: id})
	if took := time.Since(began); a.failure.Kind != "stuck" || took < 1500*time.Millisecond || took > 6*time.Second {
		t.Errorf("answer after %v: %+v", took, a)
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
		t.Error("no log line names the stuck request with its tier, endpoint and revision")
	}
}

// Guards against a drain that reaches another daemon than the named one, that
// cuts a request off, or whose process doesn't end; and against an answer that
// hides which daemon is gone.
func TestDrainCommand(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3})
	c.addFake("engine-1", "--step-base=20ms")
	drained, other := c.daemons[1], c.daemons[2]
	id, started := newID(), make(chan struct{})
	var once sync.Once
	answered := make(chan answer, 1)
	go func() {
		answered <- complete(testContext(t), drained.caller, call{id: id, route: "draft", maxTokens: 50, onToken: func(int) { once.Do(func() { close(started) }) }})
	}()
	<-started
	if _, errs, code := c.ctl([]*daemon{other}, "drain", "vm9"); code != brctl.ExitInvalid || !strings.Contains(errs, "daemon_id") {
		t.Errorf("drain of an unknown daemon: code %d, %s", code, errs)
	}
	if _, errs, code := c.ctl([]*daemon{other}, "drain", drained.id); code != brctl.ExitOK {
		t.Fatalf("drain: code %d, %s", code, errs)
	}
	if a := <-answered; !a.right(id, 0, 50) {
		t.Errorf("request of the drained daemon: %+v", a)
	}
	drained.waitEnd(endTimeout)
	if code := drained.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the drained daemon ended with code %d", code)
	}
	c.eventually("drained daemon off the register", func() bool {
		out, _, code := c.ctl([]*daemon{other}, "members")
		return code == brctl.ExitOK && !strings.Contains(out, drained.id) && strings.Contains(out, other.id)
	})
	if out, _, code := c.ctl([]*daemon{drained, other}, "status"); code != brctl.ExitOK || !strings.Contains(out, other.id) {
		t.Errorf("status at the second address: code %d, %s", code, out)
	}
}

// Guards against a request that fails while the peer key is replaced as the
// operations page says: three rounds of restarts, one daemon at a time, with
// requests at the daemons that are ready. The entries assign the ids.
func TestPeerKeyReplaced(t *testing.T) {
	const oldKey, newKey = "peer-key-00000001", "peer-key-00000002"
	rollingRestart(t, func() string { return "" }, oldKey+","+newKey, newKey+","+oldKey, newKey)
}

// Guards against a planned stop of a pool's owner after which requests with ids
// of their callers are refused as unknown, although nothing was lost.
func TestRollingRestartCallersIDs(t *testing.T) {
	rollingRestart(t, newID, "peer-key-00000001")
}

// rollingRestart restarts the daemons one after the other for each of the peer
// keys, while requests go to those that are ready.
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
			case a.right(a.id, 0, 8):
				served, slowest = served+1, max(slowest, a.first)
			case a.status == 0 || a.failure.Outcome == "not_run": // the daemon stopped after it was asked
			default:
				t.Errorf("request through %s: %+v", d.id, a)
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
		t.Error("no request was served")
	}
	t.Logf("%d requests served during %d restarts, the slowest first token after %v", served, 3*len(rounds), slowest.Round(time.Millisecond))
}
