package brlog

import "fmt"

// memory holds the entries after base. Slices that it hands out are never
// written to later.
type memory struct {
	base, baseTerm uint64
	entries        []Entry
	bytes          int // of the entries' data
}

func (l *memory) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memory) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i and whether i is held.
func (l *memory) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// from returns the entries from lo to hi, as many as fit into maxBytes but at
// least one.
func (l *memory) from(lo, hi uint64, maxBytes int) []Entry {
	hi = min(hi, l.last())
	if lo > hi {
		return nil
	}
	if lo <= l.base {
		panic(fmt.Sprintf("brlog: entry %d was compacted", lo))
	}
	all := l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
	size := 0
	for n, e := range all {
		size += len(e.Data) + entryOverhead
		if n > 0 && size > maxBytes {
			return all[:n:n]
		}
	}
	return all
}

// put appends entries, dropping what is held at the first one's index and after.
func (l *memory) put(entries []Entry) {
	first := entries[0].Index
	if first <= l.base || first > l.last()+1 {
		panic(fmt.Sprintf("brlog: entry %d does not follow %d..%d", first, l.base, l.last()))
	}
	n := first - l.base - 1
	if n < uint64(len(l.entries)) {
		l.bytes -= dataBytes(l.entries[n:])
		l.entries = l.entries[:n:n]
	}
	l.entries = append(l.entries, entries...)
	l.bytes += dataBytes(entries)
}

func dataBytes(entries []Entry) (n int) {
	for _, e := range entries {
		n += len(e.Data)
	}
	return n
}

// compact drops the entries up to i.
func (l *memory) compact(i uint64) {
	t, ok := l.term(i)
	if !ok || i == l.base {
		return
	}
	l.bytes -= dataBytes(l.entries[:i-l.base])
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// tail returns the index before the entries up to i that are the last n, or
// fewer so that they have no more than maxBytes.
func (l *memory) tail(i, n uint64, maxBytes int) uint64 {
	for j, size := i, 0; ; j-- {
		if j <= l.base || i-j >= n {
			return j
		}
		if size += len(l.entries[j-l.base-1].Data); size > maxBytes {
			return j
		}
	}
}

// reset drops everything; the next entry is i+1.
func (l *memory) reset(i, term uint64) { *l = memory{base: i, baseTerm: term} }
