package brwal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"bramleyroute/brlog"
)

// DefaultSegmentBytes is the default segment size in bytes above which a new segment
// is started. Open needs room for a copy of the last segment, and a segment is kept
// until its last entry isn't needed anymore.
const DefaultSegmentBytes = 4 << 20

// ErrFailed is wrapped by all errors of a failed write or sync, and of later writes.
var ErrFailed = errors.New("brwal: log has failed")

// ErrLocked is returned by Open if the data directory is in use by another process.
var ErrLocked = errors.New("brwal: data directory is in use")

// Options are the options of a Log. The functions allow tests to inject faults. If nil,
// (*os.File).Sync, (*os.File).Write, os.OpenFile, os.Rename and os.Remove are used.
type Options struct {
	Dir          string
	SegmentBytes int64 // 0 means DefaultSegmentBytes
	Sync         func(*os.File) error
	Write        func(*os.File, []byte) (int, error)
	OpenFile     func(path string, flag int, mode os.FileMode) (*os.File, error)
	Rename       func(from, to string) error
	Remove       func(path string) error
}

// withDefaults returns o with the defaults in place of zero values.
func (o Options) withDefaults() Options {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.Sync == nil {
		o.Sync = (*os.File).Sync
	}
	if o.Write == nil {
		o.Write = (*os.File).Write
	}
	if o.OpenFile == nil {
		o.OpenFile = os.OpenFile
	}
	if o.Rename == nil {
		o.Rename = os.Rename
	}
	if o.Remove == nil {
		o.Remove = os.Remove
	}
	return o
}

// Log is the open write-ahead log of one replica. It is not safe for concurrent use.
type Log struct {
	opts   Options
	lock   *os.File
	file   *os.File // last segment; nil before the first write
	size   int64
	failed error

	segments      []segment
	nextSeq       uint64
	id            brlog.ID
	hardState     brlog.HardState
	snapshotIndex uint64 // index of the saved snapshot
	buf           []byte
}

// segment is one segment file with the highest entry index in it.
type segment struct {
	path     string
	maxIndex uint64
}

// Open creates the data directory if necessary, locks it and loads its content.
// All returned state is durable when Open returns. A torn tail is truncated. Open
// returns a CorruptionError for other corruption, and ErrLocked if another process has
// the directory open.
func Open(o Options) (*Log, brlog.StoredState, error) {
	l := &Log{opts: o.withDefaults(), nextSeq: 1}
	st, err := l.open()
	if err != nil {
		l.Close()
		return nil, brlog.StoredState{}, err
	}
	return l, st, nil
}

func (l *Log) open() (brlog.StoredState, error) {
	if err := os.MkdirAll(l.opts.Dir, 0o700); err != nil {
		return brlog.StoredState{}, fmt.Errorf("brwal: %w", err)
	}
	if err := l.syncDir(filepath.Dir(l.opts.Dir)); err != nil {
		return brlog.StoredState{}, err
	}
	lock, err := l.opts.OpenFile(filepath.Join(l.opts.Dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return brlog.StoredState{}, fmt.Errorf("brwal: %w", err)
	}
	l.lock = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return brlog.StoredState{}, fmt.Errorf("%w: %s: %w", ErrLocked, l.opts.Dir, err)
	}
	// Renames and removals before a crash may not be durable yet.
	if err := l.syncDir(l.opts.Dir); err != nil {
		return brlog.StoredState{}, err
	}
	if err := l.finishRemoval(); err != nil {
		return brlog.StoredState{}, err
	}
	snap, err := l.loadSnapshot()
	if err != nil {
		return brlog.StoredState{}, err
	}
	l.snapshotIndex = snap.Index
	entries, err := l.loadSegments()
	if err != nil {
		return brlog.StoredState{}, err
	}
	return brlog.StoredState{ID: l.id, HardState: l.hardState, Snapshot: snap, Entries: entries}, nil
}

// Close closes the files and releases the lock. It does not sync.
func (l *Log) Close() error {
	var errs []error
	for _, f := range []*os.File{l.file, l.lock} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	l.file, l.lock = nil, nil
	if l.failed == nil {
		l.failed = fmt.Errorf("%w: closed", ErrFailed)
	}
	return errors.Join(errs...)
}

// Initialize writes st as the initial content of an empty log. It panics if the log
// is not empty, or if st has a snapshot or no ID. After an error or a crash, the log
// is either still empty or has all of st: a replica with an ID but without the
// membership could neither elect a leader nor join a group.
func (l *Log) Initialize(st brlog.StoredState) error {
	if l.id != "" || st.ID == "" || st.Snapshot.Index != 0 {
		panic("brwal: Initialize requires an empty log, a replica ID and no snapshot")
	}
	if l.failed != nil {
		return l.failed
	}
	l.id, l.hardState = st.ID, st.HardState
	path := l.nextSegmentPath()
	b := l.segmentHeader()
	l.segments = append(l.segments, segment{path: path})
	l.encode([]brlog.Write{{HardState: st.HardState, Entries: st.Entries}})
	b = append(b, l.buf...)
	if err := l.replaceFile(path, b); err != nil {
		return l.fail(err)
	}
	f, err := l.opts.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return l.fail(err)
	}
	l.file, l.size = f, int64(len(b))
	return nil
}

// Append writes writes in order and makes them durable with one sync. Errors wrap
// ErrFailed and are permanent. Append panics before Initialize.
func (l *Log) Append(writes ...brlog.Write) error {
	if l.failed != nil {
		return l.failed
	}
	if l.id == "" {
		panic("brwal: Append called before Initialize")
	}
	if l.file == nil || l.size >= l.opts.SegmentBytes {
		if err := l.startSegment(); err != nil {
			return l.fail(err)
		}
	}
	l.encode(writes)
	if len(l.buf) == 0 {
		return nil
	}
	if err := l.write(l.file, l.buf); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(l.buf))
	if err := l.opts.Sync(l.file); err != nil {
		return l.fail(fmt.Errorf("sync %s: %w", l.file.Name(), err))
	}
	return nil
}

func (l *Log) encode(writes []brlog.Write) {
	const maxReusedBuffer = 4 << 20 // in bytes; larger buffers are released
	if cap(l.buf) > maxReusedBuffer {
		l.buf = nil
	}
	l.buf = l.buf[:0]
	batch := l.nextSeq
	put := func(kind recordKind, body func([]byte) []byte) {
		l.buf = appendRecord(l.buf, l.nextSeq, batch, kind, body)
		l.nextSeq++
	}
	current := &l.segments[len(l.segments)-1]
	for _, w := range writes {
		if w.HardState != l.hardState {
			l.hardState = w.HardState
			put(recordState, func(b []byte) []byte { return appendState(b, l.id, l.hardState) })
		}
		if w.Reset != 0 {
			put(recordReset, func(b []byte) []byte { return binary.LittleEndian.AppendUint64(b, w.Reset) })
		}
		for _, e := range w.Entries {
			put(recordEntry, func(b []byte) []byte { return appendEntry(b, e) })
			current.maxIndex = max(current.maxIndex, e.Index)
		}
	}
}

func (l *Log) nextSegmentPath() string {
	return filepath.Join(l.opts.Dir, fmt.Sprintf("%s%016x", segmentPrefix, l.nextSeq))
}

// segmentHeader returns the start of the next segment: the magic number and the first
// record, which is the current state, so that earlier segments can be removed.
func (l *Log) segmentHeader() []byte {
	b := appendRecord([]byte(segmentMagic), l.nextSeq, l.nextSeq, recordState, func(b []byte) []byte {
		return appendState(b, l.id, l.hardState)
	})
	l.nextSeq++
	return b
}

// startSegment creates the next segment.
func (l *Log) startSegment() error {
	path := l.nextSegmentPath()
	f, err := l.opts.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close() // already synced by the last Append
	}
	l.file = f
	b := l.segmentHeader()
	if err := l.write(f, b); err != nil {
		return err
	}
	if err := l.opts.Sync(f); err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	l.size = int64(len(b))
	l.segments = append(l.segments, segment{path: path})
	return l.syncDir(l.opts.Dir)
}

// Compact removes leading segments whose entries are all before index. The remaining
// entries start at index or lower. Errors wrap ErrFailed and are permanent. Compact
// panics if index is beyond the snapshot.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	if index > l.snapshotIndex {
		panic(fmt.Sprintf("brwal: compact index %d is beyond the snapshot at entry %d", index, l.snapshotIndex))
	}
	removed := false
	for len(l.segments) > 1 && l.segments[0].maxIndex < index {
		if err := l.opts.Remove(l.segments[0].path); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	if err := l.syncDir(l.opts.Dir); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failed
}

func (l *Log) write(f *os.File, b []byte) error {
	n, err := l.opts.Write(f, b)
	if err == nil && n < len(b) {
		err = fmt.Errorf("wrote %d of %d bytes", n, len(b))
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", f.Name(), err)
	}
	return nil
}

func (l *Log) syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	defer d.Close()
	if err := l.opts.Sync(d); err != nil {
		return fmt.Errorf("brwal: sync directory %s: %w", dir, err)
	}
	return nil
}
