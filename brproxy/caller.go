package brproxy

import (
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
)

// callerChunk is the number of bytes that a caller has to read within
// Config.CallerReadTimeout while the buffers of its connection are full. It is small, so that
// a slow caller isn't taken for one that has stalled.
const callerChunk = 4 << 10

// extensionPart says how often the deadline is moved, as a part of the timeout.
const extensionPart = 8

// callerWriter writes a response to a caller, and fails if the caller reads nothing for some
// time. Until then the endpoint is held back by the full buffers: nothing more is read from it.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController // of ResponseWriter
	clock   brclock.Clock
	timeout time.Duration  // until a caller that reads nothing is given up
	stalled *atomic.Uint64 // counts the callers that were

	extendedAt time.Time
}

func (p *Proxy) newCallerWriter(w http.ResponseWriter) http.ResponseWriter {
	if p.cfg.CallerReadTimeout <= 0 {
		return w
	}
	return &callerWriter{ResponseWriter: w, control: http.NewResponseController(w), clock: p.cfg.Clock, timeout: p.cfg.CallerReadTimeout, stalled: &p.stats.Stalled}
}

// Write implements the io.Writer interface.
func (w *callerWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		w.extend()
		n, err := w.ResponseWriter.Write(b[written:min(len(b), written+callerChunk)])
		written += n
		if err != nil {
			w.countStalled(err)
			return written, err
		}
	}
	w.extend() // the rest in the buffer of net/http is written after the handler
	return written, nil
}

// FlushError flushes as http.ResponseController.Flush does.
func (w *callerWriter) FlushError() error {
	w.extend()
	err := w.control.Flush()
	w.countStalled(err)
	return err
}

func (w *callerWriter) countStalled(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.stalled.Add(1)
	}
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extend sets the deadline of the next write. A ResponseWriter without deadlines, as in tests,
// is left as it is. It isn't moved for each of many short writes, to save processor time.
func (w *callerWriter) extend() {
	now := w.clock.Now()
	if now.Sub(w.extendedAt) < w.timeout/extensionPart {
		return
	}
	w.extendedAt = now
	_ = w.control.SetWriteDeadline(now.Add(w.timeout))
}
