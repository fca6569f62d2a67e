package brpool

import "fmt"

// Check returns an error for the first invariant that is violated: one binding per
// request ID, the shedding order, outstanding tokens equal to the sum over the
// granted requests, and the memory limits. Check iterates over all requests and
// endpoints.
func (p *Pool) Check() error {
	if err := p.queue.Check(); err != nil {
		return err
	}
	if err := p.table.Check(); err != nil {
		return err
	}
	if err := p.checkRequests(); err != nil {
		return err
	}
	return p.checkLimits()
}

func (p *Pool) checkRequests() error {
	grantedRequests, queuedRequests, unacked, outstanding := 0, 0, 0, 0
	numbers := make(map[uint64]string, p.grantedCount)
	for id, r := range p.requests {
		if _, ok := p.finished.byID[r.key]; ok {
			return fmt.Errorf("brpool: request %s has ended but is still bound", id)
		}
		if r.state == queued {
			queuedRequests++
			if p.queue.Get(id) != &r.Item || r.flight != nil {
				return fmt.Errorf("brpool: request %s is not in the queue or is queued and granted", id)
			}
			continue
		}
		grantedRequests++
		if p.queue.Get(id) != nil || r.flight == nil {
			return fmt.Errorf("brpool: request %s is granted and queued or has no endpoint", id)
		}
		if other, ok := numbers[r.grantNumber]; ok && r.grantNumber != 0 {
			return fmt.Errorf("brpool: requests %s and %s share grant %d", id, other, r.grantNumber)
		}
		numbers[r.grantNumber] = id
		if r.state == granted && r.orphanedUntil.IsZero() {
			unacked++
		}
		if r.flight.Attached() {
			outstanding += r.flight.Tokens()
		}
	}
	switch {
	case queuedRequests != p.queue.Len():
		return fmt.Errorf("brpool: %d requests are in state queued, the queue holds %d", queuedRequests, p.queue.Len())
	case grantedRequests != p.grantedCount || unacked != p.unackedCount:
		return fmt.Errorf("brpool: %d requests granted and %d unacknowledged, counters are %d and %d", grantedRequests, unacked, p.grantedCount, p.unackedCount)
	case outstanding != p.table.Outstanding():
		return fmt.Errorf("brpool: granted requests have %d tokens, endpoints have %d outstanding", outstanding, p.table.Outstanding())
	case !p.owner && len(p.requests) > 0:
		return fmt.Errorf("brpool: %d requests without ownership", len(p.requests))
	}
	return nil
}

func (p *Pool) checkLimits() error {
	inBuckets := 0
	for _, keys := range p.finished.buckets {
		inBuckets += len(keys)
	}
	switch {
	case p.queue.Tokens() > p.queueLimit:
		return fmt.Errorf("brpool: %d tokens queued, limit %d", p.queue.Tokens(), p.queueLimit)
	case len(p.finished.byID) > maxFinished || inBuckets != len(p.finished.byID):
		return fmt.Errorf("brpool: %d ended requests recorded and %d in buckets, limit %d", len(p.finished.byID), inBuckets, maxFinished)
	}
	return nil
}
