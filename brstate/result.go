package brstate

import (
	"time"

	"bramleyroute/brwire"
)

// Limits of the stored results. Operators' commands have their own share, so that
// the more frequent ledger and lease commands don't displace their results.
const (
	ResultRetention = 24 * time.Hour
	MaxResults      = 100_000 // half of them for lease and ledger commands
)

// result is the stored reply to a command.
type result struct {
	ID       string              `cbor:"id"`
	At       time.Time           `cbor:"at"`
	Frequent bool                `cbor:"frequent"`
	Reply    brwire.ProposeReply `cbor:"reply"`
}

// results holds the stored replies by command ID and, in two queues, the IDs in the
// order in which the commands were applied.
type results struct {
	byID   map[string]result
	queues [2][]string // IDs of operators' commands and of frequent commands
}

func (r *results) get(id string) (brwire.ProposeReply, bool) {
	e, ok := r.byID[id]
	return e.Reply, ok
}

// add stores the reply to c. It ignores replies to RenewLease, since repeating a
// renewal is harmless, replies to SaveProgress, and replies that contain a stored
// response of the ledger, which are large and which the ledger returns again.
func (r *results) add(c Command, now time.Time, reply brwire.ProposeReply) {
	if c.RenewLease != nil || c.SaveProgress != nil || c.BeginRequest != nil && len(reply.Result) > maxResultBytes {
		return
	}
	frequent := c.AcquireLease != nil || c.ReleaseLease != nil || c.BeginRequest != nil || c.FinishRequest != nil || c.ReleaseRequest != nil
	r.put(result{ID: c.ID, At: now, Frequent: frequent, Reply: reply})
}

// maxResultBytes is the size of the largest BeginRequest result that is stored, in
// bytes. A BeginResult without a response is smaller.
const maxResultBytes = 2048

func (r *results) put(e result) {
	if r.byID == nil {
		r.byID = map[string]result{}
	}
	r.byID[e.ID] = e
	q := &r.queues[queueIndex(e)]
	*q = append(*q, e.ID)
	if len(*q) > MaxResults/2 {
		r.dropOldest(q)
	}
}

func (r *results) expire(now time.Time) {
	for i := range r.queues {
		q := &r.queues[i]
		for len(*q) > 0 && now.Sub(r.byID[(*q)[0]].At) >= ResultRetention {
			r.dropOldest(q)
		}
	}
}

func (r *results) list() []result {
	var list []result
	for _, q := range r.queues {
		for _, id := range q {
			list = append(list, r.byID[id])
		}
	}
	return list
}

func (r *results) dropOldest(q *[]string) {
	delete(r.byID, (*q)[0])
	(*q)[0] = ""
	*q = (*q)[1:]
}

func queueIndex(e result) int {
	if e.Frequent {
		return 1
	}
	return 0
}
