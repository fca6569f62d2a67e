package brqueue

import (
	"fmt"
	"time"
)

// Tiers is the number of tiers; tier 1 is the highest.
const Tiers = 5

// Quantum is the deficit, in tokens, that a customer of weight 1 gains in each
// round. It is close to the size of a typical request, so that most rounds serve
// each customer.
const Quantum = 2048

// Item is a queued request. Its fields must not be modified while it is queued.
type Item struct {
	ID       string
	Customer string
	Tier     int       // 1 to Tiers
	Tokens   int       // expected work, at least 1
	Deadline time.Time // latest time at which starting the item is useful

	flow *flow
}

// Queue holds items in the order in which they are granted. The zero value is an
// empty queue in which every customer has weight 1.
type Queue struct {
	tiers          [Tiers]tier
	items          map[string]*Item
	weights        map[string]int
	tokens         int
	freeFlows      []*flow
	pushCount      uint64
	shedViolations int // items shed while a lower tier was queued; expected to be 0
}

// SetWeights replaces the customers' weights. A customer without a weight, or
// with a weight below 1, has weight 1.
func (q *Queue) SetWeights(weights map[string]int) {
	q.weights = weights
	for i := range q.tiers {
		for _, f := range q.tiers[i].ring {
			f.weight = q.weight(f.customer)
		}
	}
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.items) }

// Tokens returns the expected work of all queued items in tokens.
func (q *Queue) Tokens() int { return q.tokens }

// TierLen returns the number of items of a tier. TierLen panics if the tier is
// out of range.
func (q *Queue) TierLen(tier int) int { return q.tier(tier).count }

// TierTokens returns the expected work of a tier in tokens. TierTokens panics if
// the tier is out of range.
func (q *Queue) TierTokens(tier int) int { return q.tier(tier).tokens }

// Get returns the item with the given ID, or nil.
func (q *Queue) Get(id string) *Item { return q.items[id] }

// Push adds an item. Push panics if the item's tier or tokens are out of range or
// an item with the same ID is queued.
func (q *Queue) Push(it *Item) {
	t := q.tier(it.Tier)
	if it.Tokens < 1 {
		panic("brqueue: tokens out of range")
	}
	if q.items[it.ID] != nil {
		panic("brqueue: item is already queued")
	}
	if q.items == nil {
		q.items = make(map[string]*Item)
	}
	f := t.flows[it.Customer]
	if f == nil {
		f = q.newFlow(it.Customer)
		t.addFlow(f)
	}
	it.flow = f
	q.pushCount++
	f.push(it, q.pushCount)
	f.tokens += it.Tokens
	t.tokens += it.Tokens
	t.count++
	q.tokens += it.Tokens
	q.items[it.ID] = it
}

// Next returns the item to grant next without removing it, or nil when the queue
// is empty. It returns the same item until the queue changes.
func (q *Queue) Next() *Item {
	for i := range q.tiers {
		if t := &q.tiers[i]; t.count > 0 {
			return t.next().heap[0].item
		}
	}
	return nil
}

// Pop removes and returns the item returned by Next and charges its customer. It
// returns nil when the queue is empty.
func (q *Queue) Pop() *Item {
	it := q.Next()
	if it == nil {
		return nil
	}
	it.flow.deficit -= it.Tokens
	q.remove(it)
	return it
}

// Remove removes and returns the item with the given ID without charging its
// customer. It returns nil when there is no such item.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it != nil {
		q.remove(it)
	}
	return it
}

// Check returns an error when the counters don't match the items or an item was
// shed before an item of a lower tier.
func (q *Queue) Check() error {
	count, tokens := 0, 0
	for i := range q.tiers {
		t := &q.tiers[i]
		c, k := t.totals()
		if c != t.count || k != t.tokens || len(t.flows) != len(t.ring) {
			return fmt.Errorf("brqueue: tier %d holds %d items with %d tokens, counters are %d and %d", i+1, c, k, t.count, t.tokens)
		}
		count, tokens = count+c, tokens+k
	}
	if count != len(q.items) || tokens != q.tokens {
		return fmt.Errorf("brqueue: tiers hold %d items with %d tokens, counters are %d and %d", count, tokens, len(q.items), q.tokens)
	}
	if q.shedViolations > 0 {
		return fmt.Errorf("brqueue: %d items shed before a lower tier", q.shedViolations)
	}
	return nil
}

func (q *Queue) remove(it *Item) {
	f, t := it.flow, q.tier(it.Tier)
	f.delete(it)
	f.tokens -= it.Tokens
	t.tokens -= it.Tokens
	t.count--
	q.tokens -= it.Tokens
	delete(q.items, it.ID)
	it.flow = nil
	if len(f.heap) == 0 {
		t.removeFlow(f)
		q.freeFlows = append(q.freeFlows, f)
	}
}

func (q *Queue) newFlow(customer string) *flow {
	f := &flow{}
	if n := len(q.freeFlows); n > 0 {
		f, q.freeFlows = q.freeFlows[n-1], q.freeFlows[:n-1]
	}
	*f = flow{customer: customer, weight: q.weight(customer), heap: f.heap[:0]}
	return f
}

func (q *Queue) weight(customer string) int { return max(1, q.weights[customer]) }

func (q *Queue) tier(tier int) *tier {
	if tier < 1 || tier > Tiers {
		panic("brqueue: tier out of range")
	}
	return &q.tiers[tier-1]
}
