package brpeer

import (
	"context"
	"testing"
	"time"

	"bramleyroute/brwire"

	"github.com/google/go-cmp/cmp"
)

// TestFramesOfNewerBuild guards against a frame of another build that closes the link,
// over which that build would send it again after each reconnection. What follows it on
// the link is still handled.
func TestFramesOfNewerBuild(t *testing.T) {
	for name, c := range map[string]struct {
		frame   frame
		dropped []string
	}{
		"unknown push":          {frame{Kind: framePush, Name: "newer", Body: encoded(t, echo{"x"})}, []string{"newer"}},
		"push of another type":  {frame{Kind: framePush, Name: "push", Body: encoded(t, []int{1})}, []string{"push"}},
		"push without a body":   {frame{Kind: framePush, Name: "push"}, []string{"push"}},
		"push with a new field": {frame{Kind: framePush, Name: "push", Body: encoded(t, map[string]any{"text": "x", "newer": 1})}, nil},
		"unknown kind":          {frame{Kind: framePing + 1, Name: "newer"}, []string{"newer"}},
		"unknown call":          {frame{Kind: frameCall, ID: 1 << 40, Name: "newer"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var dropped []string
			mux := Mux{OnDropped: func(name string, err error) {
				if err == nil {
					t.Error("OnDropped without an error")
				}
				dropped = append(dropped, name)
			}}
			HandleCall(&mux, "call", func(_ context.Context, _ *Conn, e echo) (echo, error) { return e, nil })
			HandlePush(&mux, "push", func(*Conn, echo) {})
			conn, err := Dial(ctx, newTestServer(t, nil, &mux), nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.send(c.frame); err != nil {
				t.Fatal(err)
			}
			if _, err := Call[echo, echo](ctx, conn, "call", echo{}); err != nil {
				t.Fatalf("call after the frame: %v", err)
			}
			if diff := cmp.Diff(c.dropped, dropped); diff != "" {
				t.Errorf("dropped messages (-want +got):\n%s", diff)
			}
		})
	}
}

func encoded(t *testing.T, v any) brwire.RawMessage {
	t.Helper()
	b, err := brwire.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
