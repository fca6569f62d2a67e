package brpeer

import (
	"context"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brwire"

	"github.com/coder/websocket"
)

// FuzzFrame guards against bytes of another daemon that end this one or block its other
// links. The link that carries them may be closed.
func FuzzFrame(f *testing.F) {
	encode := func(v any) []byte {
		b, err := brwire.Encode(v)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	body := encode(echo{"x"})
	for kind := range framePing + 3 {
		f.Add(encode(frame{Kind: kind, ID: 1, Name: "echo", Body: body, Wall: math.MaxInt64, Logical: math.MaxUint32}))
		f.Add(encode(frame{Kind: kind, ID: math.MaxUint64, Name: "unknown"}))
	}
	nested := any(1)
	for range 40 {
		nested = []any{nested}
	}
	f.Add(encode(map[string]any{"kind": 4, "name": "echo", "body": nested}))
	f.Add(encode(map[string]any{"kind": 4, "name": "echo\xff", "body": "\xff"}))
	f.Add(encode(map[string]any{"kind": -1, "id": 1.5, "name": 3}))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte(nil))
	mux := &Mux{OnPanic: func(name string, value any, stack []byte) {
		f.Errorf("handler of %s panicked: %v\n%s", name, value, stack)
	}}
	HandleCall(mux, "echo", func(_ context.Context, _ *Conn, e echo) (echo, error) { return e, nil })
	HandlePush(mux, "echo", func(*Conn, echo) {})
	s := &Server{Mux: mux}
	h := httptest.NewServer(s)
	f.Cleanup(func() {
		s.Close()
		h.Close()
	})
	ctx := context.Background()
	sound, err := Dial(ctx, strings.TrimPrefix(h.URL, "http://"), nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(sound.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		ws, _, err := websocket.Dial(ctx, strings.Replace(h.URL, "http", "ws", 1)+Path, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer ws.CloseNow()
		if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
		// The reply shows that the server has read the frame before.
		call := encode(frame{Kind: frameCall, ID: 1, Name: "echo", Body: body})
		if err := ws.Write(ctx, websocket.MessageBinary, call); err == nil {
			_, _, _ = ws.Read(ctx)
		}
		if e, err := Call[echo, echo](ctx, sound, "echo", echo{"y"}); err != nil || e.Text != "y" {
			t.Errorf("reply %+v over another link, error %v", e, err)
		}
	})
}
