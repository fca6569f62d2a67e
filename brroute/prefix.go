package brroute

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brwire"
)

const (
	// maxBlocks limits the index of the pool. With 64 tokens per block it covers
	// 16.7 million cached tokens in about 25 MB.
	maxBlocks = 1 << 18
	// blockTTL is the time for which a block counts as cached without a new event.
	blockTTL = 10 * time.Minute
	// maxGapWait and maxBufferedEvents limit how long and how many later events are
	// buffered for a missing one.
	maxGapWait        = 2 * time.Second
	maxBufferedEvents = 64
	// maxLookup limits the blocks of a prompt that are looked up (65,536 tokens).
	maxLookup = 1024
)

// prefixIndex records which endpoints hold a prefix block. A wrong entry only
// makes a cost estimate wrong, so the index drops entries that may be outdated.
type prefixIndex struct {
	blocks      map[uint64][]holder
	slots       []cacheSlot
	free        []int
	holderCount int // number of holders in blocks

	fifo []insertion // in order of time, for expiry and the limit
	head int

	depth      []int // leading blocks found by the last lookup, by slot
	depthSlots []int
}

type holder struct {
	slot       int
	generation uint32
	sequence   uint64
	storedAt   int64 // Unix seconds
}

type insertion struct {
	hash uint64
	holder
}

// cacheSlot is the state of one endpoint's cache events.
type cacheSlot struct {
	generation    uint32 // of valid entries; incremented to drop all entries
	nextSequence  uint64 // of the next event; 0 before the first
	minSequence   uint64 // entries of earlier events were dropped because of a gap
	buffered      []brwire.CacheEvent
	bufferedSince time.Time
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

// apply applies events in order of their sequence numbers. Events after a missing
// one are buffered for a limited time. If the missing event doesn't arrive, the
// slot's older entries are dropped, because the event may have evicted any of
// them.
func (x *prefixIndex) apply(now time.Time, slot int, events []brwire.CacheEvent) {
	s := &x.slots[slot]
	for _, ev := range events {
		if s.nextSequence == 0 {
			s.nextSequence = ev.Sequence
		}
		switch {
		case ev.Sequence < s.nextSequence:
			if ev.Evicted {
				x.evict(slot, ev)
			}
		case ev.Sequence == s.nextSequence:
			x.applyNext(now, slot, ev)
			x.applyBuffered(now, slot)
		default:
			x.bufferEvent(now, s, ev)
		}
	}
	x.skipGap(now, slot)
}

func (x *prefixIndex) bufferEvent(now time.Time, s *cacheSlot, ev brwire.CacheEvent) {
	i, found := slices.BinarySearchFunc(s.buffered, ev.Sequence, func(h brwire.CacheEvent, n uint64) int {
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
	if len(s.buffered) == 0 {
		s.bufferedSince = now
	}
	s.buffered = slices.Insert(s.buffered, i, ev)
}

func (x *prefixIndex) skipGap(now time.Time, slot int) {
	s := &x.slots[slot]
	for len(s.buffered) > maxBufferedEvents || len(s.buffered) > 0 && now.Sub(s.bufferedSince) >= maxGapWait {
		s.minSequence, s.nextSequence = s.buffered[0].Sequence, s.buffered[0].Sequence
		x.applyBuffered(now, slot)
	}
}

func (x *prefixIndex) applyBuffered(now time.Time, slot int) {
	s := &x.slots[slot]
	n := 0
	for n < len(s.buffered) && s.buffered[n].Sequence <= s.nextSequence {
		if s.buffered[n].Sequence == s.nextSequence {
			x.applyNext(now, slot, s.buffered[n])
		}
		n++
	}
	if n > 0 {
		s.buffered = slices.Delete(s.buffered, 0, n)
		s.bufferedSince = now
	}
}

func (x *prefixIndex) applyNext(now time.Time, slot int, ev brwire.CacheEvent) {
	x.slots[slot].nextSequence = ev.Sequence + 1
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

// expect records the blocks that a granted prompt will add to the cache, before
// the endpoint's cache events arrive. Blocks that are already valid keep their
// age.
func (x *prefixIndex) expect(now time.Time, slot int, hashes []uint64) {
	if len(hashes) > maxLookup {
		hashes = hashes[:maxLookup]
	}
	sequence := max(x.slots[slot].nextSequence, x.slots[slot].minSequence)
	for _, hash := range hashes {
		if i := slices.IndexFunc(x.blocks[hash], func(h holder) bool { return h.slot == slot }); i < 0 || !x.valid(x.blocks[hash][i]) {
			x.store(now, slot, hash, sequence)
		}
	}
}

// dropFrom drops the blocks of hashes from index from on, after the endpoint
// reported that it prefilled them.
func (x *prefixIndex) dropFrom(slot int, hashes []uint64, from int) {
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
		x.holderCount++
	}
	x.fifo = append(x.fifo, insertion{hash, n})
	for len(x.fifo)-x.head > maxBlocks {
		x.popOldest()
	}
}

// expire drops expired entries and skips gaps that have lasted too long.
func (x *prefixIndex) expire(now time.Time) {
	limit := now.Add(-blockTTL).Unix()
	for x.head < len(x.fifo) && x.fifo[x.head].storedAt < limit {
		x.popOldest()
	}
	for slot := range x.slots {
		if len(x.slots[slot].buffered) > 0 {
			x.skipGap(now, slot)
		}
	}
}

// popOldest removes the oldest insertion, and its entry unless a newer event
// refreshed it.
func (x *prefixIndex) popOldest() {
	oldest := x.fifo[x.head]
	x.head++
	if x.head > len(x.fifo)/2 {
		x.fifo = x.fifo[:copy(x.fifo, x.fifo[x.head:])]
		x.head = 0
	}
	if i := slices.Index(x.blocks[oldest.hash], oldest.holder); i >= 0 {
		x.drop(oldest.hash, i)
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
	x.holderCount--
}

func (x *prefixIndex) valid(h holder) bool {
	s := &x.slots[h.slot]
	return h.generation == s.generation && h.sequence >= s.minSequence
}

// lookup sets depth to the number of leading blocks that each slot holds and
// returns the largest number.
func (x *prefixIndex) lookup(hashes []uint64) int {
	for _, slot := range x.depthSlots {
		x.depth[slot] = 0
	}
	x.depthSlots = x.depthSlots[:0]
	for n, hash := range hashes[:min(len(hashes), maxLookup)] {
		extended := false
		for _, h := range x.blocks[hash] {
			if x.depth[h.slot] != n || !x.valid(h) {
				continue
			}
			x.depth[h.slot] = n + 1
			extended = true
			if n == 0 {
				x.depthSlots = append(x.depthSlots, h.slot)
			}
		}
		if !extended {
			return n
		}
	}
	return min(len(hashes), maxLookup)
}

func (x *prefixIndex) check() error {
	if x.holderCount > maxBlocks || len(x.fifo)-x.head > maxBlocks {
		return fmt.Errorf("brroute: prefix index holds %d blocks and %d insertions, limit %d", x.holderCount, len(x.fifo)-x.head, maxBlocks)
	}
	for slot := range x.slots {
		if n := len(x.slots[slot].buffered); n > maxBufferedEvents {
			return fmt.Errorf("brroute: %d cache events buffered for slot %d, limit %d", n, slot, maxBufferedEvents)
		}
	}
	return nil
}
