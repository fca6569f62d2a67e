package brbuffer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// TestBodies guards against a body that is cut, or read past its limit, at the sizes at which
// segments end, whether its length is stated or not.
func TestBodies(t *testing.T) {
	const limit = 600 << 10
	for _, n := range []int{0, 1, minSegmentBytes, minSegmentBytes + 1, 3 * minSegmentBytes, limit - 1, limit, limit + 1} {
		for _, stated := range []bool{true, false} {
			text := strings.Repeat("0123456789", n/10+1)[:n]
			r := httptest.NewRequest("POST", "/", io.NopCloser(strings.NewReader(text)))
			if r.ContentLength = -1; stated {
				r.ContentLength = int64(n)
			}
			budget := New(Config{})
			body, err := budget.Read(httptest.NewRecorder(), r, Options{Limit: limit})
			if n > limit {
				if !errors.Is(err, ErrTooLarge) || budget.Stats().HeldBytes != 0 {
					t.Errorf("%d bytes: error %v, %d bytes held; want ErrTooLarge and none", n, err, budget.Stats().HeldBytes)
				}
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			joined, err := body.Bytes()
			if diff := cmp.Diff(text, string(joined)); err != nil || diff != "" {
				t.Errorf("%d bytes: error %v, body (-want +got):\n%s", n, err, diff)
			}
			if body.Release(); budget.Stats().HeldBytes != 0 {
				t.Errorf("%d bytes: %d held after the release", n, budget.Stats().HeldBytes)
			}
		}
	}
}

// TestUnfinishedBodies guards against a body that never ends and isn't ended either, and
// against a stated length that takes memory before its bytes have arrived.
func TestUnfinishedBodies(t *testing.T) {
	stopped, stop := context.WithCancel(context.Background())
	for _, test := range []struct {
		name    string
		options Options
		act     func(t *testing.T, b *Budget)
		want    error
	}{
		{"silent", Options{Idle: 50 * time.Millisecond}, nil, ErrTimeout},
		{"deadline", Options{Deadline: time.Now().Add(50 * time.Millisecond)}, nil, ErrTimeout},
		{"stop", Options{Stop: stopped}, func(*testing.T, *Budget) { stop() }, ErrStopped},
		{"others need its room", Options{}, func(t *testing.T, b *Budget) {
			other := b.Open(func() {})
			defer other.Release()
			brtest.Await(t, 10*time.Second, "the body counts as stalled", func() bool { return other.Reserve(b.cfg.Bytes/2) == nil })
		}, ErrNoRoom},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := New(Config{Bytes: 96 << 10})
			result := make(chan error, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				test.options.Limit = 1 << 30
				_, err := budget.Read(w, r, test.options)
				result <- err
			}))
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<29, strings.Repeat("x", 40<<10))
			if test.act != nil {
				brtest.Await(t, 10*time.Second, "the body is held", func() bool { return budget.Stats().HeldBytes >= 40<<10 })
				test.act(t, budget)
			}
			if err := <-result; !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if held := budget.Stats().HeldBytes; held != 0 {
				t.Errorf("%d bytes held after the end", held)
			}
		})
	}
}

// TestReserveAfterRelease guards against a reservation for a connection that was closed
// meanwhile: nobody releases it, and it has no owner that could give way.
func TestReserveAfterRelease(t *testing.T) {
	b := New(Config{Bytes: 64 << 10})
	h := b.Open(func() {})
	h.Release()
	if err := h.Reserve(40 << 10); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v after Release, want ErrNoRoom", err)
	}
	if used := b.Stats().HeldBytes; used != 0 {
		t.Errorf("%d bytes are held, want 0", used)
	}
}
