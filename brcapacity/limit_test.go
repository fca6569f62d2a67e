package brcapacity

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"bramleyroute/brdaemon"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// Size and limits of the target deployment.
const (
	daemonCount   = 400
	endpointCount = 2600.0
	customerCount = 860
	poolCount     = 12     // 4 models in 3 regions
	requestRate   = 3000.0 // per second
	changesPerDay = 4200.0
	bytesBudget   = 21_000.0  // control traffic in bytes per second and daemon
	memoryBudget  = 256 << 20 // bytes per daemon
	secondsPerDay = 86_400.0
	segmentHeader = 52  // bytes of IPv4, TCP and its timestamps
	frameHeader   = 8   // bytes of a masked WebSocket frame of 126 bytes or more
	postHeaders   = 300 // approximate bytes of the HTTP headers of an announcement and its response
)

// Guards against messages that grow until the control traffic of a daemon with
// the entry role exceeds its budget of 21 KB/s at the size of the target. The
// limit applies to the bytes on its connections. The sum including TCP/IP
// headers, for one segment and one acknowledgement per message, is logged and
// listed in docs/CAPACITY.md.
func TestEntryBytesBudget(t *testing.T) {
	heartbeat, reply, ack := sessionBytes(t)
	m := &stateMachine{t: t, state: brstate.New(), at: startTime}
	m.fill(daemonCount, customerCount)
	c := m.state.View().Configuration.Customers[0]
	c.Weight++
	change := wireBytes(t, brwire.NameChange, brdaemon.ViewUpdate{Changes: []brstate.Change{m.change(c)}})
	request := 0
	for _, n := range requestBytes(t) {
		request += n + frameHeader
	}
	report := wireBytes(t, brwire.NameReport, toPool(announcement(1, 1_000_000)))
	postBody, err := json.Marshal(announcement(1, 1_000_000))
	if err != nil {
		t.Fatal(err)
	}
	var bytes, onWire, session float64
	for _, part := range []struct {
		name           string
		bytes          int
		messages, rate float64 // number of messages that bytes covers together, and their rate per second
		session        bool
	}{
		{"session", heartbeat + reply + ack + 3*frameHeader, 3, 1, true},
		{"changes", change + frameHeader, 1, changesPerDay / secondsPerDay, true},
		{"daemons that register and leave", change + frameHeader, 1, 2 * 249 / secondsPerDay, true},
		{"pings of 10 links, both ends", 20 * (7 + frameHeader), 20, 1, true},
		{"requests", request, 6, requestRate / daemonCount, false},
		{"reports forwarded", report + frameHeader, 1, endpointCount / daemonCount, false},
		{"reports posted", len(postBody) + postHeaders, 2, endpointCount / daemonCount, false},
	} {
		n, wire := float64(part.bytes)*part.rate, (float64(part.bytes)+2*segmentHeader*part.messages)*part.rate
		t.Logf("%s: %d B, %.0f B/s, with TCP/IP headers %.0f B/s", part.name, part.bytes, n, wire)
		bytes, onWire = bytes+n, onWire+wire
		if part.session {
			session += wire
		}
	}
	t.Logf("sum %.0f B/s, with TCP/IP headers %.0f B/s", bytes, onWire)
	if session > bytesBudget/4 {
		t.Errorf("session, changes and pings of a daemon take %.0f B/s with headers, want at most a quarter of %.0f B/s", session, bytesBudget)
	}
	if bytes > bytesBudget {
		t.Errorf("control messages of an entry take %.0f B/s, want at most %.0f B/s", bytes, bytesBudget)
	}
}

// sessionBytes returns the sizes in bytes of a heartbeat, its reply and its
// acknowledgement.
func sessionBytes(t *testing.T) (heartbeat, reply, ack int) {
	self := announcedDaemon(1)
	return wireBytes(t, brwire.NameHeartbeat, brwire.Heartbeat{Daemon: self, Revision: 1 << 30, Sequence: 1 << 20}),
		wireBytes(t, "reply", brwire.HeartbeatReply{Confirmed: true, Sequence: 1 << 20, Revision: 1 << 30, Age: time.Second}),
		wireBytes(t, brwire.NameHeartbeatAck, brwire.HeartbeatAck{DaemonID: self.ID, Sequence: 1 << 20, Revision: 1 << 30, Age: time.Second, ConfirmedFor: time.Hour})
}

// Guards against a change that is sent as the whole view, or that a replica
// processes anew for each watcher. Since part of the cost is fixed, it must grow by
// less than the number of watchers does.
func TestFanOut(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	const few, many, maxRatio = 100, daemonCount, 3
	small, large := fanOut(t, few), fanOut(t, many)
	t.Logf("a change: %v of processor time and %d allocations with %d watchers, %v and %d with %d, %.0f B per watcher",
		small.processor, small.allocations, few, large.processor, large.allocations, many, large.bytesPerWatcher)
	if ratio := float64(large.processor) / float64(small.processor); ratio > maxRatio {
		t.Errorf("a change with %d watchers takes %.1f times the processor time of one with %d, want at most %d times", many, ratio, few, maxRatio)
	}
	if ratio := float64(large.allocations) / float64(small.allocations); ratio > maxRatio {
		t.Errorf("a change with %d watchers takes %.1f times the allocations of one with %d, want at most %d times", many, ratio, few, maxRatio)
	}
	if large.bytesPerWatcher > 1024 {
		t.Errorf("a change takes %.0f B per watcher, want at most 1,024", large.bytesPerWatcher)
	}
}

// changeCost is the cost of a change at a replica and its watchers in this process. Its
// processor time and allocations are the least of several changes: garbage collection,
// pings and other tests take part of some changes, up to five times the least time.
type changeCost struct {
	processor       time.Duration
	allocations     uint64
	bytesPerWatcher float64
}

// fanOut returns the cost of a change with n watchers, which only count the received
// bytes.
func fanOut(t *testing.T, n int) changeCost {
	t.Helper()
	peers, _, _ := startControl(t, 1)
	o := dialOperator(t, peers[0].Address)
	// Wait until the replica has registered itself, since that is a change too and
	// would be counted.
	o.until("registered", func(v brstate.View) bool { return len(v.Daemons) == 1 })
	o.propose(brstate.Command{PutConfiguration: &brstate.PutConfiguration{Document: document(customerCount)}})
	o.until("configured", func(v brstate.View) bool { return len(v.Configuration.Customers) == customerCount })
	const changes = 12
	received := make(chan int, n*(changes+1))
	m := &brpeer.Mux{}
	brpeer.HandlePush(m, brwire.NameChange, func(_ *brpeer.Conn, b brwire.RawMessage) { received <- len(b) })
	from := o.view().Revision
	for range n {
		c, err := brpeer.Dial(t.Context(), peers[0].Address, brpeer.Keys{peerKey}, m)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := brpeer.Push(c, brwire.NameWatch, brwire.Watch{From: from}); err != nil {
			t.Fatal(err)
		}
		<-received
	}
	cost, sum := changeCost{processor: math.MaxInt64, allocations: math.MaxUint64}, 0
	for i := range changes {
		processor, allocations := processorTime(), allocationCount()
		o.change(i)
		for range n {
			sum += <-received
		}
		cost.processor = min(cost.processor, processorTime()-processor)
		cost.allocations = min(cost.allocations, allocationCount()-allocations)
	}
	cost.bytesPerWatcher = float64(sum) / changes / float64(n)
	return cost
}

// allocationCount returns the number of allocations of this process so far.
func allocationCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// Guards against connections that allocate memory in advance. At the size of the
// target, a daemon that queries all others has two links to each of them, which
// must fit into half of its 256 MB.
func TestLinkMemory(t *testing.T) {
	peers, _, _ := startControl(t, 1)
	const links = 100
	before := heapBytes()
	for range links {
		c, err := brpeer.Dial(t.Context(), peers[0].Address, brpeer.Keys{peerKey}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	perEnd := (heapBytes() - before) / links / 2 // both ends are in this process
	t.Logf("%.0f KiB of heap for one end of a link", perEnd/1024)
	if limit := float64(memoryBudget) / 2 / (2 * (daemonCount - 1)); perEnd > limit {
		t.Errorf("one end of a link takes %.0f B of heap, want at most %.0f B", perEnd, limit)
	}
}

// Guards against records of ended requests that exceed the memory of one pool's
// scheduler, which stores 250 request IDs a second for 10 minutes.
func TestSchedulerMemory(t *testing.T) {
	const n = 20_000
	p := newPool(217, 1<<30)
	before := heapBytes()
	for i := range n {
		if !runRequest(p, startTime.Add(time.Duration(i)*10*time.Microsecond), i) {
			t.Fatal("request not granted")
		}
	}
	total := (heapBytes() - before) / n * requestRate / poolCount * 600
	t.Logf("IDs of ended requests take %.0f MB", total/1e6)
	if total > memoryBudget/2 {
		t.Errorf("IDs of ended requests take %.0f B, want at most %d B", total, memoryBudget/2)
	}
	if p.Status().Finished != n {
		t.Errorf("%d request IDs stored, want %d", p.Status().Finished, n)
	}
}

// announcedDaemon returns the i-th daemon with addresses of realistic length.
func announcedDaemon(i int) brwire.Daemon {
	return brwire.Daemon{ID: fmt.Sprintf("vm-%03d", i), Incarnation: fmt.Sprintf("00000000-0000-7000-8000-%012d", i), Roles: []brwire.Role{brwire.RoleEntry},
		PeerAddress: "10.1.100.100:8081", CallerAddress: "10.1.100.100:8080", Region: "gauteng", FailureDomain: "gauteng-a"}
}
