package brcapacity

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// fileSize returns the size in bytes of the timeline's file in a directory.
func fileSize(t *testing.T, dir string) int64 {
	t.Helper()
	s, err := os.Stat(filepath.Join(dir, brtimeline.FileName))
	if err != nil {
		t.Fatal(err)
	}
	return s.Size()
}

// wireBytes returns the bytes that a pushed message takes on a link, with
// brpeer's frame and timestamp and without the WebSocket header.
func wireBytes[T any](t *testing.T, name string, msg T) int {
	t.Helper()
	received := make(chan struct{}, 1)
	m := &brpeer.Mux{}
	brpeer.HandlePush(m, name, func(*brpeer.Conn, T) { received <- struct{}{} })
	srv := &brpeer.Server{Mux: m}
	h := httptest.NewServer(http.HandlerFunc(srv.ServeHTTP))
	defer h.Close()
	defer srv.Close()
	clientMux := &brpeer.Mux{Stamp: brtimeline.NewClock(brclock.System{}, time.Minute).Now}
	c, err := brpeer.Dial(t.Context(), strings.TrimPrefix(h.URL, "http://"), nil, clientMux)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := brpeer.Push(c, name, msg); err != nil {
		t.Fatal(err)
	}
	<-received
	in, _ := srv.Conns()[0].Bytes()
	return int(in)
}

// toPool addresses a message to a pool.
func toPool[T any](m T) brwire.PoolMessage[T] {
	return brwire.PoolMessage[T]{Pool: "model-0@local", Message: m}
}

// requestBytes returns the sizes in bytes of the messages between the entry and
// the scheduler for one request whose caller chose the request ID.
func requestBytes(t *testing.T) map[string]int {
	id := requestID(startTime, 1)
	return map[string]int{
		"submit": wireBytes(t, brwire.NameSubmit, toPool(submission(startTime, 1))),
		"bound":  wireBytes(t, brwire.NameIDBound, toPool(brwire.IDBound{RequestID: id, Epoch: 1000})),
		"grant": wireBytes(t, brwire.NameGrant, toPool(brwire.Grant{RequestID: id, Epoch: 1000, EndpointID: "engine-0001", Address: "10.1.100.100:8000", Version: "2026-11-01",
			Window: 500 * time.Millisecond, Number: 1_000_000})),
		"started":     wireBytes(t, brwire.NameStarted, toPool(brwire.Started{RequestID: id, Epoch: 1000, Number: 1_000_000})),
		"first_token": wireBytes(t, brwire.NameFirstToken, toPool(brwire.FirstToken{RequestID: id, Epoch: 1000, Number: 1_000_000, Elapsed: 50 * time.Millisecond})),
		"done": wireBytes(t, brwire.NameDone, toPool(brwire.Done{RequestID: id, Epoch: 1000, Number: 1_000_000, OK: true, Outcome: brerror.Ran, PromptTokens: 900, OutputTokens: 280,
			FirstToken: 50 * time.Millisecond, Duration: 8 * time.Second})),
	}
}

// Measures the sizes of the messages of one request and of one report on a link.
func TestMeasureMessages(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure")
	}
	sum := 0
	for name, n := range requestBytes(t) {
		t.Logf("%s %d B", name, n)
		sum += n
	}
	t.Logf("all messages of a request %d B", sum)
	t.Logf("report %d B", wireBytes(t, brwire.NameReport, toPool(announcement(1, 1_000_000))))
}

// BenchmarkPush measures the processor time of a push over a link at both ends
// together. Each message is sent in a segment of its own, as at the message
// rate of one entry.
func BenchmarkPush(b *testing.B) {
	received := make(chan struct{}, 1)
	m := &brpeer.Mux{}
	brpeer.HandlePush(m, brwire.NameSubmit, func(*brpeer.Conn, brwire.PoolMessage[brwire.Submit]) { received <- struct{}{} })
	srv := &brpeer.Server{Mux: m}
	h := httptest.NewServer(http.HandlerFunc(srv.ServeHTTP))
	defer h.Close()
	defer srv.Close()
	c, err := brpeer.Dial(b.Context(), strings.TrimPrefix(h.URL, "http://"), nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	msg, before := toPool(submission(startTime, 1)), processorTime()
	for b.Loop() {
		if err := brpeer.Push(c, brwire.NameSubmit, msg); err != nil {
			b.Fatal(err)
		}
		<-received
	}
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/message")
}
