package brdispatch_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brfake"
)

// TestSilentEngineIsNotGivenUp guards against ending the run of a sound engine that falls
// silent for over a second and goes on, with its host reachable or not meanwhile.
func TestSilentEngineIsNotGivenUp(t *testing.T) {
	const silence = 1500 * time.Millisecond
	for _, tt := range []struct {
		name string
		dial func(ctx context.Context) error // during the silence
	}{
		{"host answers", func(context.Context) error { return nil }},
		{"dials hang", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }},
		{"dials are refused", func(context.Context) error { return errors.New("refused") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var posts, cancels atomic.Int32
			began := make(chan time.Time, 1)
			engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.Method {
				case http.MethodPost:
					posts.Add(1)
					_, _ = w.Write([]byte(chunk(id, 0, 2, "")))
					_ = http.NewResponseController(w).Flush()
					began <- time.Now()
					<-r.Context().Done() // the run goes on without the connection
				case http.MethodDelete:
					cancels.Add(1)
				default:
					silent := <-began
					began <- silent
					select {
					case <-time.After(silence - time.Since(silent)):
						_, _ = w.Write([]byte(chunk(id, 2, 3, "length") + done))
					case <-r.Context().Done():
					}
				}
			})
			c := &brdispatch.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				select {
				case silent := <-began:
					began <- silent
					if time.Since(silent) < silence {
						if err := tt.dial(ctx); err != nil {
							return nil, err
						}
					}
				default:
				}
				return new(net.Dialer).DialContext(ctx, network, address)
			}}
			var text string
			res, err := c.Complete(t.Context(), brdispatch.Request{RequestID: id, Address: startServer(t, engine),
				Chunk: func(ch *brdispatch.Chunk) error { text += string(ch.Text); return nil }})
			c.Close()
			if err != nil || !res.Complete || text != brfake.Text(id, 0, 5) {
				t.Errorf("result %+v, error %v, text %q, want the complete text", res, err, text)
			}
			if posts.Load() != 1 || cancels.Load() != 0 {
				t.Errorf("%d dispatches and %d cancels, want 1 and none", posts.Load(), cancels.Load())
			}
		})
	}
}
