package brpeer

import (
	"context"
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brtimeline"
)

// Guards against a merged timeline in which an effect precedes its cause. Although the
// client's clock is a second ahead of the server's, the handler of a call must be
// stamped after the call, and the client's next event after the reply.
func TestStampsFollowMessages(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clocks := map[string]*brtimeline.Clock{}
	stamped := func(name string, ahead time.Duration) *Mux {
		k := brtimeline.NewClock(brclock.NewManual(start.Add(ahead)), 0)
		clocks[name] = k
		return &Mux{Stamp: k.Now, ReceiveStamp: func(s brtimeline.Stamp) { _, _ = k.Receive(s) }}
	}
	client, server := stamped("client", time.Second), stamped("server", 0)
	var handled brtimeline.Stamp
	HandleCall(server, "echo", func(ctx context.Context, c *Conn, e echo) (echo, error) {
		handled = clocks["server"].Now()
		return e, nil
	})
	c, err := Dial(ctx, newTestServer(t, nil, server), nil, client)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	before := clocks["client"].Now()
	if _, err := Call[echo, echo](ctx, c, "echo", echo{"x"}); err != nil {
		t.Fatal(err)
	}
	after := clocks["client"].Now()
	if before.Compare(handled) >= 0 || handled.Compare(after) >= 0 {
		t.Errorf("stamps are out of order: before call %v, in handler %v, after reply %v", before, handled, after)
	}
}
