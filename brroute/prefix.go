package brroute

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brwire"
)

const (
	// maxBlocks bounds the index over the pool: with 64 tokens a block it covers
	// 16.7 million cached tokens in about 25 MB.
	maxBlocks = 1 << 18
	// blockAge is how long a block counts as cached without a new event.
	blockAge = 10 * time.Minute
	// gapWait and gapEvents bound how long later events wait for a missing one.
	gapWait   = 2 * time.Second
	gapEvents = 64
	// maxLookup bounds the blocks of a prompt that are looked up: 65,536 tokens.
	maxLookup = 1024
)

// prefixIndex tells which endpoints hold a prefix block. A wrong entry only
// makes an estimate wrong, so it prefers to drop too much.
type prefixIndex struct {
	blocks map[uint64][]holder
	slots  []cacheSlot
	free   []int
	count  int // holders

	fifo []insertion // in the order of time, for aging and the bound
	head int

	depth   []int // blocks of the last lookup's prefix, by slot
	touched []int
}

type holder struct {
	slot       int
	generation uint32
	sequence   uint64
	at         int64 // Unix seconds
}

type insertion struct {
	hash uint64
	holder
}

// cacheSlot is one endpoint's state of cache events.
type cacheSlot struct {
	generation uint32 // of entries that count; grows when all are dropped
	next       uint64 // sequence of the next event; 0 before the first
	floor      uint64 // entries of older events were dropped by a gap
	held       []brwire.CacheEvent
	heldSince  time.Time
}

func (x *prefixIndex) newSlot() int {
	if n := len(x.free); n > 0 {
		slot := x.free[n-1]
		x.free = x.free[:n-1]
		return slot
	}
	x.slots = append(x.slots, cacheSlot{})
	x.depth = append(x.depth, 0)
	return len(x.slots) - 1
}

func (x *prefixIndex) freeSlot(slot int) {
	x.reset(slot)
	x.free = append(x.free, slot)
}

// reset drops all entries of a slot, for a new incarnation or version.
func (x *prefixIndex) reset(slot int) {
	x.slots[slot] = cacheSlot{generation: x.slots[slot].generation + 1}
}

// apply applies events in the order of their sequence. Events after a missing
// one wait for it for a bounded time; then the gap drops the slot's older
// entries, because the lost event may have evicted any of them.
func (x *prefixIndex) apply(now time.Time, slot int, events []brwire.CacheEvent) {
	s := &x.slots[slot]
	for _, ev := range events {
		if s.next == 0 {
			s.next = ev.Sequence
		}
		switch {
		case ev.Sequence < s.next:
			if ev.Evicted {
				x.evict(slot, ev)
			}
		case ev.Sequence == s.next:
			x.applyNext(now, slot, ev)
			x.drainHeld(now, slot)
		default:
			x.hold(now, s, ev)
		}
	}
	x.closeGap(now, slot)
}

func (x *prefixIndex) hold(now time.Time, s *cacheSlot, ev brwire.CacheEvent) {
	i, found := slices.BinarySearchFunc(s.held, ev.Sequence, func(h brwire.CacheEvent, n uint64) int {
		switch {
		case h.Sequence < n:
			return -1
		case h.Sequence > n:
			return 1
		}
		return 0
	})
	if found {
		return
	}
	if len(s.held) == 0 {
		s.heldSince = now
	}
	s.held = slices.Insert(s.held, i, ev)
}

func (x *prefixIndex) closeGap(now time.Time, slot int) {
	s := &x.slots[slot]
	for len(s.held) > gapEvents || len(s.held) > 0 && now.Sub(s.heldSince) >= gapWait {
		s.floor, s.next = s.held[0].Sequence, s.held[0].Sequence
		x.drainHeld(now, slot)
	}
}

func (x *prefixIndex) drainHeld(now time.Time, slot int) {
	s := &x.slots[slot]
	n := 0
	for n < len(s.held) && s.held[n].Sequence <= s.next {
		if s.held[n].Sequence == s.next {
			x.applyNext(now, slot, s.held[n])
		}
		n++
	}
	if n > 0 {
		s.held = slices.Delete(s.held, 0, n)
		s.heldSince = now
	}
}

func (x *prefixIndex) applyNext(now time.Time, slot int, ev brwire.CacheEvent) {
	x.slots[slot].next = ev.Sequence + 1
	if ev.Evicted {
		x.evict(slot, ev)
		return
	}
	for _, h := range ev.Hashes {
		x.store(now, slot, h, ev.Sequence)
	}
}

func (x *prefixIndex) evict(slot int, ev brwire.CacheEvent) {
	for _, hash := range ev.Hashes {
		hs := x.blocks[hash]
		if i := slices.IndexFunc(hs, func(h holder) bool { return h.slot == slot }); i >= 0 && hs[i].sequence <= ev.Sequence {
			x.drop(hash, i)
		}
	}
}

// expect records blocks that a granted prompt will put into the cache, before
// the endpoint's own events arrive. Blocks that are held keep their age.
func (x *prefixIndex) expect(now time.Time, slot int, hashes []uint64) {
	if len(hashes) > maxLookup {
		hashes = hashes[:maxLookup]
	}
	sequence := max(x.slots[slot].next, x.slots[slot].floor)
	for _, hash := range hashes {
		if i := slices.IndexFunc(x.blocks[hash], func(h holder) bool { return h.slot == slot }); i < 0 || !x.valid(x.blocks[hash][i]) {
			x.store(now, slot, hash, sequence)
		}
	}
}

// forget drops the blocks from index from on, after an endpoint reported that it
// had to prefill them.
func (x *prefixIndex) forget(slot int, hashes []uint64, from int) {
	for i := from; i < len(hashes); i++ {
		if j := slices.IndexFunc(x.blocks[hashes[i]], func(h holder) bool { return h.slot == slot }); j >= 0 {
			x.drop(hashes[i], j)
		}
	}
}

func (x *prefixIndex) store(now time.Time, slot int, hash, sequence uint64) {
	if x.blocks == nil {
		x.blocks = make(map[uint64][]holder)
	}
	n := holder{slot, x.slots[slot].generation, sequence, now.Unix()}
	hs := x.blocks[hash]
	if i := slices.IndexFunc(hs, func(h holder) bool { return h.slot == slot }); i >= 0 {
		hs[i] = n
	} else {
		x.blocks[hash] = append(hs, n)
		x.count++
	}
	x.fifo = append(x.fifo, insertion{hash, n})
	for len(x.fifo)-x.head > maxBlocks {
		x.popOldest()
	}
}

// age drops the entries that are too old and closes gaps that waited too long.
func (x *prefixIndex) age(now time.Time) {
	limit := now.Add(-blockAge).Unix()
	for x.head < len(x.fifo) && x.fifo[x.head].at < limit {
		x.popOldest()
	}
	for slot := range x.slots {
		if len(x.slots[slot].held) > 0 {
			x.closeGap(now, slot)
		}
	}
}

// popOldest removes the oldest insertion, and its entry unless a newer event
// refreshed it.
func (x *prefixIndex) popOldest() {
	in := x.fifo[x.head]
	x.head++
	if x.head > len(x.fifo)/2 {
		x.fifo = x.fifo[:copy(x.fifo, x.fifo[x.head:])]
		x.head = 0
	}
	if i := slices.Index(x.blocks[in.hash], in.holder); i >= 0 {
		x.drop(in.hash, i)
	}
}

func (x *prefixIndex) drop(hash uint64, i int) {
	hs := x.blocks[hash]
	hs[i] = hs[len(hs)-1]
	if hs = hs[:len(hs)-1]; len(hs) == 0 {
		delete(x.blocks, hash)
	} else {
		x.blocks[hash] = hs
	}
	x.count--
}

func (x *prefixIndex) valid(h holder) bool {
	s := &x.slots[h.slot]
	return h.generation == s.generation && h.sequence >= s.floor
}

// lookup sets depth to the number of leading blocks that each slot holds and
// returns the largest.
func (x *prefixIndex) lookup(hashes []uint64) int {
	for _, slot := range x.touched {
		x.depth[slot] = 0
	}
	x.touched = x.touched[:0]
	for n, hash := range hashes[:min(len(hashes), maxLookup)] {
		extended := false
		for _, h := range x.blocks[hash] {
			if x.depth[h.slot] != n || !x.valid(h) {
				continue
			}
			x.depth[h.slot] = n + 1
			extended = true
			if n == 0 {
				x.touched = append(x.touched, h.slot)
			}
		}
		if !extended {
			return n
		}
	}
	return min(len(hashes), maxLookup)
}

func (x *prefixIndex) check() error {
	if x.count > maxBlocks || len(x.fifo)-x.head > maxBlocks {
		return fmt.Errorf("brroute: prefix index holds %d blocks of %d insertions, bound %d", x.count, len(x.fifo)-x.head, maxBlocks)
	}
	for slot := range x.slots {
		if n := len(x.slots[slot].held); n > gapEvents {
			return fmt.Errorf("brroute: %d cache events held for slot %d, bound %d", n, slot, gapEvents)
		}
	}
	return nil
}
