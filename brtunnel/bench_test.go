package brtunnel

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brconn"
)

// BenchmarkRequest compares the processor time of requests through a tunnel with that
// of direct ones. It is that of the whole process: client, endpoint and relay.
func BenchmarkRequest(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer endpoint.Close()
	d := &poolDialer{relay: startRelay(b, &Server{Allow: everyAddress})}
	direct, tunneled := &brconn.Pool{}, &brconn.Pool{Dial: d.dial}
	defer direct.Close()
	defer tunneled.Close()
	const batch = 100
	var directTime, tunneledTime time.Duration
	for b.Loop() {
		directTime += batchTime(b, direct, endpoint.Listener.Addr().String(), batch)
		tunneledTime += batchTime(b, tunneled, endpoint.Listener.Addr().String(), batch)
	}
	perRequest := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(b.N*batch) }
	b.ReportMetric(perRequest(directTime), "direct-µs/request")
	b.ReportMetric(perRequest(tunneledTime), "tunnel-µs/request")
	b.ReportMetric(float64(tunneledTime)/float64(directTime), "ratio")
}

// batchTime returns the processor time of n requests with bodies of 1 KiB.
func batchTime(b *testing.B, p *brconn.Pool, address string, n int) time.Duration {
	body := make([]byte, 1<<10)
	start := processorTime(b)
	for range n {
		x, err := p.Send(b.Context(), address, brconn.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: body})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, x); err != nil {
			b.Fatal(err)
		}
		x.Close()
	}
	return processorTime(b) - start
}

// processorTime returns the processor time used by this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
