package brcapacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bramleyroute/brdaemon"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// The target's figures.
const (
	daemons       = 400
	workers       = 2600.0
	customers     = 860
	pools         = 12     // 4 models in 3 regions
	requestRate   = 3000.0 // a second
	changesADay   = 4200.0
	bytesBudget   = 21_000.0 // a second and daemon, for control
	memoryBudget  = 256 << 20
	secondsADay   = 86_400.0
	segmentHeader = 52  // bytes of IPv4, TCP and its timestamps
	frameHeader   = 8   // bytes of a masked WebSocket frame of 126 bytes or more
	postHeaders   = 300 // bytes of the HTTP headers of an announcement and its answer, about
)

// Guards against messages that grow until the control traffic of a daemon with
// the role entry exceeds its share of 21 KB/s at the target. What is bounded are
// the bytes on its connections; the sum with TCP/IP headers, for one segment and
// one acknowledgement for each message, is logged and is in docs/CAPACITY.md.
func TestEntryBytesBudget(t *testing.T) {
	heartbeat, reply, ack := sessionBytes(t)
	m := &machine{t: t, state: brstate.New(), at: start}
	m.fill(daemons, customers)
	c := m.state.View().Configuration.Customers[0]
	c.Weight++
	change := wireBytes(t, brwire.NameChange, brdaemon.Update{Changes: []brstate.Change{m.change(c)}})
	request := 0
	for _, n := range requestBytes(t) {
		request += n + frameHeader
	}
	report := wireBytes(t, brwire.NameReport, pooled(announcement(1, 1_000_000)))
	posted, err := json.Marshal(announcement(1, 1_000_000))
	if err != nil {
		t.Fatal(err)
	}
	var bytes, onWire, session float64
	for _, part := range []struct {
		name           string
		bytes          int
		messages, rate float64 // messages of these bytes together, and how often a second
		session        bool
	}{
		{"session", heartbeat + reply + ack + 3*frameHeader, 3, 1, true},
		{"changes", change + frameHeader, 1, changesADay / secondsADay, true},
		{"daemons that come and go", change + frameHeader, 1, 2 * 249 / secondsADay, true},
		{"pings of 10 links, both ends", 20 * (7 + frameHeader), 20, 1, true},
		{"requests", request, 6, requestRate / daemons, false},
		{"reports passed on", report + frameHeader, 1, workers / daemons, false},
		{"reports posted", len(posted) + postHeaders, 2, workers / daemons, false},
	} {
		n, wire := float64(part.bytes)*part.rate, (float64(part.bytes)+2*segmentHeader*part.messages)*part.rate
		t.Logf("%s: %d B, %.0f B/s, with TCP/IP headers %.0f B/s", part.name, part.bytes, n, wire)
		bytes, onWire = bytes+n, onWire+wire
		if part.session {
			session += wire
		}
	}
	t.Logf("together %.0f B/s, with TCP/IP headers %.0f B/s", bytes, onWire)
	if session > bytesBudget/4 {
		t.Errorf("session, changes and pings take %.0f B/s of a daemon with headers, want at most a quarter of %.0f", session, bytesBudget)
	}
	if bytes > bytesBudget {
		t.Errorf("control messages of an entry take %.0f B/s, want at most %.0f", bytes, bytesBudget)
	}
}

// sessionBytes returns the bytes of a heartbeat, its reply and the
// acknowledgement.
func sessionBytes(t *testing.T) (heartbeat, reply, ack int) {
	self := announcedDaemon(1)
	return wireBytes(t, brwire.NameHeartbeat, brwire.Heartbeat{Daemon: self, Revision: 1 << 30, Sequence: 1 << 20}),
		wireBytes(t, "reply", brwire.HeartbeatReply{Confirmed: true, Sequence: 1 << 20, Revision: 1 << 30, Age: time.Second}),
		wireBytes(t, brwire.NameHeartbeatAck, brwire.HeartbeatAck{DaemonID: self.ID, Sequence: 1 << 20, Revision: 1 << 30, Age: time.Second, ConfirmedFor: time.Hour})
}

// Guards against a change that goes out as the whole view, or on which a replica
// works in full for each watcher. The processor time has a fixed part, so it may
// grow by less than the number of watchers does.
func TestFanOut(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	const few, many, most = 100, daemons, 3
	small, _ := fanOut(t, few)
	large, bytes := fanOut(t, many)
	t.Logf("a change: %.2f ms of processor to %d watchers, %.2f ms to %d, %.0f B for each", small*1000, few, large*1000, many, bytes)
	if ratio := large / small; ratio > most {
		t.Errorf("a change to %d watchers takes %.1f times as long as to %d, want at most %d", many, ratio, few, most)
	}
	if bytes > 1024 {
		t.Errorf("a change takes %.0f B for each watcher, want at most 1,024", bytes)
	}
}

// fanOut returns the processor time in seconds of a change at a replica and n
// watchers in this process, which only count what they receive, and its bytes
// for each watcher.
func fanOut(t *testing.T, n int) (seconds, bytes float64) {
	t.Helper()
	peers, _, _ := startControl(t, 1)
	o := dialOperator(t, peers[0].Address)
	// The replica registers itself; a change of its own would be counted.
	o.until("registered", func(v brstate.View) bool { return len(v.Daemons) == 1 })
	o.propose(brstate.Command{PutConfiguration: &brstate.PutConfiguration{Document: document(customers)}})
	o.until("configured", func(v brstate.View) bool { return len(v.Configuration.Customers) == customers })
	const changes = 5
	got := make(chan int, n*(changes+1))
	m := &brpeer.Mux{}
	brpeer.HandlePush(m, brwire.NameChange, func(_ *brpeer.Conn, b brwire.RawMessage) { got <- len(b) })
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
		<-got
	}
	before, sum := processorTime(), 0
	for i := range changes {
		o.change(i)
		for range n {
			sum += <-got
		}
	}
	return (processorTime() - before).Seconds() / changes, float64(sum) / changes / float64(n)
}

// Guards against connections that hold memory in advance: at the target a daemon
// that asks all others has two links to each, which must fit into its 256 MB with
// half of them left.
func TestLinkMemory(t *testing.T) {
	peers, _, _ := startControl(t, 1)
	const links = 100
	before := heap()
	for range links {
		c, err := brpeer.Dial(t.Context(), peers[0].Address, brpeer.Keys{peerKey}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	each := (heap() - before) / links / 2 // both ends are in this process
	t.Logf("%.0f KiB of heap for one end of a link", each/1024)
	if limit := float64(memoryBudget) / 2 / (2 * (daemons - 1)); each > limit {
		t.Errorf("one end of a link holds %.0f B, want at most %.0f", each, limit)
	}
}

// Guards against ids, queued requests and endpoints that outgrow the memory of
// the scheduler of one pool: 250 requests a second are on record for 10 minutes.
func TestSchedulerMemory(t *testing.T) {
	const n = 20_000
	p := newPool(217, 1<<30)
	before := heap()
	for i := range n {
		if !run(p, start.Add(time.Duration(i)*10*time.Microsecond), i) {
			t.Fatal("not granted")
		}
	}
	ended := (heap() - before) / n * requestRate / pools * 600
	t.Logf("ended ids take %.0f MB", ended/1e6)
	if ended > memoryBudget/2 {
		t.Errorf("ended ids take %.0f B, want at most %d", ended, memoryBudget/2)
	}
	if p.Status().Finished != n {
		t.Errorf("%d ids on record, want %d", p.Status().Finished, n)
	}
}

func announcedDaemon(i int) brwire.Daemon {
	return brwire.Daemon{ID: fmt.Sprintf("vm-%03d", i), Incarnation: fmt.Sprintf("00000000-0000-7000-8000-%012d", i), Roles: []brwire.Role{brwire.RoleEntry},
		PeerAddress: "10.1.100.100:8081", CallerAddress: "10.1.100.100:8080", Region: "gauteng", FailureDomain: "gauteng-a"}
}
