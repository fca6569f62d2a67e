package brqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func item(id, customer string, tier, tokens, seconds int) *Item {
	return &Item{ID: id, Customer: customer, Tier: tier, Tokens: tokens, Deadline: epoch.Add(time.Duration(seconds) * time.Second)}
}

func ids(items []*Item) (s []string) {
	for _, it := range items {
		s = append(s, it.ID)
	}
	return s
}

func drain(q *Queue) (s []string) {
	for it := q.Pop(); it != nil; it = q.Pop() {
		s = append(s, it.ID)
	}
	return s
}

// Guards against an order that ignores the tier, the customers' shares or the
// deadline, and against starvation of a request larger than the quantum.
func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights map[string]int
		items   []*Item
		want    []string
	}{
		{"tier first", nil, []*Item{item("low", "a", 5, 1, 1), item("high", "a", 1, 9000, 9)}, []string{"high", "low"}},
		{"deadline within a customer", nil, []*Item{item("late", "a", 2, 1, 9), item("early", "a", 2, 1, 1)}, []string{"early", "late"}},
		{"arrival for equal deadlines", nil, []*Item{item("1", "a", 2, 1, 1), item("2", "a", 2, 1, 1), item("3", "a", 2, 1, 1), item("4", "a", 2, 1, 1)}, []string{"1", "2", "3", "4"}},
		{"equal shares", nil, []*Item{item("a1", "a", 2, 2000, 1), item("a2", "a", 2, 2000, 2), item("a3", "a", 2, 2000, 3), item("b1", "b", 2, 2000, 9)}, []string{"a1", "b1", "a2", "a3"}},
		{"weight 2", map[string]int{"a": 2}, []*Item{item("a1", "a", 2, 2000, 1), item("a2", "a", 2, 2000, 2), item("a3", "a", 2, 2000, 3), item("b1", "b", 2, 2000, 9)}, []string{"a1", "a2", "b1", "a3"}},
		{"long request waits for its share", nil, []*Item{item("long", "a", 2, 5*Quantum, 1), item("b1", "b", 2, Quantum, 2), item("b2", "b", 2, Quantum, 3)}, []string{"b1", "b2", "long"}},
	} {
		var q Queue
		q.SetWeights(c.weights)
		for _, it := range c.items {
			q.Push(it)
		}
		if diff := cmp.Diff(c.want, drain(&q)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Guards against one customer's burst that evicts another customer's request,
// and against shedding an item while a lower tier is queued.
func TestShed(t *testing.T) {
	var q Queue
	for _, it := range []*Item{item("a1", "a", 2, 10, 1), item("a2", "a", 2, 10, 2), item("b1", "b", 2, 10, 3), item("low", "b", 4, 10, 1)} {
		q.Push(it)
	}
	if got := q.TokensAhead(q.Get("b1")); got != 10 {
		t.Errorf("%d tokens ahead of b1, want 10", got)
	}
	if diff := cmp.Diff([]string{"low", "a2"}, ids(q.ShedToLimit(20))); diff != "" {
		t.Error(diff)
	}
	q.Push(item("low2", "b", 5, 10, 9))
	if diff := cmp.Diff([]string{"low2", "a1"}, ids(q.ShedExpired(epoch.Add(2*time.Second)))); diff != "" {
		t.Error(diff)
	}
	if err := q.Check(); err != nil {
		t.Error(err)
	}
}

// Guards against wrong counters and against shedding before a lower tier, under
// any order of operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				q.Push(item(fmt.Sprint(n), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					rapid.IntRange(1, Tiers).Draw(t, "tier"), rapid.IntRange(1, 20000).Draw(t, "tokens"), rapid.IntRange(0, 100).Draw(t, "deadline")))
			},
			"pop":    func(t *rapid.T) { q.Pop() },
			"remove": func(t *rapid.T) { q.Remove(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))) },
			"fit":    func(t *rapid.T) { q.ShedToLimit(rapid.IntRange(0, 100000).Draw(t, "limit")) },
			"expire": func(t *rapid.T) {
				q.ShedExpired(epoch.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "now")) * time.Second))
			},
			"": func(t *rapid.T) {
				if err := q.Check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// Guards against an estimate that follows a single long response or doesn't follow
// a change, and against unbounded memory.
func TestEstimator(t *testing.T) {
	var e Estimator
	if got := e.Estimate("new", "drafting", 4096); got != 4096 {
		t.Errorf("unknown route: estimate %d, want the maximum of 4096", got)
	}
	for i := range 200 {
		e.Observe("a", "drafting", 100)
		if i%20 == 0 {
			e.Observe("a", "drafting", 4000)
		}
	}
	if got := e.Estimate("a", "drafting", 4096); got < 100 || got > 150 {
		t.Errorf("known customer: estimate %d, want 100 to 150", got)
	}
	if got := e.Estimate("new", "drafting", 50); got != 50 {
		t.Errorf("new customer on a known route: estimate %d, want the maximum of 50", got)
	}
	for range 100 {
		e.Observe("a", "drafting", 1000)
	}
	if got := e.Estimate("a", "drafting", 4096); got < 1000 || got > 1500 {
		t.Errorf("after a change to 1000 tokens: estimate %d, want 1000 to 1500", got)
	}
	for i := range 2 * maxHistories {
		e.Observe(fmt.Sprint(i), "r", 5)
	}
	if len(e.histories) > maxHistories {
		t.Errorf("%d histories exceed the limit", len(e.histories))
	}
}

func ExampleQueue() {
	var q Queue
	q.Push(&Item{ID: "draft", Customer: "trust", Tier: 4, Tokens: 2000, Deadline: epoch.Add(time.Minute)})
	q.Push(&Item{ID: "question", Customer: "trust", Tier: 1, Tokens: 300, Deadline: epoch.Add(time.Second)})
	for it := q.Pop(); it != nil; it = q.Pop() {
		fmt.Println(it.ID)
	}
	// Output:
	// question
	// draft
}
