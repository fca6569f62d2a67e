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

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// ErrFailed is wrapped by every error after a failed write or sync.
var ErrFailed = errors.New("brwal: the log has failed")

// ErrLocked is returned by Open for a folder that another process uses.
var ErrLocked = errors.New("brwal: data folder is in use")

// Options say where a Log is kept. Sync and Write are seams for faults; nil
// means the operating system's.
type Options struct {
	Dir          string
	SegmentBytes int64 // 0 means DefaultSegmentBytes
	Sync         func(*os.File) error
	Write        func(*os.File, []byte) (int, error)
}

// Log is the open files of one replica. It isn't safe for concurrent use.
type Log struct {
	opts   Options
	lock   *os.File
	file   *os.File // of the last segment; nil before the first write
	size   int64
	failed error

	segments []segment
	nextSeq  uint64
	id       brlog.ID
	hard     brlog.HardState
	snapshot uint64 // index of the saved one
	buf      []byte
}

// segment is one file and the highest index of an entry in it.
type segment struct {
	path     string
	maxIndex uint64
}

// Open locks the folder, creating it if need be, and reads what it holds, which
// is durable when Open returns. A torn tail is truncated. An error of other damage names the file and the
// offset; ErrLocked means that another process has the folder open.
func Open(o Options) (*Log, brlog.Stored, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.Sync == nil {
		o.Sync = (*os.File).Sync
	}
	if o.Write == nil {
		o.Write = (*os.File).Write
	}
	l := &Log{opts: o, nextSeq: 1}
	st, err := l.open()
	if err != nil {
		l.Close()
		return nil, brlog.Stored{}, err
	}
	return l, st, nil
}

func (l *Log) open() (brlog.Stored, error) {
	if err := os.MkdirAll(l.opts.Dir, 0o700); err != nil {
		return brlog.Stored{}, fmt.Errorf("brwal: %w", err)
	}
	if err := l.syncDir(filepath.Dir(l.opts.Dir)); err != nil {
		return brlog.Stored{}, err
	}
	lock, err := os.OpenFile(filepath.Join(l.opts.Dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return brlog.Stored{}, fmt.Errorf("brwal: %w", err)
	}
	l.lock = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return brlog.Stored{}, fmt.Errorf("%w: %s: %w", ErrLocked, l.opts.Dir, err)
	}
	// A rename or removal before a crash may not be durable yet.
	if err := l.syncDir(l.opts.Dir); err != nil {
		return brlog.Stored{}, err
	}
	snap, err := l.loadSnapshot()
	if err != nil {
		return brlog.Stored{}, err
	}
	l.snapshot = snap.Index
	entries, err := l.loadSegments()
	if err != nil {
		return brlog.Stored{}, err
	}
	return brlog.Stored{ID: l.id, HardState: l.hard, Snapshot: snap, Entries: entries}, nil
}

// Close closes the files and gives up the lock. It doesn't sync.
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

// Initialize makes st the first content of an empty log. Initialize panics if
// the log isn't empty or st has a snapshot or no id.
func (l *Log) Initialize(st brlog.Stored) error {
	if l.id != "" || st.ID == "" || st.Snapshot.Index != 0 {
		panic("brwal: initialize needs an empty log, a replica id and no snapshot")
	}
	l.id = st.ID
	return l.Append(brlog.Write{HardState: st.HardState, Entries: st.Entries})
}

// Append stores writes in their order and makes them durable with one sync. An
// error wraps ErrFailed and is final.
func (l *Log) Append(writes ...brlog.Write) error {
	if l.failed != nil {
		return l.failed
	}
	if l.id == "" {
		panic("brwal: append before initialize")
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
	const keepBuffer = 4 << 20 // bytes; a larger one is given back
	if cap(l.buf) > keepBuffer {
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
		if w.HardState != l.hard {
			l.hard = w.HardState
			put(recordState, func(b []byte) []byte { return appendState(b, l.id, l.hard) })
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

// startSegment creates the next segment. It opens with the state, so that older
// segments can be removed.
func (l *Log) startSegment() error {
	path := filepath.Join(l.opts.Dir, fmt.Sprintf("%s%016x", segmentPrefix, l.nextSeq))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close() // was synced by its last append
	}
	l.file = f
	b := appendRecord([]byte(segmentMagic), l.nextSeq, l.nextSeq, recordState, func(b []byte) []byte {
		return appendState(b, l.id, l.hard)
	})
	if err := l.write(f, b); err != nil {
		return err
	}
	if err := l.opts.Sync(f); err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	l.nextSeq++
	l.size = int64(len(b))
	l.segments = append(l.segments, segment{path: path})
	return l.syncDir(l.opts.Dir)
}

// Compact removes the segments in which every entry is before index. Entries
// that it leaves start at index or before it.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	if index > l.snapshot {
		panic(fmt.Sprintf("brwal: compact to %d beyond the snapshot at %d", index, l.snapshot))
	}
	removed := false
	for len(l.segments) > 1 && l.segments[0].maxIndex < index {
		if err := os.Remove(l.segments[0].path); err != nil {
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
		return fmt.Errorf("brwal: sync folder %s: %w", dir, err)
	}
	return nil
}
