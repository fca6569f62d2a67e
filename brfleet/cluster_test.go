package brfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brcore"
	"bramleyroute/brheader"
	"bramleyroute/brpolicy"
	"bramleyroute/brproxy"
	"bramleyroute/brtest"

	"github.com/rs/zerolog"
)

// cluster is a fleet of daemons on loopback. The first ones have a disk.
type cluster struct {
	t         testing.TB
	addresses []string
	dirs      []string // empty for a daemon without a disk
	fleets    []*Fleet // nil while stopped
	// networks holds the path of each daemon to the endpoints; it may be changed while
	// the daemon runs.
	networks []*endpointNetwork
	logs     []*logCounter // by daemon
	disks    []*testDisk   // by daemon
}

// logCounter counts the log entries of a daemon by their message.
type logCounter struct {
	mu       sync.Mutex
	messages map[string]int
}

// Write counts one log entry.
func (l *logCounter) Write(b []byte) (int, error) {
	var entry struct{ Message string }
	if err := json.Unmarshal(b, &entry); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages[entry.Message]++
	return len(b), nil
}

// count returns the number of entries with a message.
func (l *logCounter) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.messages[message]
}

func newCluster(t testing.TB, daemons, disks int) *cluster {
	t.Helper()
	c := &cluster{t: t, fleets: make([]*Fleet, daemons)}
	for i := range daemons {
		c.addresses = append(c.addresses, brtest.FreeAddress(t))
		dir := ""
		if i < disks {
			dir = filepath.Join(t.TempDir(), "data")
		}
		c.dirs = append(c.dirs, dir)
		c.networks = append(c.networks, &endpointNetwork{})
		c.logs = append(c.logs, &logCounter{messages: map[string]int{}})
		c.disks = append(c.disks, &testDisk{dir: dir})
	}
	for i := range daemons {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.fleets {
			c.stop(i)
		}
	})
	return c
}

func (c *cluster) start(i int, bootstrap bool) {
	c.t.Helper()
	f, err := Start(Config{
		ID: fmt.Sprint("d", i), Address: c.addresses[i], FailureDomain: "z", Dir: c.dirs[i], Tolerance: 1, Bootstrap: bootstrap,
		Seeds:        func() []string { return c.addresses[:min(3, len(c.addresses))] },
		DialEndpoint: c.networks[i].dial,
		Dialect: brproxy.Dialect{
			Decode: func(r *http.Request) (brproxy.CallParams, error) {
				return brproxy.CallParams{ID: r.Header.Get("Id"), PromptParts: r.Header.Values("Part")}, nil
			},
			EncodeHeader: func(in http.Header, _ brproxy.DispatchParams) http.Header { return in },
			NotRun:       func(res *brconn.Response) bool { return res.Header.Get("Not-Run") != "" },
			Misdirected:  func(*brconn.Response) bool { return false },
			Leaving:      func(res *brconn.Response) bool { return res.Header.Get("Leaving") != "" },
			RateLimit: func(res *brconn.Response) (float64, bool, error) {
				return brheader.RateLimit(res.Header.Values("Limit"))
			},
			RejectionLimit: func(res *brconn.Response) (int, bool, error) {
				return brheader.RejectionLimit(res.Header.Values("Rejections"))
			},
		},
		DecodePolicy: func(body []byte) (brpolicy.Policy, error) {
			var p brpolicy.Policy
			err := json.Unmarshal(body, &p)
			return p, err
		},
		Log: zerolog.New(c.logs[i]),
		WAL: c.disks[i].options(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.fleets[i] = f
}

func (c *cluster) stop(i int) {
	if c.fleets[i] != nil {
		c.fleets[i].Close()
		c.fleets[i] = nil
	}
}

func testPolicy(t testing.TB, version uint64) []byte {
	t.Helper()
	body, err := json.Marshal(brpolicy.Policy{
		Version: version, Services: []brpolicy.Service{{Name: "s"}},
		Routes: []brpolicy.Route{{
			Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Timeout: time.Second, FirstByteTarget: time.Second,
			Targets: []brpolicy.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// put sends a policy to daemon i and retries until it is acknowledged, as an
// operator does.
func (c *cluster) put(i int, version uint64) {
	c.t.Helper()
	c.putBody(i, version, testPolicy(c.t, version))
}

// putBody is as put, with the given body of the policy.
func (c *cluster) putBody(i int, version uint64, body []byte) {
	c.t.Helper()
	c.await(fmt.Sprintf("policy %d acknowledged", version), func() bool {
		err := c.fleets[i].PutPolicy(context.Background(), body)
		if err != nil && !errors.Is(err, brcore.ErrUnavailable) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

// await polls a condition that spans several daemons, since no single event
// signals it.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	brtest.Await(c.t, 20*time.Second, what, f)
}

func (c *cluster) awaitInForce(version uint64) {
	c.t.Helper()
	for i, f := range c.fleets {
		if f == nil {
			continue
		}
		c.await(fmt.Sprintf("policy %d in force at daemon %d", version, i), func() bool {
			t := f.Proxy().Table()
			return t != nil && t.Policy().Version == version
		})
	}
}

// read returns the policy version that daemon i reads, or 0 if it can't confirm
// the newest one.
func (c *cluster) read(i int) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	d, err := c.fleets[i].Policy(ctx)
	if err != nil {
		return 0
	}
	return d.Version
}
