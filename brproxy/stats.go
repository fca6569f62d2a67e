package brproxy

import (
	"sync/atomic"

	"bramleyroute/brplace"
)

// Stats holds the cumulative totals of a Proxy since its creation.
type Stats struct {
	Requests     atomic.Uint64 // received requests
	Answered     atomic.Uint64 // requests with a complete response of an endpoint
	Rejected     atomic.Uint64 // requests refused without having run
	Failed       atomic.Uint64 // dispatched requests without a complete response
	Disconnected atomic.Uint64 // requests whose caller disconnected first
	Stalled      atomic.Uint64 // callers disconnected since they read nothing
	Dispatches   atomic.Uint64 // dispatches, including retries
	Retries      atomic.Uint64 // dispatches charged to a retry budget
	Resumed      atomic.Uint64 // attempts to resume a stream that failed
	Quarantined  atomic.Uint64 // requests held back because of a part of their prompt
	Evacuated    atomic.Uint64 // requests refused because of an evacuation; also in Rejected
	RefusedCold  atomic.Uint64 // requests refused because endpoints are cold; also in Rejected
	TooLarge     atomic.Uint64 // requests refused since they exceed the memory of an endpoint; also in Rejected
	OverQuota    atomic.Uint64 // requests refused by the quota; also in Rejected
	Denied       atomic.Uint64 // requests denied as malformed, too large, without a route or with an unknown key
}

// countRejection counts a rejection by the placement whose reason has a total of its own.
func (s *Stats) countRejection(r brplace.Reason) {
	switch r {
	case brplace.Evacuated:
		s.Evacuated.Add(1)
	case brplace.Cold:
		s.RefusedCold.Add(1)
	case brplace.TooLarge:
		s.TooLarge.Add(1)
	}
}

// Stats returns the totals, which continue to change.
func (p *Proxy) Stats() *Stats { return &p.stats }

// ColdEndpoints returns the number of endpoints that are cold or presumed to be.
func (p *Proxy) ColdEndpoints() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.ColdEndpoints(p.cfg.Clock.Now())
}

// RateStatuses returns how the calls to each service are placed.
func (p *Proxy) RateStatuses() map[string]brplace.RateStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.RateStatuses()
}

// Limited returns the number of endpoints that get fewer requests at once than they have slots,
// since they slow down before.
func (p *Proxy) Limited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Limited()
}

// MemoryInUse returns the largest part of the memory of an endpoint that is outstanding there,
// as brplace.State.MemoryInUse does.
func (p *Proxy) MemoryInUse() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.MemoryInUse()
}

// Waiting returns the number of requests waiting for a dispatch.
func (p *Proxy) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.QueueLength()
}
