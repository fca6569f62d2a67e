package brfleet

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brwire"
)

const (
	kindEndpoint = "endpoint"

	// endpointLifetime is the time without a heartbeat after which an endpoint is
	// forgotten. Endpoints that fail are noticed far earlier by what they do; one
	// that is only cut off from the daemons that take heartbeats can go on.
	endpointLifetime = 15 * time.Second
	// endpointRenew is the age of an endpoint's record from which on a heartbeat
	// without news is passed on. Two of them may be lost within the lifetime.
	endpointRenew = 5 * time.Second
	// withdrawn is the sequence of an endpoint that has said that it is gone; no
	// heartbeat of the same start is newer.
	withdrawn = math.MaxUint64
)

// Announcement is an endpoint's heartbeat.
type Announcement struct {
	Endpoint brplace.Endpoint
	Born     uint64 // Unix milliseconds of its start
	Sequence uint64 // of its heartbeats since its start
}

// ErrUnknownService says that an announcement names a service that the policy
// doesn't have.
var ErrUnknownService = errors.New("brfleet: unknown service")

// ErrIsolated says that this daemon can't pass an announcement on at present.
var ErrIsolated = errors.New("brfleet: no other daemon can be reached")

// Announce takes a heartbeat and tells all daemons. One that is older than what is
// known changes nothing.
func (f *Fleet) Announce(a Announcement) error {
	if t := f.proxy.Table(); t != nil && t.Service(a.Endpoint.Service) == nil {
		return fmt.Errorf("%w %q", ErrUnknownService, a.Endpoint.Service)
	}
	if a.Endpoint.Leaving && f.isolated() {
		return ErrIsolated
	}
	if !f.repeats(a) {
		f.publishEndpoint(a)
	}
	return nil
}

// repeats reports whether a heartbeat says what all daemons have been told a short
// time ago.
func (f *Fleet) repeats(a Announcement) bool {
	r, ok := f.node.Get(kindEndpoint + "/" + a.Endpoint.ID)
	if !ok || r.Age >= endpointRenew || r.Version.Epoch != a.Born || r.Version.Seq > a.Sequence {
		return false
	}
	known, err := brwire.Decode[Announcement](r.Value)
	return err == nil && known.Endpoint == a.Endpoint
}

// Withdraw takes the message of an endpoint that it is gone, and tells all
// daemons.
func (f *Fleet) Withdraw(id string) error {
	if f.isolated() {
		return ErrIsolated
	}
	a := Announcement{Endpoint: brplace.Endpoint{ID: id}}
	if r, ok := f.node.Get(kindEndpoint + "/" + id); ok {
		known, err := brwire.Decode[Announcement](r.Value)
		if err != nil {
			return fmt.Errorf("brfleet: record of endpoint %s: %w", id, err)
		}
		a = known
	}
	a.Endpoint.Leaving, a.Sequence = true, withdrawn
	f.publishEndpoint(a)
	return nil
}

// isolated reports whether other daemons are known but none can be reached.
func (f *Fleet) isolated() bool {
	return len(f.node.Daemons()) > 1 && len(f.node.Linked()) == 0
}

func (f *Fleet) publishEndpoint(a Announcement) {
	f.node.Publish(brgossip.Record{
		Key: kindEndpoint + "/" + a.Endpoint.ID, Version: brgossip.Version{Epoch: a.Born, Seq: a.Sequence},
		Value: encode(a), Lifetime: endpointLifetime,
	})
}

// endpointRecord takes the newest heartbeat of an endpoint.
func (f *Fleet) endpointRecord(r brgossip.Record) {
	a, ok := decode[Announcement](f, r)
	if !ok {
		return
	}
	change := f.endpoints.take(a)
	if change.displaced != "" {
		f.proxy.Place(brplace.EndpointLost{ID: change.displaced})
		f.cfg.Log.Info().Str("endpoint", change.displaced).Str("by", a.Endpoint.ID).Str("address", a.Endpoint.Address).
			Msg("another endpoint has taken the address")
	}
	if !change.new {
		return
	}
	f.proxy.Place(brplace.EndpointChanged{Endpoint: a.Endpoint})
	f.cfg.Log.Info().Str("endpoint", a.Endpoint.ID).Str("address", a.Endpoint.Address).Str("service", a.Endpoint.Service).
		Str("version", a.Endpoint.Version).Bool("leaving", a.Endpoint.Leaving).Uint64("born", a.Born).
		Uint64("sequence", a.Sequence).Dur("age_ms", r.Age).Msg("endpoint changed")
}

// registry holds the endpoints that may be used, one for each address.
type registry struct {
	mu        sync.Mutex
	known     map[string]Announcement // by id
	addresses map[string]string       // id by address
}

type registryChange struct {
	new       bool   // what is known of the endpoint differs from before
	displaced string // id of the endpoint that was at the address before
}

// take takes the newest announcement of an endpoint. Of two endpoints at one
// address the one that started later is there.
func (g *registry) take(a Announcement) registryChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known == nil {
		g.known, g.addresses = map[string]Announcement{}, map[string]string{}
	}
	e := a.Endpoint
	if e.Address == "" {
		return registryChange{} // it withdrew before it was known
	}
	var change registryChange
	if other, ok := g.addresses[e.Address]; ok && other != e.ID {
		if g.known[other].Born > a.Born {
			return registryChange{}
		}
		delete(g.known, other)
		change.displaced = other
	}
	old, ok := g.known[e.ID]
	change.new = !ok || old.Endpoint != e || old.Born != a.Born
	if ok && old.Endpoint.Address != e.Address {
		delete(g.addresses, old.Endpoint.Address)
	}
	g.known[e.ID] = a
	g.addresses[e.Address] = e.ID
	return change
}

func (g *registry) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.known[id]
	if !ok {
		return
	}
	delete(g.known, id)
	if g.addresses[a.Endpoint.Address] == id {
		delete(g.addresses, a.Endpoint.Address)
	}
}

func (g *registry) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.known)
}
