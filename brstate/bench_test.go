package brstate

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brlease"
	"bramleyroute/brledger"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

// changeCustomer returns a command that changes the weight of one customer.
func changeCustomer(m *machine, i int) Command {
	c := m.View().Configuration.Customers[0]
	c.Weight = 1 + i%100
	return Command{PutConfiguration: &PutConfiguration{Expected: m.View().ConfigurationRevision, Change: &brconfig.Change{Customers: []brconfig.Customer{c}}}}
}

// BenchmarkApply measures each kind of command with a configuration of 860 customers.
// The time includes creating and encoding the command.
func BenchmarkApply(b *testing.B) {
	response := brledger.Response{Status: 200, Body: make([]byte, 512)}
	kinds := []struct {
		name string
		make func(m *machine, i int) []Command // returns the commands to apply, in order
	}{
		{"put_configuration", func(m *machine, i int) []Command { return []Command{changeCustomer(m, i)} }},
		{"register_deregister_daemon", func(m *machine, i int) []Command {
			id := fmt.Sprint("vm-", i%400)
			return []Command{{RegisterDaemon: &RegisterDaemon{brwire.Daemon{ID: id}}}, {DeregisterDaemon: &DeregisterDaemon{DaemonID: id}}}
		}},
		{"acquire_release_lease", func(m *machine, i int) []Command {
			l, _ := m.Lease(PoolLease("p"))
			return []Command{{AcquireLease: &brlease.Acquire{Name: l.Name + "p", Holder: "a", Duration: time.Second}}, {ReleaseLease: &brlease.Release{Name: "p", Holder: "a", Epoch: uint64(i + 1)}}}
		}},
		{"renew_lease", func(m *machine, i int) []Command {
			if i == 0 {
				m.must(Command{AcquireLease: &brlease.Acquire{Name: "p", Holder: "a", Duration: time.Second}})
			}
			return []Command{{RenewLease: &brlease.Renew{Name: "p", Holder: "a", Epoch: 1}}}
		}},
		{"begin_finish_request", func(m *machine, i int) []Command {
			m.at = m.at.Add(2 * time.Second) // so that 43,200 records are stored
			id := ledgerID(m.at, i)
			return []Command{{BeginRequest: &brledger.Begin{RequestID: id, Entry: "a", Endpoint: "10.0.0.1:8000"}}, {FinishRequest: &brledger.Finish{RequestID: id, Entry: "a", Response: response}}}
		}},
		{"begin_release_request", func(m *machine, i int) []Command {
			id := ledgerID(m.at, i)
			return []Command{{BeginRequest: &brledger.Begin{RequestID: id, Entry: "a", Endpoint: "10.0.0.1:8000"}}, {ReleaseRequest: &brledger.Release{RequestID: id, Entry: "a"}}}
		}},
		{"start_update_finish_rollout", func(m *machine, i int) []Command {
			id, at := fmt.Sprint("r", i), m.Index()
			return []Command{{StartRollout: &StartRollout{ID: id, Model: "large", From: "v1", To: "v2", FinishBy: m.at.Add(time.Hour)}},
				{UpdateRollout: &UpdateRollout{ID: id, Expected: at + 1, SharePerMille: 10}}, {FinishRollout: &FinishRollout{ID: id, Expected: at + 2, Outcome: Finished}}}
		}},
		{"place_finish_order", func(m *machine, i int) []Command {
			if i == 0 {
				m.must(Command{AcquireLease: &brlease.Acquire{Name: "p", Holder: "a", Duration: time.Second}})
			}
			m.at = m.at.Add(10 * time.Second) // so that 8,640 orders are stored
			id := fmt.Sprint("o", i)
			return []Command{{PlaceOrder: &PlaceOrder{ID: id, Lease: "p", Holder: "a", Epoch: 1, EndpointID: "e", Kind: "load"}}, {FinishOrder: &FinishOrder{ID: id, OK: true}}}
		}},
	}
	for _, k := range kinds {
		b.Run(k.name, func(b *testing.B) {
			m := newMachine(b)
			m.must(putDocument(0, document(860)))
			b.ReportAllocs()
			commands := 0
			for i := 0; b.Loop(); i++ {
				for _, c := range k.make(m, i) {
					m.must(c)
					commands++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(commands), "ns/command")
		})
	}
}

func ledgerID(t time.Time, n int) string {
	id := uuid.MustParse(requestID(t, 0))
	id[13], id[14], id[15] = byte(n>>16), byte(n>>8), byte(n)
	return id.String()
}

// BenchmarkChangeBytes measures the time in which a daemon decodes, applies and
// compiles the change of one customer. It reports the encoded sizes of the change and
// of the whole view.
func BenchmarkChangeBytes(b *testing.B) {
	for _, n := range []int{5, 860} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			m := newMachine(b)
			m.must(putDocument(0, document(n)))
			before := m.View()
			_, change := m.do(changeCustomer(m, 41))
			data := mustEncode(*change)
			for b.Loop() {
				c, _ := brwire.Decode[Change](data)
				v := before.With(c)
				if _, err := brconfig.Compile(v.Configuration, v.Revision); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "change-bytes")
			b.ReportMetric(float64(len(mustEncode(m.View()))), "view-bytes")
		})
	}
}

// BenchmarkSnapshot measures a snapshot and a restore with 860 customers and
// 20,000 finished requests of 512 B.
func BenchmarkSnapshot(b *testing.B) {
	m := newMachine(b)
	m.must(putDocument(0, document(860)))
	for i := range 20_000 {
		id := ledgerID(m.at, i)
		m.must(Command{BeginRequest: &brledger.Begin{RequestID: id, Entry: "a", Endpoint: "10.0.0.1:8000"}})
		m.must(Command{FinishRequest: &brledger.Finish{RequestID: id, Entry: "a", Response: brledger.Response{Status: 200, Body: make([]byte, 512)}}})
	}
	data := m.Snapshot()
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			m.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if _, err := Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
