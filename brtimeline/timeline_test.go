package brtimeline

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brclock"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// TestClockOrdersCauseBeforeEffect guards against a stamp that is not after the
// stamp of a received message, and against stamps that are ahead of wall time by more
// than the drift. Wall clocks differ between processes and may stand still.
func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const drift = time.Second
		walls := make([]*brclock.Manual, 3)
		clocks := make([]*Clock, 3)
		for i := range clocks {
			walls[i] = brclock.NewManual(start.Add(time.Duration(rapid.Int64Range(0, int64(drift/2)).Draw(t, "offset"))))
			clocks[i] = NewClock(walls[i], drift)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			walls[from].Advance(time.Duration(rapid.IntRange(0, 1).Draw(t, "advance")) * time.Microsecond)
			sent := clocks[from].Now()
			got, err := clocks[to].Receive(sent)
			if err != nil || got.Compare(sent) <= 0 {
				t.Fatalf("Receive returned %v for the stamp %v, want a later one; error %v", got, sent, err)
			}
			if ahead := got.Time().Sub(walls[to].Now()); ahead > drift {
				t.Fatalf("stamp is %v ahead of the wall clock, more than the drift", ahead)
			}
		}
	})
}

// TestClockIgnoresFarStamp guards against one wrong clock that advances the clocks of
// other processes.
func TestClockIgnoresFarStamp(t *testing.T) {
	c := NewClock(brclock.NewManual(start), 0)
	far := Stamp{Wall: start.Add(DefaultMaxDrift + 1).UnixNano()}
	got, err := c.Receive(far)
	if err == nil || got.Compare(far) >= 0 {
		t.Errorf("Receive of the stamp %v, ahead by more than the drift, returned %v, %v; want an earlier stamp and an error", far, got, err)
	}
}

// TestTextForms guards against kinds without a name of their own, and against kinds
// and stamps that change when they are encoded as text and decoded.
func TestTextForms(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range Kinds() {
		var decoded Kind
		if err := decoded.UnmarshalText([]byte(k.String())); err != nil || decoded != k || seen[k.String()] {
			t.Errorf("kind %d has the text %q, which is repeated or decodes as %v, %v", uint8(k), k, decoded, err)
		}
		seen[k.String()] = true
	}
	s, decoded := Stamp{Wall: start.UnixNano(), Logical: 7}, Stamp{}
	if err := decoded.UnmarshalText([]byte(s.String())); err != nil || decoded != s {
		t.Errorf("stamp %v decodes as %v, %v", s, decoded, err)
	}
}

// TestRecorderConcurrent guards against events that are lost, reordered or not
// written by Close when several goroutines record, and against a ring that exceeds
// its size.
func TestRecorderConcurrent(t *testing.T) {
	dir := t.TempDir()
	r := newRecorder(t, Options{Process: "d1", Size: 100, Dir: dir})
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 500 {
				r.Record(Event{Kind: RequestQueued, RequestID: fmt.Sprint(g, "-", i), Reason: strings.Repeat("x", 2*MaxTextBytes)})
			}
		})
	}
	wg.Wait()
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	inMemory := r.Events(Filter{})
	inFile, invalid, err := ReadFiles(dir, Filter{})
	if err != nil || invalid != 0 || len(inFile) != 2000 || len(inMemory) != 100 || r.Total() != 2000 {
		t.Fatalf("file has %d events and %d invalid lines, want 2000 and 0; memory has %d of %d events, want 100 of 2000; error %v", len(inFile), invalid, len(inMemory), r.Total(), err)
	}
	if diff := cmp.Diff(inFile[1900:], inMemory); diff != "" {
		t.Errorf("the latest events differ between file and memory: %s", diff)
	}
	if !slices.IsSortedFunc(inFile, Event.Compare) || len(inFile[0].Reason) != MaxTextBytes {
		t.Error("events in the file are not sorted or the reason is not truncated to MaxTextBytes")
	}
}

// TestFilesRotateAndTolerateTornLine guards against files that exceed their size
// limit, and against losing the event that follows a line which a crash left
// incomplete.
func TestFilesRotateAndTolerateTornLine(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, FileName), []byte(`{"stamp":"1.0","proc`), 0o644); err != nil {
		t.Fatal(err)
	}
	const maxBytes = 64 << 10
	o := Options{Process: "d1", Dir: dir, MaxBytes: maxBytes}
	r := newRecorder(t, o)
	first := r.Record(Event{Kind: ProcessStarted})
	err := r.Close()
	if events, invalid, readErr := ReadFiles(dir, Filter{}); len(events) != 1 || events[0].Stamp != first || invalid != 1 {
		t.Fatalf("read events %v and %d invalid lines, want one event and 1 invalid line; error %v", events, invalid, errors.Join(err, readErr))
	}
	r = newRecorder(t, o)
	for range 5000 {
		r.Record(Event{Kind: RequestQueued, RequestID: "r"})
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	size := int64(0)
	for _, p := range paths {
		if info, err := os.Stat(p); err == nil {
			size += info.Size()
		}
	}
	if size > maxBytes+4*1024 || len(paths) != fileCount {
		t.Errorf("%d files of %d bytes, want %d files of at most %d", len(paths), size, fileCount, maxBytes)
	}
}

// TestFilterAndMerge guards against a filter that selects wrong events, and against
// a merge that returns duplicates or orders by process first.
func TestFilterAndMerge(t *testing.T) {
	at := func(ms int, process, request string) Event {
		return Event{Stamp: Stamp{Wall: start.Add(time.Duration(ms) * time.Millisecond).UnixNano()}, Process: process, Kind: RequestQueued, RequestID: request}
	}
	a := []Event{at(1, "a", "r1"), at(3, "a", "r2"), at(5, "a", "r1")}
	b := []Event{at(2, "b", "r1"), at(4, "b", "r1")}
	all := Merge(a, b, a[:1])
	if diff := cmp.Diff([]Event{a[0], b[0], a[1], b[1], a[2]}, all); diff != "" {
		t.Error(diff)
	}
	f := Filter{RequestID: "r1", From: start.Add(2 * time.Millisecond), To: start.Add(5 * time.Millisecond)}
	if diff := cmp.Diff(b, f.Select(all)); diff != "" {
		t.Error(diff)
	}
}

func newRecorder(t testing.TB, o Options) *Recorder {
	t.Helper()
	o.Clock = NewClock(brclock.System{}, 0)
	r, err := NewRecorder(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func BenchmarkRecord(b *testing.B) {
	for _, dir := range []string{"", b.TempDir()} {
		b.Run(map[bool]string{true: "memory", false: "file"}[dir == ""], func(b *testing.B) {
			r := newRecorder(b, Options{Process: "d1", Dir: dir})
			e := Event{Kind: RequestGranted, RequestID: "0191", EndpointID: "e1", Pool: "m@a", Tier: 1}
			b.ReportAllocs()
			for b.Loop() {
				r.Record(e)
			}
			b.StopTimer()
			if err := r.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
