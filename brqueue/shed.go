package brqueue

import "time"

// Shed removes an item because of overload, after all items of lower tiers, the
// lowest tier first. It returns the removed items in order of their removal. Shed
// panics if the item isn't queued.
func (q *Queue) Shed(it *Item) []*Item {
	if q.items[it.ID] != it {
		panic("brqueue: item is not queued")
	}
	var out []*Item
	for t := Tiers; t > it.Tier; t-- {
		for _, f := range append([]*flow(nil), q.tiers[t-1].ring...) {
			for len(f.heap) > 0 {
				out = q.shedOne(out, f.heap[0].item)
			}
		}
	}
	return q.shedOne(out, it)
}

// ShedToLimit sheds items until the queue holds at most limit tokens. It returns the
// items in order of their removal. Items are shed from the lowest queued tier,
// within it from the customer with the most work per weight, and the latest
// deadline first. A burst of one customer therefore can't evict the others' items.
func (q *Queue) ShedToLimit(limit int) []*Item {
	var out []*Item
	for q.tokens > limit {
		out = q.shedOne(out, q.victim())
	}
	return out
}

// ShedExpired sheds the items whose deadline is before now, from the lowest tier to
// the highest. It returns all removed items in order of their removal.
func (q *Queue) ShedExpired(now time.Time) []*Item {
	var out []*Item
	limit := now.UnixNano()
	for t := Tiers; t >= 1; t-- {
		for i := 0; i < len(q.tiers[t-1].ring); {
			f := q.tiers[t-1].ring[i]
			if f.heap[0].deadline >= limit {
				i++
				continue
			}
			out = append(out, q.Shed(f.heap[0].item)...)
			// A customer without items was removed from the ring, so i is the next customer.
		}
	}
	return out
}

// TokensAhead returns the expected work, in tokens, that is granted before the item:
// all work of higher tiers, the items of its customer with earlier deadlines, and
// the work that the weights of the other customers of its tier allow them in the
// meantime. TokensAhead panics if the item isn't queued.
func (q *Queue) TokensAhead(it *Item) int {
	if q.items[it.ID] != it {
		panic("brqueue: item is not queued")
	}
	ahead := 0
	for t := 1; t < it.Tier; t++ {
		ahead += q.TierTokens(t)
	}
	own, deadline := 0, it.Deadline.UnixNano()
	for _, e := range it.flow.heap {
		// Most items with an equal deadline were queued earlier.
		if e.item != it && e.deadline <= deadline {
			own += e.item.Tokens
		}
	}
	for _, f := range q.tier(it.Tier).ring {
		if f != it.flow {
			ahead += min(f.tokens, (own+it.Tokens)*f.weight/it.flow.weight)
		}
	}
	return ahead + own
}

func (q *Queue) shedOne(out []*Item, it *Item) []*Item {
	for t := it.Tier + 1; t <= Tiers; t++ {
		if q.TierLen(t) > 0 {
			q.shedViolations++
		}
	}
	q.remove(it)
	return append(out, it)
}

// victim returns the item to shed from a full queue. The queue must not be empty.
func (q *Queue) victim() *Item {
	t := Tiers
	for q.TierLen(t) == 0 {
		t--
	}
	var largest *flow
	for _, f := range q.tier(t).ring {
		if largest == nil || f.tokens*largest.weight > largest.tokens*f.weight {
			largest = f
		}
	}
	latest := largest.heap[0]
	for _, e := range largest.heap {
		if latest.before(e) {
			latest = e
		}
	}
	return latest.item
}
