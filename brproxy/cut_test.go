package brproxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brevent"
	"bramleyroute/brtest"
	"bramleyroute/brtunnel"
)

// cutCase is a request whose response is cut after a number of bytes.
type cutCase struct {
	path     string
	prefix   string // what the caller has received from another endpoint before
	response brtest.SoundResponse
	sent     int // bytes of the response that are sent
	ending   brtest.Ending
	version  string // of HTTP, towards the caller
}

func (c cutCase) String() string {
	return fmt.Sprintf("%s, %s, %s caller, cut after %q and %s", c.path, c.response.Name, c.version, c.response.String()[:c.sent], c.ending)
}

// stream reports whether the response is a stream.
func (c cutCase) stream() bool { return c.path == "/stream/" || c.path == "/resume/" }

// retried reports whether another endpoint is asked for the whole response.
func (c cutCase) retried() bool { return c.path == "/safe/" }

// received returns the content that a reader of the response gets, and whether it is whole
// as the framing says.
func (c cutCase) received() (content string, whole bool) {
	switch {
	case c.sent == len(c.response.String()):
		return c.response.Content, !c.response.Close || c.ending == brtest.Closed
	case c.sent > len(c.response.Head) && c.response.Close && c.ending == brtest.Closed:
		content = c.response.Body[:c.sent-len(c.response.Head)]
		return content, !c.stream() || brevent.LastEnd([]byte(content)) == len(content)
	}
	return "", false
}

// check returns what is wrong with the response that the caller of c got. A reset may
// discard what was sent before.
func (c cutCase) check(got rawResponse) string {
	content, whole := c.received()
	if !whole && c.retried() {
		content, whole = c.response.Content, true
	}
	failed := http.StatusBadGateway
	if c.ending == brtest.Silent {
		failed = http.StatusGatewayTimeout
	}
	success := got.Status == http.StatusOK
	complete := success && got.Complete && got.Body == c.prefix+content
	switch {
	case whole && !complete && (c.ending != brtest.Reset || c.retried()):
		return "want the whole content"
	case success && got.Complete && !(whole && complete):
		return "looks complete"
	case success && !strings.HasPrefix(c.prefix+c.response.Content, got.Body):
		return "other bytes than those of the content"
	case !success && got.Status != failed && (got.Status != 0 || !c.stream()):
		return fmt.Sprintf("want status %d", failed)
	}
	return ""
}

// cutCases returns cuts of plain responses, of streams, and of streams that another endpoint
// has begun.
// The cuts have the distance step.
func cutCases(version string, step int) []cutCase {
	var cases []cutCase
	add := func(path, prefix string, responses []brtest.SoundResponse, step int) {
		for _, r := range responses {
			for i := 0; i*step <= len(r.String()); i++ {
				for _, ending := range brtest.Endings {
					c := cutCase{path, prefix, r, len(r.String()) - i*step, ending, version}
					if ending != brtest.Silent || i%silentShare == 0 && !c.retried() {
						cases = append(cases, c)
					}
				}
			}
		}
	}
	plain := brtest.SoundResponses("Content-Type: text/plain\r\n", "whole content")
	add("/once/", "", plain, step)
	add("/safe/", "", plain, max(step, streamStep))
	stream := "Content-Type: text/event-stream\r\n"
	add("/stream/", "", brtest.SoundResponses(stream, events(2)), max(step, streamStep))
	add("/resume/", event(1), brtest.SoundResponses(stream, event(2)+event(3)), max(step, streamStep))
	return cases
}

const (
	// silentShare is the number of cuts for each that is followed by silence, too: these take
	// longest.
	silentShare = 7
	// streamStep is the smallest distance of the cuts of streams and of retried responses.
	streamStep = 3
	// coarseStep is the distance of cuts where they differ from others only in the way to
	// the endpoint or the caller.
	coarseStep = 7
	// cutWorkers is the number of cut responses that are played at the same time.
	cutWorkers = 4
)

// play sends the request of c to a proxy and returns what the caller gets. dial connects to
// the endpoint; nil means directly.
func (c cutCase) play(t *testing.T, dial func(ctx context.Context, address string) (net.Conn, error)) rawResponse {
	begin := brtest.RawHandler(t, fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(c.prefix), c.prefix))
	cut := brtest.CutHandler(t, c.response.String()[:c.sent], c.ending)
	var arrivals atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch n := arrivals.Add(1); {
		case c.prefix != "" && n == 1:
			begin(w, r)
		case c.retried() && n == 2:
			brtest.RawHandler(t, c.response.String())(w, r)
		default:
			cut(w, r)
		}
	}
	s := newSystem(t, handler, handler)
	s.proxy.cfg.Pool.Dial = dial
	deadline := 5 * time.Second
	if _, whole := c.received(); c.ending == brtest.Silent && !whole {
		deadline = 400 * time.Millisecond
	}
	return s.doRaw(t, c.version, c.path, fmt.Sprintf("Deadline: %d\r\n", deadline.Milliseconds()))
}

// checkCuts plays cases and checks the responses.
func checkCuts(t *testing.T, cases []cutCase, dial func(ctx context.Context, address string) (net.Conn, error)) {
	next := make(chan cutCase)
	var workers sync.WaitGroup
	for range cutWorkers {
		workers.Go(func() {
			for c := range next {
				got := c.play(t, dial)
				if wrong := c.check(got); wrong != "" {
					t.Errorf("%v: %s, got %+v", c, wrong, got)
				}
			}
		})
	}
	for _, c := range cases {
		next <- c
	}
	close(next)
	workers.Wait()
}

// TestCutResponse guards against a response that breaks off at some byte of its head or body
// and reaches the caller as a whole success, or as the promise that the request hasn't run.
func TestCutResponse(t *testing.T) {
	t.Run("HTTP/1.1", func(t *testing.T) { checkCuts(t, cutCases("HTTP/1.1", 1), nil) })
	t.Run("HTTP/1.0", func(t *testing.T) { checkCuts(t, cutCases("HTTP/1.0", coarseStep), nil) })
	t.Run("relayed", func(t *testing.T) {
		relay := &brtunnel.Server{Allow: func(string) bool { return true }}
		server := httptest.NewServer(relay)
		defer server.Close()
		defer relay.Close()
		checkCuts(t, cutCases("HTTP/1.1", coarseStep), func(ctx context.Context, address string) (net.Conn, error) {
			return (&brtunnel.Dialer{}).Dial(ctx, server.Listener.Addr().String(), address)
		})
	})
}
