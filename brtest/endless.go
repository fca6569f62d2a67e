package brtest

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// WriteForever writes part to w until a write fails.
func WriteForever(w io.Writer, part string) {
	for b := []byte(part); ; {
		if _, err := w.Write(b); err != nil {
			return
		}
	}
}

// EndlessHandler returns a handler that sends head, which begins with the status line,
// and then part until the caller closes the connection.
func EndlessHandler(t testing.TB, head, part string) http.HandlerFunc {
	return RawConnHandler(t, func(c *net.TCPConn) {
		if _, err := io.WriteString(c, head); err == nil {
			WriteForever(c, part)
		}
	})
}

// maxAllocatedBytes is the memory that an endless message may take.
const maxAllocatedBytes = 12 << 20

// CheckAllocated runs f, during which an endless message arrives, and checks the memory
// that the process allocates, which includes what it holds at any time.
func CheckAllocated(t testing.TB, f func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocatedBytes {
		t.Errorf("allocated %d bytes, want at most %d", n, maxAllocatedBytes)
	}
}
