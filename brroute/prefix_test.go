package brroute

import (
	"testing"

	"bramleyroute/brwire"
	"pgregory.net/rapid"
)

func stored(sequence uint64, hashes ...uint64) brwire.CacheEvent {
	return brwire.CacheEvent{Sequence: sequence, Hashes: hashes}
}

func evicted(sequence uint64, hashes ...uint64) brwire.CacheEvent {
	return brwire.CacheEvent{Sequence: sequence, Evicted: true, Hashes: hashes}
}

// Guards against affinity to blocks that an engine evicted in an event that was
// lost, and against dropping the index when an event is only late.
func TestCacheEvents(t *testing.T) {
	var many []brwire.CacheEvent
	for i := range uint64(maxBufferedEvents + 1) {
		many = append(many, stored(3+i, 100+i))
	}
	for _, c := range []struct {
		name   string
		events [][]brwire.CacheEvent // one report per second
		want   int                   // leading blocks found of 1, 2, 3
	}{
		{"in order", [][]brwire.CacheEvent{{stored(1, 1, 2)}, {stored(2, 3)}}, 3},
		{"late", [][]brwire.CacheEvent{{stored(1, 1)}, {stored(3, 3)}, {stored(2, 2)}}, 3},
		{"late eviction is applied before a later store", [][]brwire.CacheEvent{{stored(1, 1, 2)}, {stored(3, 2)}, {evicted(2, 2)}}, 2},
		{"twice", [][]brwire.CacheEvent{{stored(1, 1, 2)}, {evicted(2, 2)}, {stored(1, 1, 2)}}, 1},
		{"gap drops older entries", [][]brwire.CacheEvent{{stored(1, 1, 2)}, {stored(3, 2)}, {stored(4, 3)}, {}, {}}, 0},
		{"stored again after a gap", [][]brwire.CacheEvent{{stored(1, 1, 2)}, {stored(3, 1)}, {}, {}, {}}, 1},
		{"many after a gap", [][]brwire.CacheEvent{{stored(1, 1)}, many}, 0},
		{"hole in the prefix", [][]brwire.CacheEvent{{stored(1, 1, 3)}}, 1},
	} {
		var x prefixIndex
		slot := x.newSlot()
		for i, events := range c.events {
			x.apply(at(i*1000), slot, events)
		}
		x.expire(at(len(c.events) * 1000))
		if got := x.lookup([]uint64{1, 2, 3}); got != c.want {
			t.Errorf("%s: found %d leading blocks, want %d", c.name, got, c.want)
		}
		x.expire(at(20 * 60 * 1000))
		if x.holderCount != 0 || len(x.blocks) != 0 {
			t.Errorf("%s: %d blocks after 20 minutes, want 0", c.name, x.holderCount)
		}
	}
}

// Guards against an index that grows without limit or whose count differs from
// the number of its entries.
func TestIndexBound(t *testing.T) {
	var x prefixIndex
	slot := x.newSlot()
	for i := range maxBlocks + 1000 {
		x.store(at(0), slot, uint64(i), 1)
	}
	if err := x.check(); err != nil || x.lookup([]uint64{0}) != 0 || x.lookup([]uint64{maxBlocks}) != 1 {
		t.Errorf("index didn't replace the oldest blocks by the newest; check: %v", err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var x prefixIndex
		slots := []int{x.newSlot(), x.newSlot()}
		now := 0
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				now += rapid.IntRange(0, 100_000).Draw(t, "ms")
				h := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 4).Draw(t, "hashes")
				ev := brwire.CacheEvent{Sequence: rapid.Uint64Range(1, 200).Draw(t, "sequence"), Evicted: rapid.Bool().Draw(t, "evicted"), Hashes: h}
				x.apply(at(now), rapid.SampledFrom(slots).Draw(t, "slot"), []brwire.CacheEvent{ev})
			},
			"expect": func(t *rapid.T) { x.expect(at(now), slots[0], []uint64{1, 2, 3, 4}) },
			"reset":  func(t *rapid.T) { x.reset(slots[0]) },
			"age":    func(t *rapid.T) { x.expire(at(now)) },
			"": func(t *rapid.T) {
				n := 0
				for _, hs := range x.blocks {
					n += len(hs)
				}
				if n != x.holderCount {
					t.Fatalf("index has %d entries, count is %d", n, x.holderCount)
				}
			},
		})
	})
}

// Guards against affinity that outweighs load, since a cached prefix saves only
// its prefill time.
func TestAffinityYieldsToLoad(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	warm := report("warm", "v1", 1, 100_000)
	warm.CacheEvents = []brwire.CacheEvent{stored(1, 1, 2, 3, 4)}
	tb.Report(at(0), warm)
	tb.Report(at(0), report("cold", "v1", 1, 100_000))
	r := Request{Tier: 1, PromptTokens: 300, OutputTokens: 10, MaxTokens: 10, PrefixHashes: []uint64{1, 2, 3, 4}}
	if f := grant(t, tb, at(0), r); f.EndpointID != "warm" || f.uncached != 300-4*brwire.PrefixBlockTokens {
		t.Errorf("idle: granted to %s with %d uncached tokens, want warm and only the uncached part", f.EndpointID, f.uncached)
	}
	for range 20 {
		c := Choice{endpoint: tb.byID["warm"], share: -1}
		tb.Grant(at(0), Request{Tier: 1, PromptTokens: 3000, OutputTokens: 10, MaxTokens: 10}, c)
	}
	if f := grant(t, tb, at(0), r); f.EndpointID != "cold" {
		t.Errorf("loaded: granted to %s, want cold", f.EndpointID)
	}
}
