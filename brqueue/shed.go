package brqueue

import "time"

// Shed removes an item because of overload, and before it everything of lower
// tiers, the lowest first. It returns the removed items in that order. Shed
// panics if it isn't queued.
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

// Fit sheds items until the queue holds at most limit tokens, and returns them
// in the order of their removal. Victims come from the lowest tier that is
// queued; within it from the customer with the most work per weight, the latest
// deadline first, so that one customer's flood cannot push out the others.
func (q *Queue) Fit(limit int) []*Item {
	var out []*Item
	for q.tokens > limit {
		out = q.shedOne(out, q.victim())
	}
	return out
}

// Expire sheds the items whose deadline is before now, from the lowest tier to
// the highest, and returns what was removed in that order.
func (q *Queue) Expire(now time.Time) []*Item {
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
			// A customer without items has left the ring, so i names the next one.
		}
	}
	return out
}

// Ahead returns the expected work, in tokens, that is granted before it: all of
// higher tiers, its customer's items with earlier deadlines, and of each other
// customer of its tier as much as its weight lets pass in the meantime. Ahead
// panics if it isn't queued.
func (q *Queue) Ahead(it *Item) int {
	if q.items[it.ID] != it {
		panic("brqueue: item is not queued")
	}
	ahead := 0
	for t := 1; t < it.Tier; t++ {
		ahead += q.TierTokens(t)
	}
	own, deadline := 0, it.Deadline.UnixNano()
	for _, e := range it.flow.heap {
		// Of items with an equal deadline most came earlier.
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
			q.shed++
		}
	}
	q.remove(it)
	return append(out, it)
}

// victim returns the item that a full queue loses. The queue isn't empty.
func (q *Queue) victim() *Item {
	t := Tiers
	for q.TierLen(t) == 0 {
		t--
	}
	var worst *flow
	for _, f := range q.tier(t).ring {
		if worst == nil || f.tokens*worst.weight > worst.tokens*f.weight {
			worst = f
		}
	}
	latest := worst.heap[0]
	for _, e := range worst.heap {
		if latest.before(e) {
			latest = e
		}
	}
	return latest.item
}
