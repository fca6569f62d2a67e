package brsystem

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brtest"
)

// The size of a crowd, and the limits that it must not break. They stay as they are: a fault
// that shows with them isn't mended by a smaller crowd or wider bounds.
const (
	crowdBodyBytes   = 1 << 20 // max_body_bytes
	crowdBufferBytes = 8 << 20 // entry_buffer_bytes
	crowdMaxConns    = 200     // max_connections
	crowdBodies      = 120
	crowdConns       = 800
	// crowdMemoryBytes bounds the growth of the resident memory: requests that arrive and
	// those that are held have a limit each, and as much again may be garbage.
	crowdMemoryBytes = 4 * crowdBufferBytes
	// crowdFDs bounds the number of descriptors.
	crowdFDs          = crowdMaxConns + 100
	crowdWriteTimeout = 3 * time.Second
)

// TestCrowds guards against callers, peers and operators that take the memory or the
// descriptors of a daemon by what they send and leave unfinished, so that others get no
// answer.
func TestCrowds(t *testing.T) {
	head := func(framing string) string {
		return fmt.Sprintf("POST %s%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: lookup\r\n%s\r\n\r\n",
			brengine.PathServices, service, customerKey, brengine.HeaderRoute, framing)
	}
	unfinished := strings.Repeat("x", crowdBodyBytes-1)
	half := "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 8<<10)
	for _, test := range []struct {
		name    string
		address func(d *daemon) string
		conns   int
		text    string
	}{
		{"whole", callerAddress, crowdBodies, head(fmt.Sprint("Content-Length: ", crowdBodyBytes)) + unfinished},
		{"one chunk", callerAddress, crowdBodies, head("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n", crowdBodyBytes) + unfinished},
		{"announcements", func(d *daemon) string { return d.peer }, crowdBodies,
			fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n{\"endpoint_id\":\"", brengine.PathAnnounce, crowdBodyBytes) + unfinished[:crowdBodyBytes-20]},
		{"half a header", callerAddress, crowdConns, half},
		{"half a header to peers", func(d *daemon) string { return d.peer }, crowdConns, half},
		{"half a header to operators", func(d *daemon) string { return d.operator }, crowdConns, half},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, spec{daemons: 1, controls: 1, settings: map[string]string{
				"MAX_BODY_BYTES": fmt.Sprint(crowdBodyBytes), "ENTRY_BUFFER_BYTES": fmt.Sprint(crowdBufferBytes), "MAX_CONNECTIONS": fmt.Sprint(crowdMaxConns),
			}})
			c.addFake("lookup-1", "--kind=service", "--model="+service, "--capacity-tokens=5")
			d := c.daemons[0]
			c.awaitLookups(t, d, "before the crowd")
			before := d.status(t, "VmRSS:")
			conns := sendCrowd(test.address(d), test.conns, test.text)
			c.awaitLookups(t, d, "beside the crowd")
			fds := d.openFiles(t)
			growth := d.status(t, "VmHWM:") - before
			for _, conn := range conns {
				conn.Close()
			}
			t.Logf("memory grew by %.1f MB, %d descriptors", float64(growth)/(1<<20), fds)
			if growth > crowdMemoryBytes || fds > crowdFDs {
				t.Errorf("memory grew by %d bytes, %d descriptors; want at most %d and %d", growth, fds, crowdMemoryBytes, crowdFDs)
			}
		})
	}
}

func callerAddress(d *daemon) string { return d.caller }

// awaitLookups sends a usual request and one of the largest size until both are answered.
func (c *cluster) awaitLookups(t *testing.T, d *daemon, when string) {
	t.Helper()
	for _, n := range []int{1, crowdBodyBytes} {
		brtest.Await(t, eventuallyTimeout, fmt.Sprintf("a request of %d bytes %s", n, when), func() bool {
			r, err := http.NewRequest("POST", "http://"+d.caller+brengine.PathServices+service+"/x", strings.NewReader(strings.Repeat("x", n)))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set(brengine.HeaderRoute, "lookup")
			return send(r, call{id: newID()}).status == http.StatusOK
		})
	}
}

// sendCrowd opens n connections and returns them when each has sent what is taken of text.
func sendCrowd(address string, n int, text string) []net.Conn {
	var conns []net.Conn
	var sent sync.WaitGroup
	for range n {
		c, err := net.DialTimeout("tcp", address, crowdWriteTimeout)
		if err != nil {
			continue // refused, which is allowed
		}
		conns = append(conns, c)
		sent.Go(func() {
			_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			_, _ = io.WriteString(c, text) // the daemon may have closed it
		})
	}
	sent.Wait()
	return conns
}

// status returns a value in bytes of the status of the process.
func (d *daemon) status(t *testing.T, name string) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid.Load()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), name)
	line, _, _ := strings.Cut(rest, "kB")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// openFiles returns the number of open descriptors of the process.
func (d *daemon) openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.pid.Load()))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}
