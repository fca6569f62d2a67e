package brtimeline

import (
	"errors"
	"fmt"
	"sync"
)

// Defaults of Options, and the size of the queue.
const (
	DefaultSize     = 65536
	DefaultMaxBytes = 64 << 20
	// queueSize is the maximum number of events that wait to be written to the file.
	// While the queue is full, events are counted but not written to the file; the
	// ring still stores them.
	queueSize = 8192
)

// ErrClosed is returned by Recorder.Close if the recorder is already closed.
var ErrClosed = errors.New("brtimeline: recorder is closed")

// Options are the parameters of a Recorder.
type Options struct {
	Process  string // daemon ID
	Clock    *Clock
	Size     int             // number of events in memory; 0 means DefaultSize
	Dir      string          // data directory; empty means that no file is written
	MaxBytes int64           // limit on the total size of all files; 0 means DefaultMaxBytes
	OnError  func(err error) // called at most once, with the first error of the file, after which nothing is written to it; may be nil
}

// Recorder stores the latest events of one process in memory and optionally in
// files. Its methods are safe for concurrent use.
type Recorder struct {
	process string
	clock   *Clock

	mu      sync.Mutex
	ring    []Event
	next    int    // index of the oldest event once the ring is full
	total   uint64 // number of recorded events
	queue   []Event
	dropped uint64 // events not written to the file and not yet reported there
	closed  bool

	file *fileWriter // nil if no file is written
	wake chan struct{}
	done chan struct{}
	err  error // first error of the file; may be read once done is closed
}

// NewRecorder returns a Recorder, or an error if the file can't be opened. If
// Options.Dir is set, NewRecorder starts a goroutine that writes the file and that
// Close ends. It panics if Process is empty, Clock is nil, or Size or MaxBytes is
// negative.
func NewRecorder(o Options) (*Recorder, error) {
	if o.Process == "" || o.Clock == nil {
		panic("brtimeline: Options.Process and Options.Clock are required")
	}
	if o.Size < 0 || o.MaxBytes < 0 {
		panic("brtimeline: negative Options.Size or Options.MaxBytes")
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
	go r.runWriter(o.OnError)
	return r, nil
}

// Record sets the Stamp and the Process of e and stores it. It returns the stamp,
// which can be sent in a message. Record never waits for the file. After Close, it
// returns a stamp but does not store the event. Record panics if e.Kind is invalid.
func (r *Recorder) Record(e Event) Stamp {
	if e.Kind == 0 || e.Kind >= kindCount {
		panic("brtimeline: event kind out of range")
	}
	e.Process = r.process
	e.Reason, e.Detail = truncateText(e.Reason), truncateText(e.Detail)
	r.mu.Lock()
	// The stamp is taken under the lock so that the ring is ordered by stamp.
	e.Stamp = r.clock.Now()
	if !r.closed {
		r.add(e)
	}
	r.mu.Unlock()
	return e.Stamp
}

// add adds e to the ring and to the queue of the file. The caller must hold r.mu.
func (r *Recorder) add(e Event) {
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

// Total returns the number of recorded events, including those that are no longer in
// memory.
func (r *Recorder) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Close writes the queued events, syncs and closes the file, and waits until this is
// done. It returns the first error of the file. A second Close returns ErrClosed.
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
	close(r.wake) // safe, because add sends only while r.closed is false
	<-r.done
	return r.err
}

// runWriter writes queued events to the file until Close.
func (r *Recorder) runWriter(onError func(error)) {
	defer close(r.done)
	var spare []Event
	setError := func(err error) {
		if err == nil || r.err != nil {
			return
		}
		r.err = err
		if onError != nil {
			onError(err)
		}
	}
	for running := true; running; {
		_, running = <-r.wake
		r.mu.Lock()
		batch, dropped := r.queue, r.dropped
		r.queue, r.dropped = spare[:0], 0
		r.mu.Unlock()
		if r.err == nil {
			setError(r.file.append(batch))
		}
		if dropped > 0 && r.err == nil {
			setError(r.file.append([]Event{r.droppedEvent(dropped)}))
		}
		spare = batch
	}
	setError(r.file.close())
}

func (r *Recorder) droppedEvent(n uint64) Event {
	return Event{Stamp: r.clock.Now(), Process: r.process, Kind: EventsDropped, Detail: fmt.Sprintf("%d events are not in the file", n)}
}

// truncateText returns the first MaxTextBytes bytes of s, or s if it is shorter.
func truncateText(s string) string {
	if len(s) > MaxTextBytes {
		return s[:MaxTextBytes]
	}
	return s
}
