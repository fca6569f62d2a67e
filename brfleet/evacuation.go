package brfleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"unicode/utf8"

	"bramleyroute/brcore"
	"bramleyroute/brgossip"
)

const (
	kindEvacuation = "evacuation"
	evacuationKey  = kindEvacuation + "/current"

	maxDomainBytes = 256 // length of the name of a failure domain
)

var errNoDomain = errors.New("brfleet: name of a failure domain is empty, too long or not UTF-8")

// evacuationRecord holds all evacuations in force. Its key precedes that of the policy, and
// records are sent in the order of their keys, so that a daemon which has a policy knows of
// the evacuations that were in force when it was published.
type evacuationRecord struct {
	Domains []evacuatedDomain `cbor:"domains"`
}

// evacuatedDomain is a failure domain, and the log index of its evacuation.
type evacuatedDomain struct {
	Domain string `cbor:"domain"`
	Index  uint64 `cbor:"index"`
}

// names returns the evacuated domains.
func (r evacuationRecord) names() []string {
	var names []string
	for _, d := range r.Domains {
		names = append(names, d.Domain)
	}
	return names
}

// evacuations are those that this daemon has in force. The zero value has none.
type evacuations struct {
	mu      sync.Mutex
	domains []evacuatedDomain
}

// names returns the evacuated domains.
func (e *evacuations) names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return evacuationRecord{e.domains}.names()
}

// has reports whether a domain is evacuated.
func (e *evacuations) has(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.domains, func(d evacuatedDomain) bool { return d.Domain == domain })
}

// set replaces the evacuations and returns those that are new and those that have ended.
func (e *evacuations) set(domains []evacuatedDomain) (begun, ended []evacuatedDomain) {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun, ended = without(domains, e.domains), without(e.domains, domains)
	e.domains = domains
	return begun, ended
}

// without returns the elements of a whose domains aren't in b.
func without(a, b []evacuatedDomain) []evacuatedDomain {
	var rest []evacuatedDomain
	for _, d := range a {
		if !slices.ContainsFunc(b, func(o evacuatedDomain) bool { return o.Domain == d.Domain }) {
			rest = append(rest, d)
		}
	}
	return rest
}

// Evacuate orders that the endpoints of a failure domain get no new request. It returns nil
// when the order is in force, an InvalidError for what isn't the name of a domain, and an
// error that wraps brcore.ErrUnavailable if the outcome is unknown. A domain without known
// endpoints is accepted: they may be down just now.
func (f *Fleet) Evacuate(ctx context.Context, domain string) error {
	return f.changeEvacuation(ctx, domain, "evacuation ordered", f.core.Evacuate)
}

// WithdrawEvacuation withdraws the order for a failure domain; that isn't an error if there
// is none. Errors are as for Evacuate.
func (f *Fleet) WithdrawEvacuation(ctx context.Context, domain string) error {
	return f.changeEvacuation(ctx, domain, "evacuation withdrawn", f.core.WithdrawEvacuation)
}

func (f *Fleet) changeEvacuation(ctx context.Context, domain, message string, change func(context.Context, string) error) error {
	if domain == "" || len(domain) > maxDomainBytes || !utf8.ValidString(domain) {
		return &InvalidError{errNoDomain}
	}
	err := change(ctx, domain)
	f.cfg.Log.Info().Str("domain", domain).AnErr("error", err).Msg(message)
	return err
}

// Evacuations returns the domains whose evacuation is in force, sorted. Errors are as for
// brcore.Core.Evacuations.
func (f *Fleet) Evacuations(ctx context.Context) ([]string, error) {
	all, err := f.core.Evacuations(ctx)
	return inForce(all).names(), err
}

// inForce returns the record of those of all evacuations that aren't withdrawn.
func inForce(all []brcore.Evacuation) evacuationRecord {
	var r evacuationRecord
	for _, e := range all {
		if !e.Withdrawn {
			r.Domains = append(r.Domains, evacuatedDomain{e.Domain, e.Index})
		}
	}
	return r
}

// publishEvacuations publishes the evacuations that the replica has confirmed.
func (f *Fleet) publishEvacuations(all []brcore.Evacuation) {
	var newest uint64
	for _, e := range all {
		newest = max(newest, e.Index)
	}
	f.node.Publish(brgossip.Record{Key: evacuationKey, Version: brgossip.Version{Seq: newest}, Value: encode(inForce(all))})
}

// applyEvacuationRecord puts a newer record in force.
func (f *Fleet) applyEvacuationRecord(r brgossip.Record) {
	record, ok := decode[evacuationRecord](f, r)
	if !ok {
		return
	}
	f.proxy.SetEvacuated(record.names())
	begun, ended := f.evacuations.set(record.Domains)
	for _, d := range begun {
		f.cfg.Log.Warn().Str("domain", d.Domain).Uint64("index", d.Index).Int("endpoints", f.endpoints.countIn(d.Domain)).
			Dur("age_ms", r.Age).Msg("failure domain evacuated: its endpoints get no new request of this daemon")
	}
	for _, d := range ended {
		f.cfg.Log.Warn().Str("domain", d.Domain).Uint64("index", r.Version.Seq).Int("endpoints", f.endpoints.countIn(d.Domain)).
			Dur("age_ms", r.Age).Msg("evacuation of a failure domain ended")
	}
}

// withheld reports whether the endpoint at address lies in an evacuated failure domain.
func (f *Fleet) withheld(address string) bool {
	domain, ok := f.endpoints.domainOf(address)
	return ok && f.evacuations.has(domain)
}

// domainOf returns the failure domain of the endpoint that has announced an address, and
// whether there is one.
func (g *registry) domainOf(address string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, ok := g.idByAddress[address]
	return g.announcements[id].Endpoint.Zone, ok
}

// countIn returns the number of endpoints in a failure domain.
func (g *registry) countIn(domain string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, a := range g.announcements {
		if a.Endpoint.Zone == domain {
			n++
		}
	}
	return n
}
