package brlog

import "fmt"

// entryLog holds the entries after base in memory. Returned slices are not
// modified later.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
	bytes          int // total size of the entries' data
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i and reports whether it is known.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// entriesFrom returns the entries from lo to hi, limited to a total size of
// maxBytes but with at least one entry. It returns nil if there are none, and
// panics if lo was compacted.
func (l *entryLog) entriesFrom(lo, hi uint64, maxBytes int) []Entry {
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

// truncateAndAppend removes the existing entries from the index of the first given
// entry onwards and appends entries. It panics if the indexes leave a gap or
// precede the log.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	first := entries[0].Index
	if first <= l.base || first > l.last()+1 {
		panic(fmt.Sprintf("brlog: cannot append entry %d to log %d..%d", first, l.base, l.last()))
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

// compact removes the entries up to i.
func (l *entryLog) compact(i uint64) {
	t, ok := l.term(i)
	if !ok || i == l.base {
		return
	}
	l.bytes -= dataBytes(l.entries[:i-l.base])
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// compactionIndex returns the index up to which the log can be compacted while
// keeping the last n entries up to i, or fewer if they exceed maxBytes.
func (l *entryLog) compactionIndex(i, n uint64, maxBytes int) uint64 {
	for j, size := i, 0; ; j-- {
		if j <= l.base || i-j >= n {
			return j
		}
		if size += len(l.entries[j-l.base-1].Data); size > maxBytes {
			return j
		}
	}
}

// reset removes all entries. The next entry has index i+1.
func (l *entryLog) reset(i, term uint64) { *l = entryLog{base: i, baseTerm: term} }
