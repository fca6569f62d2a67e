package brpool

import "fmt"

// Check returns an error that names the first invariant that doesn't hold: one
// binding per request id, the shed invariant, outstanding tokens equal to the
// sum over the granted requests, and the bounds of the memory. It costs a pass
// over all requests and endpoints.
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
	return p.checkBounds()
}

func (p *Pool) checkRequests() error {
	live, waiting, unacked, outstanding := 0, 0, 0, 0
	numbers := make(map[uint64]string, p.live)
	for id, r := range p.requests {
		if _, ok := p.finished.byID[r.key]; ok {
			return fmt.Errorf("brpool: request %s has ended and is still bound", id)
		}
		if r.state == queued {
			waiting++
			if p.queue.Get(id) != &r.Item || r.flight != nil {
				return fmt.Errorf("brpool: request %s is not in the queue or is queued and granted", id)
			}
			continue
		}
		live++
		if p.queue.Get(id) != nil || r.flight == nil {
			return fmt.Errorf("brpool: request %s is granted and queued or has no endpoint", id)
		}
		if other, ok := numbers[r.number]; ok && r.number != 0 {
			return fmt.Errorf("brpool: requests %s and %s share grant %d", id, other, r.number)
		}
		numbers[r.number] = id
		if r.state == granted && r.orphaned.IsZero() {
			unacked++
		}
		if r.flight.Attached() {
			outstanding += r.flight.Tokens()
		}
	}
	switch {
	case waiting != p.queue.Len():
		return fmt.Errorf("brpool: %d requests wait, the queue holds %d", waiting, p.queue.Len())
	case live != p.live || unacked != p.unacked:
		return fmt.Errorf("brpool: %d requests granted and %d unacknowledged, counted %d and %d", live, unacked, p.live, p.unacked)
	case outstanding != p.table.Outstanding():
		return fmt.Errorf("brpool: granted requests hold %d tokens, endpoints %d", outstanding, p.table.Outstanding())
	case !p.owner && len(p.requests) > 0:
		return fmt.Errorf("brpool: %d requests without ownership", len(p.requests))
	}
	return nil
}

func (p *Pool) checkBounds() error {
	inBuckets := 0
	for _, keys := range p.finished.buckets {
		inBuckets += len(keys)
	}
	switch {
	case p.queue.Tokens() > p.queueLimit:
		return fmt.Errorf("brpool: %d tokens queued, bound %d", p.queue.Tokens(), p.queueLimit)
	case len(p.finished.byID) > maxFinished || inBuckets != len(p.finished.byID):
		return fmt.Errorf("brpool: %d ended requests on record and %d in buckets, bound %d", len(p.finished.byID), inBuckets, maxFinished)
	}
	return nil
}
