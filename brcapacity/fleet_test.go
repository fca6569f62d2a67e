package brcapacity

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brdaemon"
	"bramleyroute/brpeer"
	"bramleyroute/brsetting"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

var (
	measure = flag.Bool("measure", false, "run the measurements for docs/CAPACITY.md")
	peerKey = "peer-key-00000001"
)

// traffic counts the bytes with WebSocket framing on the connections of a
// listener, and the reads and writes. Each read or write is about one TCP
// segment.
type traffic struct{ in, out, reads, writes atomic.Int64 }

// countedListener counts the traffic of the connections that it accepts.
type countedListener struct {
	net.Listener
	*traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.traffic}, err
}

type countedConn struct {
	net.Conn
	*traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	c.reads.Add(1)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// listen returns a listener on a free loopback port. It panics if it can't
// listen.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// startDaemon starts a daemon in this process and counts the traffic of its peer
// listener in counters.
func startDaemon(id string, l net.Listener, counters *traffic, peers []brsetting.ControlPeer, dir string, roles ...brwire.Role) (*brdaemon.Daemon, error) {
	s := brsetting.Settings{
		DaemonID: id, Roles: roles, Region: "local", FailureDomain: "domain-a", ControlPeers: peers, DataDir: dir,
		PeerKeys: []string{peerKey}, MaxBodyBytes: 1 << 20, EntryBufferRequests: 100, EntryBufferBytes: 1 << 24,
		StallTimeout: time.Second, StuckTimeout: time.Minute, TimelineEvents: 1000, LeaseDuration: 3 * time.Second,
	}
	o := brdaemon.Options{Log: zerolog.Nop(), PeerListener: countedListener{l, counters}, Fatal: func(err error) { panic(err) }}
	if roles[0] == brwire.RoleEntry {
		o.CallerListener = listen()
	}
	return brdaemon.Start(s, o)
}

// controlDaemon is a daemon with the control role and its data directory.
type controlDaemon struct {
	*brdaemon.Daemon
	dir string
}

// startControl starts n control replicas in this process, which share one
// traffic counter, and closes them at the end of the test.
func startControl(t testing.TB, n int) (peers []brsetting.ControlPeer, daemons []controlDaemon, counters *traffic) {
	var ls []net.Listener
	counters = &traffic{}
	for i := range n {
		ls = append(ls, listen())
		peers = append(peers, brsetting.ControlPeer{DaemonID: fmt.Sprint("control-", i), Address: ls[i].Addr().String()})
	}
	for i, p := range peers {
		dir := t.TempDir()
		d, err := startDaemon(p.DaemonID, ls[i], counters, peers, dir, brwire.RoleControl)
		if err != nil {
			t.Fatal(err)
		}
		daemons = append(daemons, controlDaemon{d, dir})
	}
	t.Cleanup(func() {
		for _, d := range daemons {
			_ = d.Close()
		}
	})
	return peers, daemons, counters
}

// fleet is a child process with daemons or light clients. It is controlled
// through its standard input and output.
type fleet struct {
	t   testing.TB
	cmd *exec.Cmd
	in  *os.File
	out *bufio.Scanner
}

// startFleet starts a child process with n daemons of a role, or n light
// clients, and ends it at the end of the test.
func startFleet(t testing.TB, n int, role brwire.Role, peers []brsetting.ControlPeer) *fleet {
	var list []string
	for _, p := range peers {
		list = append(list, p.DaemonID+"="+p.Address)
	}
	f := &fleet{t: t, cmd: exec.Command(os.Args[0], "-test.run=^$")}
	f.cmd.Env = append(os.Environ(), "BRCAPACITY_FLEET="+fmt.Sprint(n), "BRCAPACITY_ROLE="+string(role), "BRCAPACITY_PEERS="+strings.Join(list, ","))
	f.cmd.Stderr = os.Stderr
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	f.cmd.Stdin, f.in = r, w
	out, err := f.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	f.out = bufio.NewScanner(out)
	if err := f.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r.Close()
	t.Cleanup(func() {
		w.Close() // the child process exits when its input is closed
		_ = f.cmd.Wait()
	})
	return f
}

// usage is the resource usage of the child process and the state of its daemons.
type usage struct {
	At                    int64 // UnixNano
	CPU                   time.Duration
	In, Out, Read, Writes int64  // bytes received and sent, numbers of reads and writes
	Heap, Stack           uint64 // bytes
	Goroutines, Ready     int    // Ready is the number of ready daemons
	Applied               int    // number of daemons that applied the requested revision
	AppliedAt             int64  // UnixNano at which the last of them applied it
}

// readUsage returns the usage of the child process, with Applied for the given
// revision. Revision 0 omits Applied, and memoryOnly adds the memory figures.
func (f *fleet) readUsage(revision uint64) (u usage) {
	f.t.Helper()
	fmt.Fprintln(f.in, revision)
	if !f.out.Scan() {
		f.t.Fatal("fleet process ended before it replied")
	}
	if _, err := fmt.Sscan(f.out.Text(), &u.At, &u.CPU, &u.In, &u.Out, &u.Read, &u.Writes, &u.Heap, &u.Stack, &u.Goroutines, &u.Ready, &u.Applied, &u.AppliedAt); err != nil {
		f.t.Fatal(f.out.Text(), err)
	}
	return u
}

// until polls readUsage until ok returns true and fails the test after d.
func (f *fleet) until(d time.Duration, what string, revision uint64, ok func(usage) bool) usage {
	f.t.Helper()
	end := time.Now().Add(d)
	for {
		u := f.readUsage(revision)
		if ok(u) {
			return u
		}
		if time.Now().After(end) {
			f.t.Fatalf("not within %v: %s; last usage %+v", d, what, u)
		}
		time.Sleep(20 * time.Millisecond) // polling interval
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	if n := os.Getenv("BRCAPACITY_FLEET"); n != "" {
		if err := runFleet(n); err != nil {
			fmt.Fprintln(os.Stderr, "brcapacity: fleet:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runFleet is the main function of the child process of a fleet. It starts the
// daemons or light clients and replies to each revision on standard input with a
// line of usage.
func runFleet(count string) error {
	var n int
	if _, err := fmt.Sscan(count, &n); err != nil {
		return err
	}
	var peers []brsetting.ControlPeer
	for _, p := range strings.Split(os.Getenv("BRCAPACITY_PEERS"), ",") {
		id, address, _ := strings.Cut(p, "=")
		peers = append(peers, brsetting.ControlPeer{DaemonID: id, Address: address})
	}
	counters := &traffic{}
	var daemons []*brdaemon.Daemon
	var lights []*lightClient
	for i := range n {
		if os.Getenv("BRCAPACITY_ROLE") == roleLight {
			l, err := startLight(i, peers[i%len(peers)])
			if err != nil {
				return err
			}
			lights = append(lights, l)
			continue
		}
		d, err := startDaemon(fmt.Sprintf("vm-%03d", i), listen(), counters, peers, "", brwire.Role(os.Getenv("BRCAPACITY_ROLE")))
		if err != nil {
			return err
		}
		daemons = append(daemons, d)
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var revision uint64
		if _, err := fmt.Sscan(in.Text(), &revision); err != nil {
			return err
		}
		u := usageOf(daemons, revision)
		u.In, u.Out, u.Read, u.Writes = counters.in.Load(), counters.out.Load(), counters.reads.Load(), counters.writes.Load()
		for _, l := range lights {
			l.addTo(&u, revision)
		}
		fmt.Println(u.At, int64(u.CPU), u.In, u.Out, u.Read, u.Writes, u.Heap, u.Stack, u.Goroutines, u.Ready, u.Applied, u.AppliedAt)
	}
	return nil
}

// usageOf returns the usage of this process without its traffic.
func usageOf(daemons []*brdaemon.Daemon, revision uint64) (u usage) {
	u.At, u.CPU, u.Goroutines = time.Now().UnixNano(), processorTime(), runtime.NumGoroutine()
	for _, d := range daemons {
		if d.Ready() == nil {
			u.Ready++
		}
		if revision == 0 {
			continue
		}
		for _, e := range d.Recorder().Events(brtimeline.Filter{}) {
			if e.Kind == brtimeline.ConfigurationApplied && e.Revision >= revision {
				u.Applied++
				u.AppliedAt = max(u.AppliedAt, e.Stamp.Wall)
				break
			}
		}
	}
	if revision == memoryOnly {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		u.Heap, u.Stack = m.HeapAlloc, m.StackInuse
	}
	return u
}

// memoryOnly is a revision that no daemon reaches. It requests a garbage
// collection and the memory figures.
const memoryOnly = 1 << 62

// processorTime returns the user and system time of this process. It panics if
// the time can't be read.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// operator is a link to a control replica for proposing commands and fetching
// the view.
type operator struct {
	t testing.TB
	c *brpeer.Conn
}

// dialOperator opens a link to the control replica at an address and closes it
// at the end of the test.
func dialOperator(t testing.TB, address string) operator {
	c, err := brpeer.Dial(t.Context(), address, brpeer.Keys{peerKey}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return operator{t, c}
}

// propose proposes a command and retries it with the same ID for up to 10 s.
func (o operator) propose(cmd brstate.Command) brwire.ProposeReply {
	o.t.Helper()
	cmd.ID = uuid.NewString()
	data, err := cmd.Encode()
	if err != nil {
		o.t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		r, err := brpeer.Call[brwire.Propose, brwire.ProposeReply](ctx, o.c, brwire.NamePropose, brwire.Propose{CommandID: cmd.ID, Command: data})
		cancel()
		if err == nil && r.Error == nil {
			return r
		}
		if time.Now().After(end) {
			o.t.Fatal(err, r.Error)
		}
	}
}

// view fetches the view of the replica's daemon.
func (o operator) view() brstate.View {
	o.t.Helper()
	u, err := brpeer.Call[brwire.Watch, brdaemon.ViewUpdate](context.Background(), o.c, brwire.NameFetch, brwire.Watch{})
	if err != nil {
		o.t.Fatal(err)
	}
	return *u.View
}

// until polls the view of the replica's daemon until ok returns true and fails
// the test after 10 s.
func (o operator) until(what string, ok func(brstate.View) bool) {
	o.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(o.view()); {
		if time.Now().After(end) {
			o.t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(20 * time.Millisecond) // polling interval
	}
}
