package brentry

import (
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Guards against records that are lost, or trusted too far, on their way through
// entries that stop one after the other.
func TestRecordsHandedOn(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := brclock.NewManual(at)
	entry := func(id string) *Entry { return New(Config{EntryID: id}, clock, nil) }
	a, b, c := entry("a"), entry("b"), entry("c")
	b.Continue()
	c.Continue()
	clock.Advance(time.Minute)
	const many = brwire.MaxTransferRecords + 1
	first := brwire.TransferRecords{EntryID: "z", StartedAgo: time.Hour}
	for i := range many {
		first.Ended = append(first.Ended, brwire.TransferredRecord{EndedRef: brwire.EndedRef{RequestID: string(rune(0x4e00 + i)), Ran: true}, Pool: "p"})
	}
	if err := a.Inherit(first); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ from, to *Entry }{{a, b}, {b, c}} {
		parts := x.from.Leave()
		if len(parts) != 2 {
			t.Fatalf("%d parts", len(parts))
		}
		for _, p := range parts {
			if err := x.to.Inherit(p); err != nil {
				t.Fatal(err)
			}
		}
		clock.Advance(time.Minute)
	}
	got := c.Join(brwire.Join{Pool: "p", Epoch: 1})
	if len(got.Ended) != many || !got.Ended[0].Ran {
		t.Errorf("%d of %d records", len(got.Ended), many)
	}
	if got.StartedAgo != 3*time.Minute { // a's start; nothing is missing of b and c
		t.Errorf("started %v ago", got.StartedAgo)
	}
	if err := b.Inherit(first); !brerror.Is(err, brerror.ShuttingDown) {
		t.Errorf("an entry that has left inherits: %v", err)
	}
	clock.Advance(9 * time.Minute)
	if got := c.Join(brwire.Join{Pool: "p", Epoch: 1}); len(got.Ended) != 0 {
		t.Errorf("%d records after the retention", len(got.Ended))
	}
}
