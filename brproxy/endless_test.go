package brproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brtest"
)

// TestSlowRejectionIsRetried guards against waiting for the body of a response that
// says that the request has not run: another endpoint can run it meanwhile.
func TestSlowRejectionIsRetried(t *testing.T) {
	hold := make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "f")
		http.NewResponseController(w).Flush()
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}
	defer close(hold)
	var turn atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if turn.Add(1) == 1 {
			slow(w, r)
			return
		}
		respond(200, "", "ok")(w, r)
	}
	s := newSystem(t, handler, handler)
	if status, body, _ := s.do(t, "POST", "/never/", nil); status != 200 || body != "ok" {
		t.Errorf("status %d, body %q, want 200 and ok", status, body)
	}
}

// TestEndlessResponse guards against an endless response that takes the memory of the
// process, that is relayed beyond the deadline of the request, or that reaches the
// caller as a complete one.
func TestEndlessResponse(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	part := strings.Repeat("x", 1000)
	for _, test := range []struct{ name, path, head string }{
		{"header", "/never/", "HTTP/1.1 200 OK\r\nX-Fill: "},
		{"body", "/never/", "HTTP/1.1 200 OK\r\n\r\n"},
		{"line of a chunk's size", "/never/", chunked + "1;"},
		{"chunk", "/never/", chunked + "ffffffffff\r\n"},
		{"trailer", "/never/", chunked + "4\r\nbody\r\n0\r\nX-Fill: "},
		{"trailer of a stream", "/stream/", chunked + "9\r\ndata: a\n\n\r\n0\r\nX-Fill: "},
		{"after the body", "/never/", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"},
		{"body of a stream", "/stream/", "HTTP/1.1 200 OK\r\n\r\ndata: "},
		{"body of a failure", "/safe/", "HTTP/1.1 500 Failed\r\n\r\n"},
		{"body of a rejection", "/never/", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, brtest.EndlessHandler(t, test.head, part))
			c, err := net.Dial("tcp", s.front.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			sent := time.Now()
			last := &tail{}
			brtest.CheckAllocated(t, func() {
				fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nDeadline: 400\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", test.path)
				if _, err := io.Copy(last, c); err != nil {
					t.Logf("response ended with %v", err)
				}
			})
			if d := time.Since(sent); d > 2*time.Second {
				t.Errorf("response ended after %v, want within 400 ms and a margin", d)
			}
			if strings.HasPrefix(last.head, "HTTP/1.1 200") && strings.HasSuffix(last.end, "0\r\n\r\n") {
				t.Error("the caller received the response as a complete one")
			}
		})
	}
}

// tail keeps the first and the last bytes written to it.
type tail struct{ head, end string }

func (l *tail) Write(b []byte) (int, error) {
	if len(l.head) < 20 {
		l.head += string(b[:min(len(b), 20)])
	}
	l.end += string(b[max(0, len(b)-20):])
	l.end = l.end[max(0, len(l.end)-20):]
	return len(b), nil
}
