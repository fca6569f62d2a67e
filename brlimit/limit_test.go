package brlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func at(ms int) time.Time { return time.UnixMilli(int64(1e12 + ms)) }

// TestObserve guards against a limit that an older response lifts or brings back, and
// against one that lapses though the endpoint still states it.
func TestObserve(t *testing.T) {
	one, two, none := Limit{Limited: true, Rate: 1}, Limit{Limited: true, Rate: 2}, Limit{}
	brittle, both := Limit{Brittle: true}, Limit{Limited: true, Rate: 1, Brittle: true}
	type step struct {
		now, sentAt int
		stated      Limit
		publish     bool
		want        Limit
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"first", []step{{10, 5, none, false, none}, {20, 5, one, true, one}}},
		{"lifted", []step{{10, 5, one, true, one}, {30, 20, none, true, none}}},
		{"older without a limit", []step{{10, 5, one, true, one}, {30, 9, none, false, one}}},
		{"older with another limit", []step{{10, 5, one, true, one}, {30, 9, two, false, one}}},
		{"older with the lifted limit", []step{{10, 5, one, true, one}, {30, 20, none, true, none}, {40, 25, one, false, none}}},
		{"no rejections", []step{{10, 5, brittle, true, brittle}, {20, 15, brittle, false, brittle}, {6000, 5900, brittle, true, brittle}}},
		{"no rejections, lifted", []step{{10, 5, brittle, true, brittle}, {30, 20, none, true, none}}},
		{"one of two lifted", []step{{10, 5, both, true, both}, {30, 9, one, false, both}, {40, 20, one, true, one}}},
		{"refreshed", []step{{10, 5, one, true, one}, {20, 15, one, false, one}, {6000, 5900, one, true, one}}},
	} {
		var k Known
		for i, s := range test.steps {
			if got := k.Observe(at(s.now), at(s.sentAt), s.stated); got != s.publish || k.Limit() != s.want {
				t.Errorf("%s, step %d: publish %v, limit %+v; want %v, %+v", test.name, i, got, k.Limit(), s.publish, s.want)
			}
		}
	}
	var k Known
	k.Set(at(10), one)
	if k.Observe(at(20), at(5), none); k.Limit() != one {
		t.Error("the response to an earlier request lifts a limit that another process has published")
	}
}

// TestSharesAgree guards against members that divide the limits differently, exceed
// them together, or are left without a share while others hold several.
func TestSharesAgree(t *testing.T) {
	for _, members := range []int{1, 11, 67, 200} {
		for _, rate := range []float64{0, 0.5, 1.6, 6, 500} {
			var ids []string
			rates := map[string]float64{}
			for i := range members {
				ids = append(ids, fmt.Sprintf("d%03d", i))
			}
			for i := range 20 {
				rates[fmt.Sprint("e", i)] = rate
			}
			sum, burst := map[string]float64{}, map[string]float64{}
			fewest, most := len(rates), 0
			for _, id := range ids {
				shares := Shares(rates, ids, id)
				fewest, most = min(fewest, len(shares)), max(most, len(shares))
				for e, s := range shares {
					sum[e] += s.Rate
					burst[e] += s.Burst
				}
			}
			for e := range rates {
				if want := max(MinRate, rate); sum[e] < 0.999*want || sum[e] > 1.001*want || burst[e] > rate+2 {
					t.Errorf("%d members, rate %v: %v and at once %v in all, want %v and at most %v", members, rate, sum[e], burst[e], want, rate+2)
				}
			}
			if even := len(rates) * holderCount(rate, members) / members; most > 2*even+1 {
				t.Errorf("%d members, rate %v: %d to %d shares for each, want at most %d", members, rate, fewest, most, 2*even+1)
			}
		}
	}
	if got := Shares(map[string]float64{"e": 1}, []string{"a"}, "b"); len(got) > 0 {
		t.Errorf("shares %v of a process that is no member, want none", got)
	}
}

// TestSlotsAgree guards against members that together use more slots than an endpoint
// has, or fewer, and against one that holds many while another holds none.
func TestSlotsAgree(t *testing.T) {
	for _, members := range []int{1, 11, 67, 200} {
		for _, each := range []int{0, 1, 4, 7, 19} {
			var ids []string
			slots := map[string]int{}
			for i := range members {
				ids = append(ids, fmt.Sprintf("d%03d", i))
			}
			for i := range 18 {
				slots[fmt.Sprint("e", i)] = each
			}
			sum, fewest, most := map[string]int{}, 18*each, 0
			for _, id := range ids {
				held := 0
				for e, n := range Slots(slots, ids, id) {
					sum[e] += n
					held += n
				}
				fewest, most = min(fewest, held), max(most, held)
			}
			for e := range slots {
				if sum[e] != each {
					t.Errorf("%d members, %d slots: %d held in all", members, each, sum[e])
				}
			}
			if even := 18 * each / members; fewest < even/2 || most > 2*even+2 {
				t.Errorf("%d members, %d slots: %d to %d held by each, want about %d", members, each, fewest, most, even)
			}
		}
	}
}

// TestSharesAreStable guards against a change of all holders when one member or one
// endpoint is added: each new holder starts beside an old one that doesn't know yet.
func TestSharesAreStable(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	rates := map[string]float64{}
	for i := range 12 {
		rates[fmt.Sprint("e", i)] = 1.6
	}
	count := func(rates map[string]float64, ids []string) map[string][]string {
		holders := map[string][]string{}
		for _, id := range ids {
			for e := range Shares(rates, ids, id) {
				holders[e] = append(holders[e], id)
			}
		}
		return holders
	}
	before, after := count(rates, ids), count(rates, append(slices.Clone(ids), "i"))
	changed := 0
	for e := range before {
		if !cmp.Equal(before[e], after[e]) {
			changed++
		}
	}
	if changed > len(rates)/2+2 {
		t.Errorf("holders of %d of %d endpoints change with a ninth member, want about a quarter", changed, len(rates))
	}
}

// TestBucket guards against a share that is spent before it has accrued, and against
// saving up more than its burst.
func TestBucket(t *testing.T) {
	var b Bucket
	if got := b.Tokens(at(1000)); got != 0 {
		t.Errorf("%v tokens of the zero value, want 0", got)
	}
	b.SetShare(at(0), Share{Rate: 2, Burst: 1})
	for _, test := range []struct {
		ms   int
		want float64
	}{{0, 0}, {250, 0.5}, {500, 1}, {9000, 1}} {
		if got := b.Tokens(at(test.ms)); got != test.want {
			t.Errorf("%v tokens after %d ms, want %v", got, test.ms, test.want)
		}
	}
	b.Take(at(9000))
	b.SetShare(at(9250), Share{})
	if got := b.Tokens(at(20000)); got > 0.5 {
		t.Errorf("%v tokens without a share, want no more than before", got)
	}
}

func BenchmarkShares(b *testing.B) {
	for _, size := range []struct{ members, endpoints int }{{11, 18}, {67, 144}, {200, 156}} {
		var ids []string
		rates := map[string]float64{}
		for i := range size.members {
			ids = append(ids, fmt.Sprintf("d%03d", i))
		}
		for i := range size.endpoints {
			rates[fmt.Sprint("e", i)] = 1.6
		}
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", size.members, size.endpoints), func(b *testing.B) {
			for b.Loop() {
				Shares(rates, ids, "d000")
			}
		})
	}
}

func BenchmarkSlots(b *testing.B) {
	for _, size := range []struct{ members, endpoints, slots int }{{11, 18, 7}, {67, 72, 4}, {200, 156, 4}} {
		var ids []string
		slots := map[string]int{}
		for i := range size.members {
			ids = append(ids, fmt.Sprintf("d%03d", i))
		}
		for i := range size.endpoints {
			slots[fmt.Sprint("e", i)] = size.slots
		}
		b.Run(fmt.Sprintf("members=%d/endpoints=%d/slots=%d", size.members, size.endpoints, size.slots), func(b *testing.B) {
			for b.Loop() {
				Slots(slots, ids, "d000")
			}
		})
	}
}
