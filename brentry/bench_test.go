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

// BenchmarkAddedLatency compares the time to the first chunk through the entry with
// that of a direct request to the fake engine. The two alternate. The fake scheduler
// grants at once.
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

// discardWriter is a http.ResponseWriter that discards the response.
type discardWriter struct {
	header      http.Header
	status      int
	flushes     int
	errorBody   string // body of an error response
	flushSignal func(id string) chan struct{}
	flushed     chan struct{}
}

func (d *discardWriter) Header() http.Header { return d.header }
func (d *discardWriter) WriteHeader(s int)   { d.status = s }
func (d *discardWriter) Flush() {
	if d.flushes++; d.flushed == nil {
		d.flushed = d.flushSignal(d.header.Get(brengine.HeaderRequestID))
	}
	select {
	case d.flushed <- struct{}{}:
	default:
	}
}
func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (d *discardWriter) Write(b []byte) (int, error) {
	if d.status != http.StatusOK || bytes.HasPrefix(b, []byte("event: error")) {
		d.errorBody = string(b)
	}
	return len(b), nil
}

const benchTokens = 20_000

// oneTokenStream returns an event stream of benchTokens one-token chunks for request
// id.
func oneTokenStream(id string) []byte {
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

// BenchmarkTokens measures the token throughput of entry and dispatch. In "bulk", the
// engine sends as fast as possible; in "each", it sends a chunk after the previous one
// was flushed to the caller. The results include the work of the fake engine and, in
// "tcp", that of the caller.
func BenchmarkTokens(b *testing.B) {
	for _, bb := range []struct {
		name           string
		flushEach, tcp bool
		concurrent     int
	}{{"discard/bulk", false, false, 1}, {"discard/each", true, false, 16}, {"tcp/bulk", false, true, 1}} {
		b.Run(bb.name, func(b *testing.B) {
			f := newFixture(b, brfake.Config{}, brentry.Config{}, func(f *fixture) { f.route.MaxTokens = benchTokens })
			f.client.StallTimeout = 10 * time.Second // the fake engine doesn't support resumes
			var flushed sync.Map
			flushSignal := func(id string) chan struct{} {
				c, _ := flushed.LoadOrStore(id, make(chan struct{}, 1))
				return c.(chan struct{})
			}
			id := newID(0)
			lines := bytes.SplitAfter(oneTokenStream(id), []byte("\n\n"))
			for i := range lines {
				lines[i] = bytes.Clone(lines[i])
			}
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // lets the server detect a closed connection
				rc, requestID := http.NewResponseController(w), r.Header.Get(brengine.HeaderRequestID)
				flushed := flushSignal(requestID)
				at, buf := bytes.Index(lines[0], []byte(id)), make([]byte, 0, 1024)
				for _, l := range lines {
					buf = append(buf[:0], l...)
					if len(l) > at+len(requestID) {
						copy(buf[at:], requestID)
					}
					_, _ = w.Write(buf)
					if bb.flushEach {
						_ = rc.Flush()
						select {
						case <-flushed:
						case <-r.Context().Done(): // the end marker has no flush signal
							return
						}
					}
				}
			}))
			defer engine.Close()
			f.address = engine.Listener.Addr().String()
			handler := f.Handler()
			var flushes atomic.Int64
			serveOne := func() {
				body := fmt.Sprintf(`{"model":"m","prompt":"a","max_tokens":%d,"stream":true}`, benchTokens)
				if bb.tcp {
					resp := f.open(b, context.Background(), http.MethodPost, brengine.PathCompletions, "", body)
					_, _ = io.Copy(io.Discard, resp.Body)
					return
				}
				d := &discardWriter{header: http.Header{}, flushSignal: flushSignal}
				req := httptest.NewRequest(http.MethodPost, brengine.PathCompletions, strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer k")
				handler.ServeHTTP(d, req)
				if d.errorBody != "" {
					b.Error(d.errorBody)
				}
				flushes.Add(int64(d.flushes))
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				var wg sync.WaitGroup
				for range bb.concurrent {
					wg.Go(serveOne)
				}
				wg.Wait()
			}
			runtime.ReadMemStats(&after)
			tokens := float64(b.N) * float64(bb.concurrent) * benchTokens
			if got := f.Counters.Tokens.Load(); got != int64(tokens) {
				b.Fatalf("entry counted %d tokens, want %.0f", got, tokens)
			}
			b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/chunk")
			b.ReportMetric(float64(flushes.Load())/tokens, "flushes/chunk")
		})
	}
}

// BenchmarkMemory measures the memory that the entry uses for a waiting and for a
// streaming request. Callers and engine are TCP connections without buffers.
func BenchmarkMemory(b *testing.B) {
	for _, streaming := range []bool{false, true} {
		b.Run(map[bool]string{false: "waiting", true: "streaming"}[streaming], func(b *testing.B) {
			const n = 1000
			f := newFixture(b, brfake.Config{}, brentry.Config{}, withholdGrants)
			f.route.DeadlineMS = 600_000
			engine := bareEngine(b)
			var conns []net.Conn
			before := memoryInUse()
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
			b.ReportMetric(float64(memoryInUse()-before)/float64(len(conns))/1024, "KiB/request")
			for _, c := range conns {
				_ = c.Close()
			}
			for _, s := range f.Join(brwire.Join{Pool: pool, Epoch: 9}).Running {
				f.Attach(brwire.Attach{RequestID: s.Submit.RequestID})
			}
		})
	}
}

// memoryInUse returns the memory of the heap and the stacks, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// bareEngine starts an engine that responds to each connection with one chunk and
// leaves it open. It returns the engine's address.
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
