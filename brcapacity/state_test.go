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

// machine applies commands to a state without a log.
type machine struct {
	t     testing.TB
	state *brstate.State
	index uint64
	at    time.Time
}

func (m *machine) apply(c brstate.Command) *brstate.Change {
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

// change puts one customer.
func (m *machine) change(c brconfig.Customer) brstate.Change {
	return *m.apply(brstate.Command{PutConfiguration: &brstate.PutConfiguration{
		Expected: m.state.View().ConfigurationRevision, Change: &brconfig.Change{Customers: []brconfig.Customer{c}}}})
}

func (m *machine) fill(daemons, customers int) {
	m.apply(brstate.Command{PutConfiguration: &brstate.PutConfiguration{Document: document(customers)}})
	for i := range daemons {
		m.apply(brstate.Command{RegisterDaemon: &brstate.RegisterDaemon{Daemon: announcedDaemon(i)}})
	}
}

// Measures the control state at several sizes.
func TestMeasureState(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; needs -measure")
	}
	for _, k := range [][3]int{{10, 5, 0}, {400, 5, 0}, {400, 860, 0}, {400, 860, 10_000}, {400, 860, 50_000}} {
		before := heap()
		m := &machine{t: t, state: brstate.New(), at: start}
		m.fill(k[0], k[1])
		for i := range k[2] {
			id := requestID(m.at, i)
			m.apply(brstate.Command{BeginRequest: &brledger.Begin{RequestID: id, Entry: "vm-001", Endpoint: "10.0.0.1:8000"}})
			m.apply(brstate.Command{FinishRequest: &brledger.Finish{RequestID: id, Entry: "vm-001", Answer: brledger.Answer{Status: 200, Body: make([]byte, 512)}}})
		}
		used := heap() - before
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
