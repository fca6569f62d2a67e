package brstate

import (
	"time"

	"bramleyroute/brwire"
)

// Bounds of the kept results. Operators' commands have their own part, so that
// the many commands of the ledger and of leases don't displace their results.
const (
	ResultRetention = 24 * time.Hour
	MaxResults      = 100_000 // half of them for leases and the ledger
)

// result is the kept answer to a command.
type result struct {
	ID       string              `cbor:"id"`
	At       time.Time           `cbor:"at"`
	Frequent bool                `cbor:"frequent"`
	Reply    brwire.ProposeReply `cbor:"reply"`
}

// results holds the answers in two queues in the order of their commands.
type results struct {
	byID   map[string]result
	queues [2][]string // ids: of operators' commands, of frequent commands
}

func (r *results) get(id string) (brwire.ProposeReply, bool) {
	e, ok := r.byID[id]
	return e.Reply, ok
}

// add keeps the reply to c. Not kept are replies to renewals, since a second
// renewal is harmless, nor to saved progress, and replies with a kept answer of the ledger, which are
// large and come again from the ledger itself.
func (r *results) add(c Command, now time.Time, reply brwire.ProposeReply) {
	if c.RenewLease != nil || c.SaveProgress != nil || c.BeginRequest != nil && len(reply.Result) > maxResultBytes {
		return
	}
	frequent := c.AcquireLease != nil || c.ReleaseLease != nil || c.BeginRequest != nil || c.FinishRequest != nil || c.ReleaseRequest != nil
	r.put(result{ID: c.ID, At: now, Frequent: frequent, Reply: reply})
}

// maxResultBytes is above the size of a BeginResult without an answer.
const maxResultBytes = 2048

func (r *results) put(e result) {
	if r.byID == nil {
		r.byID = map[string]result{}
	}
	r.byID[e.ID] = e
	q := &r.queues[queueOf(e)]
	*q = append(*q, e.ID)
	if len(*q) > MaxResults/2 {
		r.drop(q)
	}
}

func (r *results) expire(now time.Time) {
	for i := range r.queues {
		q := &r.queues[i]
		for len(*q) > 0 && now.Sub(r.byID[(*q)[0]].At) >= ResultRetention {
			r.drop(q)
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

func (r *results) drop(q *[]string) {
	delete(r.byID, (*q)[0])
	(*q)[0] = ""
	*q = (*q)[1:]
}

func queueOf(e result) int {
	if e.Frequent {
		return 1
	}
	return 0
}
