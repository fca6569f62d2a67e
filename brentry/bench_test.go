package brentry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brfake"
	"bramleyroute/brwire"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkAddedLatency compares the time to the first chunk through the entry
// with that of the fake engine, in turns. The scheduler stand-in grants at once.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFixture(b, brfake.Config{}, brentry.Config{}, nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	urls := []string{"http://" + f.address, f.url}
	hists := []*hdrhistogram.Histogram{hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)}
	buf := make([]byte, 1)
	for b.Loop() {
		for i, url := range urls {
			req, _ := http.NewRequest(http.MethodPost, url+brengine.PathCompletions, strings.NewReader(streamBody))
			req.Header.Set("Authorization", "Bearer k")
			req.Header.Set(brengine.HeaderRequestID, newID(0))
			start := time.Now()
			resp, err := client.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, buf); err != nil {
				b.Fatal(err)
			}
			_ = hists[i].RecordValue(int64(time.Since(start)))
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	for _, q := range []float64{50, 95, 99} {
		direct, entry := hists[0].ValueAtPercentile(q), hists[1].ValueAtPercentile(q)
		b.ReportMetric(float64(direct)/1e3, fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(entry-direct)/1e3, fmt.Sprintf("added-p%.0f-µs", q))
	}
}

// discard is a caller's connection that takes everything.
type discard struct {
	header  http.Header
	status  int
	flushes int
	refused string // an error answer
	turn    func(id string) chan struct{}
	turns   chan struct{}
}

func (d *discard) Header() http.Header { return d.header }
func (d *discard) WriteHeader(s int)   { d.status = s }
func (d *discard) Flush() {
	if d.flushes++; d.turns == nil {
		d.turns = d.turn(d.header.Get(brengine.HeaderRequestID))
	}
	select {
	case d.turns <- struct{}{}:
	default:
	}
}
func (d *discard) SetWriteDeadline(time.Time) error { return nil }
func (d *discard) Write(b []byte) (int, error) {
	if d.status != http.StatusOK || bytes.HasPrefix(b, []byte("event: error")) {
		d.refused = string(b)
	}
	return len(b), nil
}

const benchTokens = 20_000

// events returns a stream of one-token chunks for any request id.
func events(id string) []byte {
	var body bytes.Buffer
	for n := range benchTokens {
		end := ""
		if n == benchTokens-1 {
			end = `,"finish_reason":"length"`
		}
		fmt.Fprintf(&body, `data: {"id":"%s","object":"text_completion","model":"m","version":"v1","offset":%d,"tokens":1,"choices":[{"index":0,"text":"word%d "%s}]}`+"\n\n", id, n, n, end)
	}
	body.WriteString("data: [DONE]\n\n")
	return body.Bytes()
}

// BenchmarkTokens measures tokens through entry and dispatch: "bulk" with an
// engine that sends as fast as it can, "each" with one that sends a chunk after
// the one before was flushed to the caller. The engine stand-in's own work, and
// for "tcp" the caller's, is included.
func BenchmarkTokens(b *testing.B) {
	for _, bb := range []struct {
		name       string
		each, tcp  bool
		concurrent int
	}{{"discard/bulk", false, false, 1}, {"discard/each", true, false, 16}, {"tcp/bulk", false, true, 1}} {
		b.Run(bb.name, func(b *testing.B) {
			f := newFixture(b, brfake.Config{}, brentry.Config{}, func(f *fixture) { f.route.MaxTokens = benchTokens })
			f.client.Silence = 10 * time.Second // the stand-in can't resume
			var turns sync.Map
			turn := func(id string) chan struct{} {
				c, _ := turns.LoadOrStore(id, make(chan struct{}, 1))
				return c.(chan struct{})
			}
			id := newID(0)
			lines := bytes.SplitAfter(events(id), []byte("\n\n"))
			for i := range lines {
				lines[i] = bytes.Clone(lines[i])
			}
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // so that the server notices a closed connection
				rc, mine := http.NewResponseController(w), r.Header.Get(brengine.HeaderRequestID)
				turns := turn(mine)
				at, buf := bytes.Index(lines[0], []byte(id)), make([]byte, 0, 1024)
				for _, l := range lines {
					buf = append(buf[:0], l...)
					if len(l) > at+len(mine) {
						copy(buf[at:], mine)
					}
					_, _ = w.Write(buf)
					if bb.each {
						_ = rc.Flush()
						select {
						case <-turns:
						case <-r.Context().Done(): // the end marker has no turn
							return
						}
					}
				}
			}))
			defer engine.Close()
			f.address = engine.Listener.Addr().String()
			handler := f.Handler()
			var flushes atomic.Int64
			one := func() {
				body := fmt.Sprintf(`{"model":"m","prompt":"a","max_tokens":%d,"stream":true}`, benchTokens)
				if bb.tcp {
					resp := f.open(b, context.Background(), http.MethodPost, brengine.PathCompletions, "", body)
					_, _ = io.Copy(io.Discard, resp.Body)
					return
				}
				d := &discard{header: http.Header{}, turn: turn}
				req := httptest.NewRequest(http.MethodPost, brengine.PathCompletions, strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer k")
				handler.ServeHTTP(d, req)
				if d.refused != "" {
					b.Error(d.refused)
				}
				flushes.Add(int64(d.flushes))
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				var wg sync.WaitGroup
				for range bb.concurrent {
					wg.Go(one)
				}
				wg.Wait()
			}
			runtime.ReadMemStats(&after)
			tokens := float64(b.N) * float64(bb.concurrent) * benchTokens
			if got := f.Counters.Tokens.Load(); got != int64(tokens) {
				b.Fatalf("%d tokens, want %.0f", got, tokens)
			}
			b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/chunk")
			b.ReportMetric(float64(flushes.Load())/tokens, "flushes/chunk")
		})
	}
}

// BenchmarkMemory measures what a waiting and a streaming request cost the entry.
// Callers and engine are bare connections without buffers.
func BenchmarkMemory(b *testing.B) {
	for _, streaming := range []bool{false, true} {
		b.Run(map[bool]string{false: "waiting", true: "streaming"}[streaming], func(b *testing.B) {
			const n = 1000
			f := newFixture(b, brfake.Config{}, brentry.Config{}, waiting)
			f.route.DeadlineMS = 600_000
			engine := bareEngine(b)
			var conns []net.Conn
			before := memory()
			for b.Loop() {
				for range n {
					c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
					if err != nil {
						b.Fatal(err)
					}
					conns = append(conns, c)
					fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n%s", brengine.PathCompletions, len(streamBody), streamBody)
					if s := <-f.submits; streaming {
						if err := f.grant(s, 1, engine); err != nil {
							b.Fatal(err)
						}
						_, _ = c.Read(make([]byte, 1)) // the first chunk has arrived
					}
				}
			}
			b.ReportMetric(float64(memory()-before)/float64(len(conns))/1024, "KiB/request")
			for _, c := range conns {
				_ = c.Close()
			}
			for _, s := range f.Join(brwire.Join{Pool: pool, Epoch: 9}).Running {
				f.Attach(brwire.Attach{RequestID: s.Submit.RequestID})
			}
		})
	}
}

// memory returns the heap and the stacks in use, in bytes.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// bareEngine answers each connection with one chunk and keeps it open.
func bareEngine(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		buf := make([]byte, 8<<10)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.Cleanup(func() { _ = c.Close() })
			n, _ := c.Read(buf)
			_, rest, _ := strings.Cut(string(buf[:n]), "Request-Id: ")
			id, _, _ := strings.Cut(rest, "\r\n")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"id\":\"%s\",\"offset\":0,\"tokens\":1,\"choices\":[{\"text\":\"a\"}]}\n\n", id)
		}
	}()
	return ln.Addr().String()
}
