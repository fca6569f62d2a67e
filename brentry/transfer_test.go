package brentry

import (
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Guards against records of ended requests that are lost when entries stop one after
// the other and transfer them, and against reporting the records as complete for a
// longer time than they are.
func TestRecordTransferChain(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := brclock.NewManual(at)
	entry := func(id string) *Entry { return New(Config{EntryID: id}, clock, nil) }
	a, b, c := entry("a"), entry("b"), entry("c")
	b.MarkRecordsComplete()
	c.MarkRecordsComplete()
	clock.Advance(time.Minute)
	const numRecords = brwire.MaxTransferRecords + 1
	first := brwire.TransferRecords{EntryID: "z", StartedAgo: time.Hour}
	for i := range numRecords {
		first.Ended = append(first.Ended, brwire.TransferredRecord{EndedRef: brwire.EndedRef{RequestID: string(rune(0x4e00 + i)), Ran: true}, Pool: "p"})
	}
	if err := a.ImportRecords(first); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ from, to *Entry }{{a, b}, {b, c}} {
		batches := x.from.ExportRecords()
		if len(batches) != 2 {
			t.Fatalf("ExportRecords returned %d batches, want 2", len(batches))
		}
		for _, p := range batches {
			if err := x.to.ImportRecords(p); err != nil {
				t.Fatal(err)
			}
		}
		clock.Advance(time.Minute)
	}
	got := c.Join(brwire.Join{Pool: "p", Epoch: 1})
	if len(got.Ended) != numRecords || !got.Ended[0].Ran {
		t.Errorf("Join returned %d of %d records, or the first is not marked as run", len(got.Ended), numRecords)
	}
	if got.StartedAgo != 3*time.Minute { // since the start of a; the records of b and c are complete
		t.Errorf("records are complete for %v, want 3m", got.StartedAgo)
	}
	if err := b.ImportRecords(first); !brerror.Is(err, brerror.ShuttingDown) {
		t.Errorf("ImportRecords after ExportRecords returned %v, want kind shutting_down", err)
	}
	clock.Advance(9 * time.Minute)
	if got := c.Join(brwire.Join{Pool: "p", Epoch: 1}); len(got.Ended) != 0 {
		t.Errorf("Join returned %d records after the retention time, want 0", len(got.Ended))
	}
}
