package brqueue

import "slices"

// tier holds the customers with queued items in round-robin order.
type tier struct {
	flows        map[string]*flow
	ring         []*flow
	current      int
	quantumAdded bool // whether the current customer got its quantum for this visit
	count        int
	tokens       int
}

// next returns the customer whose first item is granted next.
func (t *tier) next() *flow {
	for {
		for range len(t.ring) + 1 {
			f := t.ring[t.current]
			if !t.quantumAdded {
				f.deficit += Quantum * f.weight
				t.quantumAdded = true
			}
			if f.heap[0].item.Tokens <= f.deficit {
				return f
			}
			t.current, t.quantumAdded = (t.current+1)%len(t.ring), false
		}
		t.skipRounds()
	}
}

// skipRounds adds the deficits of all rounds in which no customer can be served,
// so that a request of 100,000 tokens doesn't need 50 passes over the ring.
func (t *tier) skipRounds() {
	rounds := -1
	for _, f := range t.ring {
		gain := Quantum * f.weight
		n := (f.heap[0].item.Tokens - f.deficit - 1) / gain // complete rounds after which the deficit is still too small
		if rounds < 0 || n < rounds {
			rounds = n
		}
	}
	for _, f := range t.ring {
		f.deficit += max(0, rounds) * Quantum * f.weight
	}
}

func (t *tier) addFlow(f *flow) {
	if t.flows == nil {
		t.flows = make(map[string]*flow)
	}
	t.flows[f.customer] = f
	t.ring = append(t.ring, f)
}

// removeFlow removes a customer without items. Its deficit is discarded, so an
// idle customer accumulates no credit.
func (t *tier) removeFlow(f *flow) {
	i := slices.Index(t.ring, f)
	t.ring = slices.Delete(t.ring, i, i+1)
	delete(t.flows, f.customer)
	switch {
	case i < t.current:
		t.current--
	case i == t.current:
		t.quantumAdded = false
	}
	if t.current >= len(t.ring) {
		t.current = 0
	}
}

func (t *tier) totals() (count, tokens int) {
	for _, f := range t.ring {
		for _, e := range f.heap {
			count, tokens = count+1, tokens+e.item.Tokens
		}
	}
	return count, tokens
}

// flow is the queue of one customer, a heap ordered by deadline. The deadlines are
// stored in the entries because TokensAhead reads all of them.
type flow struct {
	customer string
	weight   int
	deficit  int
	tokens   int
	heap     []entry
}

type entry struct {
	deadline int64  // Unix nanoseconds
	order    uint64 // of insertion; breaks ties between equal deadlines
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
