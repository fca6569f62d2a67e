package brfleet

import (
	"sync"

	"bramleyroute/brgossip"
	"bramleyroute/brquarantine"
)

// kindEvidence is the kind of the records of evidence under which endpoints crash, by
// subject. They have no single writer: each daemon publishes the union of what it knows. The version
// is the size of the evidence and then its hash, so that of two different records one
// is newer everywhere, and the daemon that wrote the other one merges them.
const kindEvidence = "evidence"

// evidenceQueue holds the evidence to be published. Records are applied while the node
// is locked, so that they can't be published there.
type evidenceQueue struct {
	mu      sync.Mutex
	pending map[brquarantine.Subject]brquarantine.Evidence
	due     chan struct{} // receives a value when evidence is pending
	changed chan struct{} // the same for the evidence file
}

func newEvidenceQueue() evidenceQueue {
	return evidenceQueue{
		pending: map[brquarantine.Subject]brquarantine.Evidence{}, due: make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
}

// add schedules evidence for publication. It doesn't block.
func (q *evidenceQueue) add(changes []brquarantine.Change) {
	q.mu.Lock()
	for _, c := range changes {
		// Changes of one subject may be added in any order.
		q.pending[c.Subject] = q.pending[c.Subject].WithMerged(c.Evidence)
	}
	q.mu.Unlock()
	for _, ch := range []chan struct{}{q.due, q.changed} {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// take returns the scheduled evidence and empties the queue.
func (q *evidenceQueue) take() map[brquarantine.Subject]brquarantine.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = map[brquarantine.Subject]brquarantine.Evidence{}
	return pending
}

// runEvidence publishes evidence until the fleet is closed.
func (f *Fleet) runEvidence() {
	for {
		select {
		case <-f.stop:
			return
		case <-f.evidence.due:
		}
		for subject, e := range f.evidence.take() {
			f.node.Publish(brgossip.Record{
				Key: kindEvidence + "/" + subject.String(), Version: brgossip.Version{Epoch: e.Size(), Seq: e.Hash()},
				Value: encode(e), Lifetime: brquarantine.Lifetime(subject, e),
			})
		}
	}
}

func (f *Fleet) applyEvidenceRecord(r brgossip.Record) {
	subject, known := brquarantine.ParseSubject(r.Name())
	if e, ok := decode[brquarantine.Evidence](f, r); ok && known {
		f.proxy.PeerEvidence(subject, e, r.Age)
	}
}

func (f *Fleet) evidenceExpired(r brgossip.Record) {
	if subject, known := brquarantine.ParseSubject(r.Name()); known {
		f.proxy.EvidenceLapsed(subject)
	}
}
