package brlogging

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// blockedWriter is a writer whose Write blocks until release is closed, like a pipe
// without a reader.
type blockedWriter struct {
	release chan struct{}
	writing chan struct{}
	once    sync.Once

	mu   sync.Mutex
	text strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.writing) })
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestWriteNeverBlocks guards against requests that wait for the log when the reader
// of a pipe has stopped. Write must return, memory must stay limited, and the log
// must report dropped lines.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{}), writing: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	if _, err := w.Write(line); err != nil {
		t.Fatal(err)
	}
	<-out.writing
	for range 2 * maxPendingBytes / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write returned %d and error %v, want the whole line", n, err)
		}
	}
	w.mu.Lock()
	pending := len(w.pending)
	w.mu.Unlock()
	if pending > maxPendingBytes {
		t.Errorf("%d bytes are pending, want at most %d", pending, maxPendingBytes)
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Error("no writes were dropped, want some")
	}
	close(out.release)
	w.Close(5 * time.Second)
	got := strings.Count(out.text.String(), "log lines were dropped")
	if diff := cmp.Diff(1, got); diff != "" {
		t.Error(diff)
	}
}

// TestCloseWritesAll guards against losing the last lines of a process: Close must
// write all buffered lines.
func TestCloseWritesAll(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	for range 100 {
		w.Write([]byte("line\n"))
	}
	w.Close(5 * time.Second)
	if got := strings.Count(out.String(), "line\n"); got != 100 {
		t.Errorf("wrote %d lines, want 100", got)
	}
}
