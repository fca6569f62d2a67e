package brfleet

import (
	"context"
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
	// removed. A failing endpoint is detected far earlier from its responses. An
	// endpoint that is only disconnected from the daemons that receive heartbeats
	// can continue to serve until then.
	endpointLifetime = 15 * time.Second
	// endpointRefreshAge is the age of an endpoint's record from which on an
	// unchanged heartbeat is published again. Two such heartbeats may be lost
	// within endpointLifetime.
	endpointRefreshAge = 5 * time.Second
	// withdrawnSequence is the sequence number of a withdrawn endpoint. No
	// heartbeat of the same start is newer.
	withdrawnSequence = math.MaxUint64
)

// ErrUnknownService is returned for an announcement of a service that the policy
// in force does not define.
var ErrUnknownService = errors.New("brfleet: unknown service")

// ErrIsolated is returned when no other daemon can be reached, so that an
// announcement cannot be published.
var ErrIsolated = errors.New("brfleet: no other daemon can be reached")

// Announce publishes a heartbeat to all daemons. A heartbeat older than the
// current record of the endpoint has no effect. Announce returns an error that
// wraps ErrInvalid or ErrUnknownService for an announcement that names no endpoint to
// use. For a leaving endpoint it returns nil and errors as Withdraw does. Otherwise it
// doesn't wait for other daemons: the endpoint repeats its heartbeat.
func (f *Fleet) Announce(ctx context.Context, a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if t := f.proxy.Table(); t != nil && t.Service(a.Endpoint.Service) == nil {
		return fmt.Errorf("%w %q", ErrUnknownService, a.Endpoint.Service)
	}
	if a.Endpoint.Leaving && f.isolated() {
		return ErrIsolated
	}
	a = f.withoutCold(a)
	if !f.recentlyPublished(a) {
		f.confirmed.remove(a.Endpoint.ID)
		f.publishEndpoint(a)
	}
	if !a.Endpoint.Leaving || f.confirmed.has(a.Endpoint.ID, a.Born) {
		return nil
	}
	if err := f.confirmLeaving(ctx, a); err != nil {
		return err
	}
	f.confirmed.add(a.Endpoint.ID, a.Born)
	return nil
}

// recentlyPublished reports whether the endpoint's record has the same content as
// a and is younger than endpointRefreshAge. Of the cold time it has to tell the end.
func (f *Fleet) recentlyPublished(a Announcement) bool {
	r, ok := f.node.Get(kindEndpoint + "/" + a.Endpoint.ID)
	if !ok || r.Age >= endpointRefreshAge || r.Version.Epoch != a.Born || r.Version.Seq > a.Sequence {
		return false
	}
	last, err := brwire.Decode[Announcement](r.Value)
	return err == nil && last.Endpoint == a.Endpoint && !a.coldDiffers(last, r.Age)
}

// endpointLeaving marks an endpoint as leaving, since it said so in a response to a
// request that was dispatched to e, and publishes that to all daemons. It stays marked
// until it starts again. If it has done so already, the response is of its former start.
func (f *Fleet) endpointLeaving(e brplace.Endpoint) {
	a, ok := f.endpoints.serving(e.ID)
	if !ok || a.Born != e.Born {
		return
	}
	f.cfg.Log.Info().Str("endpoint", e.ID).Msg("endpoint says in a response that it is leaving")
	a.Endpoint.Leaving, a.Sequence = true, withdrawnSequence
	f.publishEndpoint(a)
}

// isolated reports whether other daemons are known but none can be reached.
func (f *Fleet) isolated() bool {
	return len(f.node.Daemons()) > 1 && len(f.node.LinkedAddresses()) == 0
}

func (f *Fleet) publishEndpoint(a Announcement) {
	f.node.Publish(brgossip.Record{
		Key: kindEndpoint + "/" + a.Endpoint.ID, Version: brgossip.Version{Epoch: a.Born, Seq: a.Sequence},
		Value: encode(a), Lifetime: endpointLifetime,
	})
}

// applyEndpointRecord applies the newest heartbeat of an endpoint.
func (f *Fleet) applyEndpointRecord(r brgossip.Record) {
	a, ok := decode[Announcement](f, r)
	if !ok {
		return
	}
	f.applyCold(a, r.Age) // before the endpoint gets a request
	change := f.endpoints.update(a)
	if change.displaced != "" {
		f.proxy.ApplyEvent(brplace.EndpointLost{ID: change.displaced})
		f.cfg.Log.Info().Str("endpoint", change.displaced).Str("by", a.Endpoint.ID).Str("address", a.Endpoint.Address).
			Msg("endpoint replaced by another endpoint at the same address")
	}
	if !change.changed {
		return
	}
	a.Endpoint = change.endpoint
	a.Endpoint.Born = a.Born
	f.proxy.ApplyEvent(brplace.EndpointChanged{Endpoint: a.Endpoint})
	f.cfg.Log.Info().Str("endpoint", a.Endpoint.ID).Str("address", a.Endpoint.Address).Str("service", a.Endpoint.Service).
		Str("version", a.Endpoint.Version).Bool("leaving", a.Endpoint.Leaving).Uint64("born", a.Born).
		Uint64("sequence", a.Sequence).Dur("age_ms", r.Age).Msg("endpoint changed")
}

// registry holds the usable endpoints, at most one for each address.
type registry struct {
	mu            sync.Mutex
	announcements map[string]Announcement // by endpoint ID
	idByAddress   map[string]string       // endpoint ID by address
	// withdrawn holds the start of each withdrawn endpoint. Its record expires earlier
	// than a heartbeat of the same start may still arrive.
	withdrawn map[string]uint64
}

// maxWithdrawn limits the number of withdrawn endpoints that are remembered after
// their records have expired.
const maxWithdrawn = 10_000

// endpointUpdate is the result of registry.update.
type endpointUpdate struct {
	endpoint  brplace.Endpoint // as it is from now on
	changed   bool             // the endpoint is new, or its data or start time differs
	displaced string           // ID of the endpoint that previously had the address
}

// update applies the newest announcement of an endpoint. If two endpoints announce
// the same address, the one that started later replaces the other.
func (g *registry) update(a Announcement) endpointUpdate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcements == nil {
		g.announcements, g.idByAddress = map[string]Announcement{}, map[string]string{}
	}
	g.applyWithdrawal(&a)
	e := a.Endpoint
	if e.Address == "" {
		return endpointUpdate{} // withdrawn before its first announcement
	}
	change := endpointUpdate{endpoint: e}
	if other, ok := g.idByAddress[e.Address]; ok && other != e.ID {
		if g.announcements[other].Born > a.Born {
			return endpointUpdate{}
		}
		delete(g.announcements, other)
		change.displaced = other
	}
	old, ok := g.announcements[e.ID]
	change.changed = !ok || old.Endpoint != e || old.Born != a.Born
	if ok && old.Endpoint.Address != e.Address {
		delete(g.idByAddress, old.Endpoint.Address)
	}
	g.announcements[e.ID] = a
	g.idByAddress[e.Address] = e.ID
	return change
}

// applyWithdrawal records that a is the withdrawal of an endpoint, or marks a as
// leaving if the same start of its endpoint was withdrawn before.
func (g *registry) applyWithdrawal(a *Announcement) {
	id := a.Endpoint.ID
	born, ok := g.withdrawn[id]
	switch {
	case a.Sequence == withdrawnSequence:
		if g.withdrawn == nil {
			g.withdrawn = map[string]uint64{}
		}
		if len(g.withdrawn) >= maxWithdrawn {
			clear(g.withdrawn)
		}
		g.withdrawn[id] = a.Born
	case ok && born == a.Born:
		a.Endpoint.Leaving = true
	case ok && born < a.Born:
		delete(g.withdrawn, id)
	}
}

// serving returns the announcement of an endpoint that isn't leaving, and whether
// there is one.
func (g *registry) serving(id string) (Announcement, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.announcements[id]
	return a, ok && !a.Endpoint.Leaving
}

// knows reports whether an endpoint has announced the address.
func (g *registry) knows(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.idByAddress[address]
	return ok
}

// remove removes an endpoint and returns its address; empty if there was none.
func (g *registry) remove(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.announcements[id]
	if !ok {
		return ""
	}
	delete(g.announcements, id)
	if g.idByAddress[a.Endpoint.Address] == id {
		delete(g.idByAddress, a.Endpoint.Address)
	}
	return a.Endpoint.Address
}

func (g *registry) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.announcements)
}
