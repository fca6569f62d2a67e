package brfleet

import (
	"context"
	"testing"

	"bramleyroute/brlog"
	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

// TestOddLogMessages guards against a message of a faulty daemon that ends the replicas.
func TestOddLogMessages(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	type envelope struct {
		Address string        `cbor:"address"`
		Message brlog.Message `cbor:"message"`
	}
	entry := brlog.Entry{Index: 1 << 40, Term: 1 << 20, Kind: brlog.EntryNoop}
	for i, f := range c.fleets {
		status, ok := f.core.Status()
		if !ok {
			t.Fatalf("daemon %d has no replica", i)
		}
		conn, err := brpeer.Dial(context.Background(), c.addresses[i], nil, &brpeer.Mux{})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for _, m := range []brlog.Message{
			{Kind: brlog.MessageSnapshot, Index: 1 << 40, LogTerm: 1},
			{Kind: brlog.MessageAppend, Entries: []brlog.Entry{entry}},
			{Kind: 99},
		} {
			m.From, m.To, m.Term = "x", status.ID, status.Term+100
			if err := brpeer.Push(conn, brwire.NameLog, envelope{"127.0.0.1:1", m}); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.put(1, 2)
	c.awaitInForce(2)
}
