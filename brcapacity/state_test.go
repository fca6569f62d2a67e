package brcapacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brledger"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// stateMachine is a state machine that applies commands directly, without a log.
type stateMachine struct {
	t     testing.TB
	state *brstate.State
	index uint64
	at    time.Time
}

// apply applies a command that must succeed and returns its change.
func (m *stateMachine) apply(c brstate.Command) *brstate.Change {
	m.index++
	c.ID, c.At = fmt.Sprint("command-", m.index), m.at
	data, err := c.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	r, change := m.state.Apply(m.index, data)
	if r.Error != nil {
		m.t.Fatal(r.Error)
	}
	return change
}

// change replaces one customer in the configuration and returns the change.
func (m *stateMachine) change(c brconfig.Customer) brstate.Change {
	return *m.apply(brstate.Command{PutConfiguration: &brstate.PutConfiguration{
		Expected: m.state.View().ConfigurationRevision, Change: &brconfig.Change{Customers: []brconfig.Customer{c}}}})
}

// fill adds a configuration with customers and registers daemons.
func (m *stateMachine) fill(daemons, customers int) {
	m.apply(brstate.Command{PutConfiguration: &brstate.PutConfiguration{Document: document(customers)}})
	for i := range daemons {
		m.apply(brstate.Command{RegisterDaemon: &brstate.RegisterDaemon{Daemon: announcedDaemon(i)}})
	}
}

// Measures the memory, snapshot and view of the control state at different
// sizes.
func TestMeasureState(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure")
	}
	for _, k := range [][3]int{{10, 5, 0}, {400, 5, 0}, {400, 860, 0}, {400, 860, 10_000}, {400, 860, 50_000}} {
		before := heapBytes()
		m := &stateMachine{t: t, state: brstate.New(), at: startTime}
		m.fill(k[0], k[1])
		for i := range k[2] {
			id := requestID(m.at, i)
			m.apply(brstate.Command{BeginRequest: &brledger.Begin{RequestID: id, Entry: "vm-001", Endpoint: "10.0.0.1:8000"}})
			m.apply(brstate.Command{FinishRequest: &brledger.Finish{RequestID: id, Entry: "vm-001", Response: brledger.Response{Status: 200, Body: make([]byte, 512)}}})
		}
		used := heapBytes() - before
		at := time.Now()
		data := m.state.Snapshot()
		took := time.Since(at)
		view, err := brwire.Encode(m.state.View())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d daemons, %d customers, %d ledger records: heap %.2f MiB, snapshot %d B in %v, view %d B", k[0], k[1], k[2], used/(1<<20), len(data), took, len(view))
		runtime.KeepAlive(m)
	}
}
