package brlogging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum number of bytes that wait to be written.
	maxPendingBytes = 256 << 10
	// flushInterval is the pause between two writes, so that one write has many
	// lines.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer whose Write never waits for the underlying writer. Its
// methods are safe for concurrent use.
type Writer struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	dropped      uint64 // dropped writes not yet reported in the log
	totalDropped uint64 // dropped writes since the start
	closed       bool

	wake chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer that writes to out. It starts a goroutine that ends
// after Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers b, which must consist of one or more whole lines. If b does not fit
// into the buffer or w is closed, b is dropped and counted. Write always returns
// len(b) and no error.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(b) > maxPendingBytes {
		w.dropped++
		w.totalDropped++
		return len(b), nil
	}
	w.pending = append(w.pending, b...)
	w.signal()
	return len(b), nil
}

// Dropped returns the number of writes that were dropped.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Close writes the buffered lines and waits until they are written or the timeout
// expires. Later writes are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		b, closed := w.swapPending(spare)
		if len(b) > 0 {
			// A write error of the log can't be reported anywhere.
			_, _ = w.out.Write(b)
		}
		spare = b[:0]
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// swapPending returns the pending lines, with a line that reports dropped writes if
// there were any, and makes spare the new buffer. It also reports whether w is
// closed.
func (w *Writer) swapPending(spare []byte) (b []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, w.pending = w.pending, spare
	if w.dropped > 0 {
		b = fmt.Appendf(b, `{"level":"warn","message":"log lines were dropped","count":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	return b, w.closed
}
