package brwal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"bramleyroute/brformat"
	"bramleyroute/brlog"
)

const (
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// CorruptionError reports corruption of a file other than a torn tail, or a file of a
// later build, for which it wraps a *brformat.UnsupportedError.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes
	Reason error
}

// Error returns a message with the file, the offset and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("brwal: %s can't be read at offset %d: %v", e.File, e.Offset, e.Reason)
}

// Unwrap returns the reason.
func (e *CorruptionError) Unwrap() error { return e.Reason }

// listFiles returns the paths of the files with the given prefix and the numbers in
// their names, in ascending order. Temporary files are skipped.
func (l *Log) listFiles(prefix string) (paths []string, numbers []uint64, err error) {
	names, err := filepath.Glob(filepath.Join(l.opts.Dir, prefix+"*"))
	if err != nil {
		return nil, nil, fmt.Errorf("brwal: %w", err)
	}
	slices.Sort(names)
	for _, path := range names {
		if strings.HasSuffix(path, temporarySuffix) {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimPrefix(filepath.Base(path), prefix), 16, 64)
		if err != nil {
			return nil, nil, fmt.Errorf("brwal: unexpected file %s", path)
		}
		paths, numbers = append(paths, path), append(numbers, n)
	}
	return paths, numbers, nil
}

// loader collects the entries of all segments in log order.
type loader struct {
	log     *Log
	entries []brlog.Entry
	reset   uint64 // index after which the log restarts; 0 if it starts at any index that the snapshot has, or just after it
}

func (l *Log) loadSegments() ([]brlog.Entry, error) {
	paths, numbers, err := l.listFiles(segmentPrefix)
	if err != nil {
		return nil, err
	}
	ld := &loader{log: l}
	for i, path := range paths {
		if i == 0 {
			l.nextSeq = numbers[0]
		}
		if numbers[i] != l.nextSeq {
			return nil, &CorruptionError{path, 0, fmt.Errorf("record %d is missing before this segment", l.nextSeq)}
		}
		if err := ld.segment(path, i == len(paths)-1); err != nil {
			return nil, err
		}
	}
	if len(l.segments) == 0 {
		return nil, nil
	}
	last := l.segments[len(l.segments)-1].path
	if l.file, err = l.opts.OpenFile(last, os.O_WRONLY|os.O_APPEND, 0); err != nil {
		return nil, fmt.Errorf("brwal: %w", err)
	}
	info, err := l.file.Stat()
	if err != nil {
		return nil, fmt.Errorf("brwal: %w", err)
	}
	l.size = info.Size()
	return ld.entries, nil
}

// segment loads one segment file. A torn tail is accepted only if last is set.
func (ld *loader) segment(path string, last bool) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	l := ld.log
	seg := segment{path: path}
	first := l.nextSeq
	offset := 0
	if err = checkMagic(b, segmentMagic, brformat.LogSegment); err == nil {
		offset = len(segmentMagic)
	} else if unsupported := (*brformat.UnsupportedError)(nil); errors.As(err, &unsupported) {
		return &CorruptionError{path, 0, err} // not a torn tail: its records may have another form
	}
	for err == nil && offset < len(b) {
		var r record
		if r, err = parseRecord(b[offset:], l.nextSeq, 1); err != nil {
			break
		}
		if err := ld.apply(&seg, r); err != nil {
			return &CorruptionError{path, int64(offset), err}
		}
		l.nextSeq++
		offset += r.size
	}
	if err != nil && (!last || !tornTail(b[offset:], l.nextSeq)) {
		return &CorruptionError{path, int64(offset), err}
	}
	if l.nextSeq == first {
		if !last {
			return &CorruptionError{path, int64(offset), fmt.Errorf("segment has no records")}
		}
		return l.dropSegment(path)
	}
	l.segments = append(l.segments, seg)
	if last {
		return l.rewriteSegment(path, b[:offset])
	}
	return nil
}

// tornTail reports whether b may be the remainder of a batch whose write was
// interrupted by a crash. b starts with an invalid record that should have the
// sequence number expected. If b contains a record of a later batch, it is not a
// torn tail, because that batch was written after the expected record was synced.
func tornTail(b []byte, expected uint64) bool {
	for i := range b {
		if r, err := parseRecord(b[i:], expected, maxSequenceGap); err == nil && r.batch > expected {
			return false
		}
	}
	return true
}

// dropSegment removes a segment whose creation was interrupted by a crash.
func (l *Log) dropSegment(path string) error {
	if err := l.opts.Remove(path); err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	return l.syncDir(l.opts.Dir)
}

// rewriteSegment replaces the last segment by a synced copy of its valid part b.
// Data written by a killed process may be readable but not durable. Syncing the
// file again is not sufficient: after a failed sync, the kernel may mark pages as
// clean that were never written to the disk.
func (l *Log) rewriteSegment(path string, b []byte) error {
	if err := l.replaceFile(path, b); err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	return nil
}

func (ld *loader) apply(seg *segment, r record) error {
	l := ld.log
	switch r.kind {
	case recordState:
		id, h, ok := parseState(r.body)
		if !ok {
			return fmt.Errorf("invalid state record")
		}
		if l.id != "" && id != l.id {
			return fmt.Errorf("state record belongs to replica %q, want %q", id, l.id)
		}
		l.id, l.hardState = id, h
	case recordReset:
		if len(r.body) != 8 {
			return fmt.Errorf("invalid reset record")
		}
		ld.entries, ld.reset = nil, binary.LittleEndian.Uint64(r.body)
	case recordEntry:
		e, ok := parseEntry(r.body)
		if !ok {
			return fmt.Errorf("invalid entry record")
		}
		if e.Kind > brlog.EntryMembership {
			return brformat.LogEntry.Check(uint64(e.Kind))
		}
		seg.maxIndex = max(seg.maxIndex, e.Index)
		return ld.put(e)
	default:
		return brformat.LogRecord.Check(uint64(r.kind))
	}
	return nil
}

// put appends an entry. It replaces existing entries at its index and after it.
//
// Compact removes records in the order in which they were written, so the first remaining
// entries may be ones that a later record replaces from a lower index on, which was in a
// removed segment. The snapshot has everything up to that index.
func (ld *loader) put(e brlog.Entry) error {
	n := uint64(len(ld.entries))
	switch {
	case n > 0 && e.Index >= ld.entries[0].Index && e.Index <= ld.entries[0].Index+n:
		ld.entries = append(ld.entries[:e.Index-ld.entries[0].Index], e)
		return nil
	case n == 0 && ld.reset != 0 && e.Index == ld.reset+1:
	case ld.reset == 0 && (n == 0 || e.Index < ld.entries[0].Index) && e.Index <= ld.log.snapshotIndex+1:
	case n > 0:
		return fmt.Errorf("entry %d does not continue the log of entries %d to %d after the snapshot at entry %d",
			e.Index, ld.entries[0].Index, ld.entries[0].Index+n-1, ld.log.snapshotIndex)
	default:
		return fmt.Errorf("entry %d does not continue the log after entry %d", e.Index, max(ld.reset, ld.log.snapshotIndex))
	}
	ld.entries = append(ld.entries[:0], e)
	return nil
}
