package brtimeline

import (
	"errors"
	"fmt"
	"sync"
)

// Defaults of Options.
const (
	DefaultSize     = 65536
	DefaultMaxBytes = 64 << 20
	// queueSize bounds the events that wait for the file. When it is full,
	// events are dropped from the file and counted; the ring still has them.
	queueSize = 8192
)

// ErrClosed is returned by a second Close.
var ErrClosed = errors.New("brtimeline: recorder is closed")

// Options set up a Recorder.
type Options struct {
	Process  string // daemon id
	Clock    *Clock
	Size     int             // events kept in memory; 0 means DefaultSize
	Dir      string          // data folder; empty means no file
	MaxBytes int64           // bound on all files together; 0 means DefaultMaxBytes
	OnError  func(err error) // called at most once, when the file can't be written any more; may be nil
}

// Recorder keeps the latest events of one process. Its methods are safe for
// concurrent use.
type Recorder struct {
	process string
	clock   *Clock

	mu      sync.Mutex
	ring    []Event
	next    int    // index of the oldest event once the ring is full
	total   uint64 // recorded so far
	queue   []Event
	dropped uint64 // events that the file doesn't have, not yet reported
	closed  bool

	file *fileWriter // nil without a file
	wake chan struct{}
	done chan struct{}
	err  error // of the writer; read after done
}

// NewRecorder returns a Recorder, or an error if the file can't be opened. It
// starts one goroutine if there is a file, which Close ends. NewRecorder panics
// if the process has no name, the clock is nil or a size is negative.
func NewRecorder(o Options) (*Recorder, error) {
	if o.Process == "" || o.Clock == nil {
		panic("brtimeline: recorder without process or clock")
	}
	if o.Size < 0 || o.MaxBytes < 0 {
		panic("brtimeline: negative size")
	}
	if o.Size == 0 {
		o.Size = DefaultSize
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	r := &Recorder{process: o.Process, clock: o.Clock, ring: make([]Event, 0, o.Size)}
	if o.Dir == "" {
		return r, nil
	}
	f, err := openWriter(o.Dir, o.MaxBytes/fileCount)
	if err != nil {
		return nil, err
	}
	r.file = f
	r.wake, r.done = make(chan struct{}, 1), make(chan struct{})
	go r.write(o.OnError)
	return r, nil
}

// Record stamps e, sets its Process and keeps it. It returns the stamp, which
// may travel in a message. Record never waits for the file. It panics if the
// kind is not one of the declared ones. After Close, the event is only stamped.
func (r *Recorder) Record(e Event) Stamp {
	if e.Kind == 0 || e.Kind >= kindCount {
		panic("brtimeline: event kind out of range")
	}
	e.Process = r.process
	e.Reason, e.Detail = cut(e.Reason), cut(e.Detail)
	r.mu.Lock()
	// Stamped under the lock, so that the ring is in the order of the stamps.
	e.Stamp = r.clock.Now()
	if !r.closed {
		r.keep(e)
	}
	r.mu.Unlock()
	return e.Stamp
}

// keep adds e to the ring and to the file's queue. The caller holds mu.
func (r *Recorder) keep(e Event) {
	r.total++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.next] = e
		r.next = (r.next + 1) % len(r.ring)
	}
	if r.file == nil {
		return
	}
	if len(r.queue) >= queueSize {
		r.dropped++
		return
	}
	r.queue = append(r.queue, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Events returns the events in memory that f selects, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	all := make([]Event, 0, len(r.ring))
	all = append(all, r.ring[r.next:]...)
	all = append(all, r.ring[:r.next]...)
	r.mu.Unlock()
	return f.Select(all)
}

// Total returns how many events were recorded, with those no longer in memory.
func (r *Recorder) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Close writes what is queued, syncs and closes the file, and waits for that. It
// returns the first error of the file. A second Close returns ErrClosed.
func (r *Recorder) Close() error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return ErrClosed
	}
	r.closed = true
	r.mu.Unlock()
	if r.file == nil {
		return nil
	}
	close(r.wake) // no sender is left: keep sends only while closed is false
	<-r.done
	return r.err
}

// write moves queued events to the file until Close.
func (r *Recorder) write(onError func(error)) {
	defer close(r.done)
	var spare []Event
	fail := func(err error) {
		if err == nil || r.err != nil {
			return
		}
		r.err = err
		if onError != nil {
			onError(err)
		}
	}
	for open := true; open; {
		_, open = <-r.wake
		r.mu.Lock()
		batch, dropped := r.queue, r.dropped
		r.queue, r.dropped = spare[:0], 0
		r.mu.Unlock()
		if r.err == nil {
			fail(r.file.append(batch))
		}
		if dropped > 0 && r.err == nil {
			fail(r.file.append([]Event{r.droppedEvent(dropped)}))
		}
		spare = batch
	}
	fail(r.file.close())
}

func (r *Recorder) droppedEvent(n uint64) Event {
	return Event{Stamp: r.clock.Now(), Process: r.process, Kind: EventsDropped, Detail: fmt.Sprintf("%d events are not in the file", n)}
}

// cut shortens s to MaxText bytes.
func cut(s string) string {
	if len(s) > MaxText {
		return s[:MaxText]
	}
	return s
}
