package brcontrol

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkCommit measures commits of 256-byte entries proposed at the leader of
// three replicas that share one disk. The sync_alone case measures a plain write
// and sync on the same disk for comparison.
func BenchmarkCommit(b *testing.B) {
	b.Run("sync_alone", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "file"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		measure(b, 1, func() error {
			if _, err := f.Write(make([]byte, 256)); err != nil {
				return err
			}
			return f.Sync()
		})
	})
	for _, proposers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("proposers_%d", proposers), func(b *testing.B) {
			g := newGroupOf(b, 3, 0, &StateMachine{ // no-op, to exclude the cost of the state machine
				Apply:    func(uint64, []byte) []byte { return nil },
				Snapshot: func() ([]byte, error) { return nil, nil },
				Restore:  func([]byte) error { return nil },
			})
			l := g.leader()
			measure(b, proposers, func() error {
				_, err := l.Propose(context.Background(), make([]byte, 256))
				return err
			})
		})
	}
}

// measure calls f b.N times from n goroutines and reports the rate and the
// latency percentiles.
func measure(b *testing.B, n int, f func() error) {
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ResetTimer()
	for range n {
		wg.Go(func() {
			var latencies []time.Duration
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if err := f(); err != nil {
					b.Error(err)
					return
				}
				latencies = append(latencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			for _, d := range latencies {
				h.RecordValue(d.Microseconds())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkFailover measures the time from stopping the leader, without a
// leadership transfer, to the first commit by a new leader.
func BenchmarkFailover(b *testing.B) {
	g := newGroup(b, 3, 0)
	h := hdrhistogram.New(1, 60_000, 3)
	for range b.N {
		l := g.leader()
		start := time.Now()
		g.stop(l)
		g.propose(g.leader(), "x")
		h.RecordValue(time.Since(start).Milliseconds())
		g.start(l, nil)
		g.waitForEqualState()
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(h.Max()), "max-ms")
}

// BenchmarkCatchUp measures the time that a restarted replica needs to apply the
// entries that were committed while it was stopped.
func BenchmarkCatchUp(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("entries_", n), func(b *testing.B) { catchUp(b, n, 1_000_000) })
	}
	b.Run("snapshot_10000", func(b *testing.B) { catchUp(b, 10_000, 5_000) })
}

func catchUp(b *testing.B, n int, snapshotEvery uint64) {
	g := newGroup(b, 3, snapshotEvery)
	var total time.Duration
	for range b.N {
		l := g.leader()
		lagging := g.nodes[0]
		if lagging == l {
			lagging = g.nodes[1]
		}
		g.waitForEqualState()
		g.stop(lagging)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				for range n / 100 {
					if _, err := l.Propose(context.Background(), bytes.Repeat([]byte("x"), 256)); err != nil {
						b.Error(err)
					}
				}
			})
		}
		wg.Wait()
		start := time.Now()
		g.start(lagging, nil)
		want := len(l.machine.entries())
		for {
			changed := lagging.changed.wait()
			if len(lagging.machine.entries()) >= want {
				break
			}
			<-changed
		}
		total += time.Since(start)
	}
	b.ReportMetric(total.Seconds()*1000/float64(b.N), "catch-up-ms")
}

// BenchmarkIdle measures the CPU usage of three idle replicas in one process and
// the network traffic that the leader sends to the two followers.
func BenchmarkIdle(b *testing.B) {
	const period = 5 * time.Second
	g := newGroup(b, 3, 0)
	l := g.leader()
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	sentBytes := func() (n uint64) {
		for _, p := range l.otherPeers() {
			_, out := l.link(p.Address).Conn().Bytes()
			n += out
		}
		return n
	}
	for range b.N {
		cpu, bytes := cpuTime(), sentBytes()
		<-time.After(period)
		b.ReportMetric(100*float64(cpuTime()-cpu)/float64(period), "percent-of-a-core")
		b.ReportMetric(float64(sentBytes()-bytes)/period.Seconds(), "leader-B/s")
	}
}
