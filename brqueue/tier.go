package brqueue

import "slices"

// tier holds the customers with queued items in round robin order.
type tier struct {
	flows   map[string]*flow
	ring    []*flow
	cur     int
	visited bool // the customer at cur has got its quantum of this visit
	count   int
	tokens  int
}

// next returns the customer whose first item is due.
func (t *tier) next() *flow {
	for {
		for range len(t.ring) + 1 {
			f := t.ring[t.cur]
			if !t.visited {
				f.deficit += Quantum * f.weight
				t.visited = true
			}
			if f.heap[0].item.Tokens <= f.deficit {
				return f
			}
			t.cur, t.visited = (t.cur+1)%len(t.ring), false
		}
		t.skipRounds()
	}
}

// skipRounds adds at once the rounds in which no customer is due, so that a
// request of 100,000 tokens doesn't cost 50 passes over the ring.
func (t *tier) skipRounds() {
	rounds := -1
	for _, f := range t.ring {
		gain := Quantum * f.weight
		n := (f.heap[0].item.Tokens - f.deficit - 1) / gain // whole rounds that still leave it short
		if rounds < 0 || n < rounds {
			rounds = n
		}
	}
	for _, f := range t.ring {
		f.deficit += max(0, rounds) * Quantum * f.weight
	}
}

func (t *tier) add(f *flow) {
	if t.flows == nil {
		t.flows = make(map[string]*flow)
	}
	t.flows[f.customer] = f
	t.ring = append(t.ring, f)
}

// drop removes a customer without items; its credit is lost, so an idle
// customer saves nothing up.
func (t *tier) drop(f *flow) {
	i := slices.Index(t.ring, f)
	t.ring = slices.Delete(t.ring, i, i+1)
	delete(t.flows, f.customer)
	switch {
	case i < t.cur:
		t.cur--
	case i == t.cur:
		t.visited = false
	}
	if t.cur >= len(t.ring) {
		t.cur = 0
	}
}

func (t *tier) sum() (count, tokens int) {
	for _, f := range t.ring {
		for _, e := range f.heap {
			count, tokens = count+1, tokens+e.item.Tokens
		}
	}
	return count, tokens
}

// flow is one customer's queue, a heap by deadline. Deadlines are kept in the
// entries because Ahead reads all of them.
type flow struct {
	customer string
	weight   int
	deficit  int
	tokens   int
	heap     []entry
}

type entry struct {
	deadline int64  // Unix nanoseconds
	order    uint64 // of the push; decides between equal deadlines
	item     *Item
}

func (a entry) before(b entry) bool {
	return a.deadline < b.deadline || a.deadline == b.deadline && a.order < b.order
}

func (f *flow) push(it *Item, order uint64) {
	f.heap = append(f.heap, entry{it.Deadline.UnixNano(), order, it})
	f.up(len(f.heap) - 1)
}

func (f *flow) delete(it *Item) {
	i := slices.IndexFunc(f.heap, func(e entry) bool { return e.item == it })
	n := len(f.heap) - 1
	f.heap[i] = f.heap[n]
	f.heap[n] = entry{}
	f.heap = f.heap[:n]
	if i < n {
		f.down(i)
		f.up(i)
	}
}

func (f *flow) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !f.heap[i].before(f.heap[p]) {
			return
		}
		f.heap[p], f.heap[i] = f.heap[i], f.heap[p]
		i = p
	}
}

func (f *flow) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(f.heap) {
			return
		}
		if c+1 < len(f.heap) && f.heap[c+1].before(f.heap[c]) {
			c++
		}
		if !f.heap[c].before(f.heap[i]) {
			return
		}
		f.heap[i], f.heap[c] = f.heap[c], f.heap[i]
		i = c
	}
}
