package brfleet

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"strings"
	"testing"

	"bramleyroute/brgossip"
	"bramleyroute/brpeer"
	"bramleyroute/brplace"
)

// TestOddEndpointIDKeepsLinks guards against a heartbeat or withdrawal under an ID that
// isn't text, after which the daemon that took it loses its links to all others again
// and again: they follow no other endpoint any more.
func TestOddEndpointIDKeepsLinks(t *testing.T) {
	c := newCluster(t, 3, 0)
	for _, f := range c.fleets {
		c.await("links", func() bool { return len(f.node.LinkedAddresses()) == 2 })
	}
	link := c.fleets[1].node.Conn(c.addresses[0])
	odd := brplace.Endpoint{ID: "e\xff", Service: "s", Address: "10.0.0.1:1", Slots: 2}
	if err := c.fleets[0].Announce(t.Context(), Announcement{Endpoint: odd, Born: 1, Sequence: 1}); err == nil {
		t.Error("heartbeat under an ID of invalid UTF-8 was acknowledged")
	}
	if err := c.fleets[0].Withdraw(t.Context(), "w\xff"); err == nil {
		t.Error("withdrawal of an ID of invalid UTF-8 was acknowledged")
	}
	sound := brplace.Endpoint{ID: "e", Service: "s", Address: "10.0.0.2:1", Slots: 2}
	if err := c.fleets[0].Announce(t.Context(), Announcement{Endpoint: sound, Born: 1, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	for _, f := range c.fleets {
		c.await("sound endpoint is known", func() bool { _, ok := f.endpoints.serving("e"); return ok })
	}
	select {
	case <-link.Done():
		t.Error("a link was closed")
	default:
	}
}

// oddEndpointValues returns values of the record of an endpoint that name no endpoint to
// use, by what is odd about them.
func oddEndpointValues(id string) map[string][]byte {
	valid := brplace.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 2}
	with := func(change func(*Announcement)) []byte {
		a := Announcement{Endpoint: valid, Born: 1, Sequence: 1}
		change(&a)
		return encode(a)
	}
	nested := any(1)
	for range 30 {
		nested = []any{nested}
	}
	return map[string][]byte{
		"slots 1e9":           with(func(a *Announcement) { a.Endpoint.Slots = 1e9 }),
		"slots negative":      with(func(a *Announcement) { a.Endpoint.Slots = -1 }),
		"slots largest":       with(func(a *Announcement) { a.Endpoint.Slots = math.MaxInt }),
		"port too large":      with(func(a *Announcement) { a.Endpoint.Address = "10.0.0.1:65536" }),
		"port 0":              with(func(a *Announcement) { a.Endpoint.Address = "10.0.0.1:0" }),
		"no address":          with(func(a *Announcement) { a.Endpoint.Address = "" }),
		"another ID":          with(func(a *Announcement) { a.Endpoint.ID = "other" }),
		"another start":       with(func(a *Announcement) { a.Born = 2 }),
		"another sequence":    with(func(a *Announcement) { a.Sequence = 2 }),
		"long service":        with(func(a *Announcement) { a.Endpoint.Service = strings.Repeat("s", 1<<16) }),
		"version not UTF-8":   with(func(a *Announcement) { a.Endpoint.Version = "\xff" }),
		"withdrawn, no ID":    with(func(a *Announcement) { *a = Announcement{Sequence: withdrawnSequence} }),
		"empty":               {},
		"bytes without sense": {0xff, 0x00, 0x9f},
		"length too large":    {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"text too long":       {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 'x'},
		"nested":              encode(nested),
		"nested too deeply":   bytes.Repeat([]byte{0x81}, 1<<20),
		"nested in a field":   encode(map[string]any{"Endpoint": map[string]any{"ID": nested}}),
		"fractional slots":    encode(map[string]any{"Endpoint": map[string]any{"ID": id, "Slots": 1.5}, "Born": 1, "Sequence": 1}),
		"slots too large":     encode(map[string]any{"Endpoint": map[string]any{"ID": id, "Slots": uint64(math.MaxUint64)}, "Born": 1, "Sequence": 1}),
		"slots text":          encode(map[string]any{"Endpoint": map[string]any{"ID": id, "Slots": "7"}, "Born": 1, "Sequence": 1}),
		"start negative":      encode(map[string]any{"Endpoint": map[string]any{"ID": id}, "Born": -1, "Sequence": 1}),
		"endpoint a list":     encode(map[string]any{"Endpoint": []any{1}, "Born": 1, "Sequence": 1}),
	}
}

// TestOddEndpointRecords guards against a record of an endpoint that was fine for the
// daemon that took it, one of another release, and that another daemon uses, ends of, or
// follows in place of the record of a sound endpoint.
func TestOddEndpointRecords(t *testing.T) {
	c := newCluster(t, 3, 0)
	var links []*brpeer.Conn
	for _, f := range c.fleets {
		c.await("links", func() bool { return len(f.node.LinkedAddresses()) == 2 })
		for _, address := range f.node.LinkedAddresses() {
			links = append(links, f.node.Conn(address))
		}
	}
	conns := c.dialAll()
	n := 0
	for name := range oddEndpointValues("") {
		n++
		id := fmt.Sprint("odd", n)
		for _, conn := range conns {
			pushRecord(t, conn, brgossip.Record{
				Key: kindEndpoint + "/" + id, Version: brgossip.Version{Epoch: 1, Seq: 1},
				Value: oddEndpointValues(id)[name], Lifetime: endpointLifetime,
			})
		}
		sound := brplace.Endpoint{ID: "sound of " + name, Service: "s", Address: "10.0.0.2:1", Slots: 2}
		if err := c.fleets[0].Announce(t.Context(), Announcement{Endpoint: sound, Born: 1, Sequence: 1}); err != nil {
			t.Fatal(err)
		}
		for i, f := range c.fleets {
			c.await(name+": sound endpoint is known", func() bool { _, ok := f.endpoints.serving(sound.ID); return ok })
			for _, id := range []string{id, "other", ""} {
				if a, ok := f.endpoints.serving(id); ok {
					t.Errorf("%s: daemon %d uses %.200q", name, i, fmt.Sprint(a))
				}
			}
		}
	}
	for _, link := range links {
		select {
		case <-link.Done():
			t.Error("a link was closed")
		default:
		}
	}
}

// dialAll opens a link to each daemon, as a daemon of another release could.
func (c *cluster) dialAll() []*brpeer.Conn {
	c.t.Helper()
	var conns []*brpeer.Conn
	for _, address := range c.addresses {
		conn, err := brpeer.Dial(context.Background(), address, nil, &brpeer.Mux{})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(conn.Close)
		conns = append(conns, conn)
	}
	return conns
}

// pushRecord sends a record to a daemon as brgossip does.
func pushRecord(t *testing.T, conn *brpeer.Conn, r brgossip.Record) {
	t.Helper()
	type batch struct {
		Records []brgossip.Record `cbor:"records"`
	}
	if err := brpeer.Push(conn, "gossip_records", batch{[]brgossip.Record{r}}); err != nil {
		t.Fatal(err)
	}
}

// TestOddRecordOfSoundEndpoint guards against a record under the ID of a sound endpoint
// that is newer than all heartbeats of it, or never expires, and keeps them out.
func TestOddRecordOfSoundEndpoint(t *testing.T) {
	c := newCluster(t, 3, 0)
	for _, f := range c.fleets {
		c.await("links", func() bool { return len(f.node.LinkedAddresses()) == 2 })
	}
	e := brplace.Endpoint{ID: "e", Service: "s", Address: "10.0.0.2:1", Slots: 2}
	value := encode(Announcement{Endpoint: e, Born: 1, Sequence: 1})
	for _, conn := range c.dialAll() {
		for _, r := range []brgossip.Record{
			{Version: brgossip.Version{Epoch: math.MaxUint64}, Value: value, Lifetime: endpointLifetime},
			{Version: brgossip.Version{Epoch: 1 << 60, Seq: 1}, Value: []byte{0xff}, Lifetime: endpointLifetime},
			{Version: brgossip.Version{Epoch: 1, Seq: 1}, Value: value},
			{Version: brgossip.Version{Epoch: 1, Seq: 1}, Value: value, Lifetime: 1 << 60},
		} {
			r.Key = kindEndpoint + "/e"
			pushRecord(t, conn, r)
		}
		// A reply shows that the daemon has read the records.
		_, _ = brpeer.Call[struct{}, struct{}](context.Background(), conn, "unknown", struct{}{})
	}
	e.Slots = 5
	if err := c.fleets[1].Announce(t.Context(), Announcement{Endpoint: e, Born: 1, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	for _, f := range c.fleets {
		c.await("heartbeat is known", func() bool { a, ok := f.endpoints.serving("e"); return ok && a.Endpoint.Slots == 5 })
	}
}
