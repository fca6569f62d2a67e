package brqueue

import (
	"fmt"
	"time"
)

// Tiers is the number of tiers; tier 1 is the highest.
const Tiers = 5

// Quantum is what a customer of weight 1 gains in each round, in tokens. It is
// near the size of a usual request, so that most rounds serve each customer.
const Quantum = 2048

// Item is one queued request. Its fields aren't modified while it is queued.
type Item struct {
	ID       string
	Customer string
	Tier     int       // 1 to Tiers
	Tokens   int       // expected work, at least 1
	Deadline time.Time // the latest time at which starting the item is useful

	flow *flow
}

// Queue holds items in the order in which they are granted. Its zero value is
// empty and ready to use; every customer has weight 1.
type Queue struct {
	tiers   [Tiers]tier
	items   map[string]*Item
	weights map[string]int
	tokens  int
	free    []*flow
	pushes  uint64
	shed    int // items shed while a lower tier was queued; stays 0
}

// SetWeights replaces the customers' weights. A customer without a weight, or
// with one below 1, has weight 1.
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

// Tokens returns the expected work of all queued items.
func (q *Queue) Tokens() int { return q.tokens }

// TierLen returns the number of items of one tier. TierLen panics if the tier is
// out of range.
func (q *Queue) TierLen(tier int) int { return q.tier(tier).count }

// TierTokens returns the expected work of one tier. TierTokens panics if the
// tier is out of range.
func (q *Queue) TierTokens(tier int) int { return q.tier(tier).tokens }

// Get returns the item with the id, or nil.
func (q *Queue) Get(id string) *Item { return q.items[id] }

// Push adds an item. Push panics if its tier or tokens are out of range or if an
// item with the same id is queued.
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
		t.add(f)
	}
	it.flow = f
	q.pushes++
	f.push(it, q.pushes)
	f.tokens += it.Tokens
	t.tokens += it.Tokens
	t.count++
	q.tokens += it.Tokens
	q.items[it.ID] = it
}

// Next returns the item to grant next without removing it, or nil when the queue
// is empty. The same item is returned until the queue changes.
func (q *Queue) Next() *Item {
	for i := range q.tiers {
		if t := &q.tiers[i]; t.count > 0 {
			return t.next().heap[0].item
		}
	}
	return nil
}

// Pop removes the item that Next returns and charges its customer.
func (q *Queue) Pop() *Item {
	it := q.Next()
	if it == nil {
		return nil
	}
	it.flow.deficit -= it.Tokens
	q.remove(it)
	return it
}

// Remove takes the item with the id out without charging its customer. It
// returns nil when no such item is queued.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it != nil {
		q.remove(it)
	}
	return it
}

// Check returns an error when the counters don't match the items or when the
// shed invariant was broken.
func (q *Queue) Check() error {
	count, tokens := 0, 0
	for i := range q.tiers {
		t := &q.tiers[i]
		c, k := t.sum()
		if c != t.count || k != t.tokens || len(t.flows) != len(t.ring) {
			return fmt.Errorf("brqueue: tier %d holds %d items of %d tokens, counted %d of %d", i+1, c, k, t.count, t.tokens)
		}
		count, tokens = count+c, tokens+k
	}
	if count != len(q.items) || tokens != q.tokens {
		return fmt.Errorf("brqueue: %d items of %d tokens, counted %d of %d", count, tokens, len(q.items), q.tokens)
	}
	if q.shed > 0 {
		return fmt.Errorf("brqueue: %d items shed before a lower tier", q.shed)
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
		t.drop(f)
		q.free = append(q.free, f)
	}
}

func (q *Queue) newFlow(customer string) *flow {
	f := &flow{}
	if n := len(q.free); n > 0 {
		f, q.free = q.free[n-1], q.free[:n-1]
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
