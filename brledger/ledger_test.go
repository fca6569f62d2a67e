package brledger

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brerror"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var base = time.Date(2026, 9, 1, 6, 0, 0, 0, time.UTC)

// id returns a UUIDv7 with time t and last byte n.
func id(t time.Time, n byte) string {
	ms := t.UnixMilli()
	u := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80, 15: n}
	return u.String()
}

// Guards against running a request twice. At most one Begin of an ID must succeed
// unless the record was released, under random command orders and delays, including
// IDs with a future time and times around the expiry.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, begunBy := New(Limits{Records: 4, Bytes: 4 * (MaxResponseBytes + 1000)}, nil), base, map[string]string{}
		ids := []string{id(base, 1), id(base.Add(MaxIDAhead), 2), id(base.Add(-Retention+time.Second), 3), id(base.Add(time.Hour), 4), id(base, 5), id(base, 6)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r, e := rapid.SampledFrom(ids).Draw(t, "id"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				if _, begun, _ := l.Begin(now, Begin{r, "c1", e, "ep"}); begun && begunBy[r] != "" {
					t.Fatalf("%s was begun by %s and again by %s", r, begunBy[r], e)
				} else if begun {
					begunBy[r] = e
				}
			case 2:
				_, _ = l.Finish(Finish{r, e, Response{Status: 200, Body: make([]byte, 10)}})
			case 3:
				if l.Release(Release{r, e}) == nil {
					if begunBy[r] != e {
						t.Fatalf("%s was released by %s but begun by %s", r, e, begunBy[r])
					}
					delete(begunBy, r)
				}
			case 4:
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, Retention - 2*time.Second, time.Hour}).Draw(t, "wait"))
				l = New(l.limits, l.Records())
			}
			size := 0
			for _, r := range l.Records() {
				size += r.size()
			}
			if size != l.Bytes() || size > l.limits.Bytes || l.Len() > l.limits.Records {
				t.Fatalf("accounted size is %d bytes, records have %d", l.Bytes(), size)
			}
		}
	})
}

// Guards against a wrong result of Begin for each state of a record: absent, begun,
// finished, expired, ledger full, and IDs that are too old, ahead or malformed.
func TestBegin(t *testing.T) {
	l := New(Limits{Records: 3, Bytes: 1 << 20}, nil)
	begin := func(at time.Time, r, e string) (Record, brerror.Kind) {
		rec, begun, err := l.Begin(at, Begin{r, "c1", e, "10.0.0.1:80"})
		if err == nil && !begun {
			return rec, brerror.AlreadyRun // represents a stored response
		}
		if err == nil {
			return rec, brerror.Internal // represents success
		}
		return rec, brerror.From(err).Kind
	}
	a, b, c := id(base, 1), id(base, 2), id(base, 3)
	check := func(name string, at time.Time, r, e string, want brerror.Kind) Record {
		t.Helper()
		rec, got := begin(at, r, e)
		if got != want {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
		return rec
	}
	check("first", base, a, "e1", brerror.Internal)
	check("other entry", base, a, "e2", brerror.InProgress)
	check("same entry", base, a, "e1", brerror.InProgress)
	if _, err := l.Finish(Finish{a, "e2", Response{Status: 200}}); !brerror.Is(err, brerror.UnknownRequest) {
		t.Errorf("finish by another entry: got %v, want unknown_request", err)
	}
	_, _ = l.Finish(Finish{a, "e1", Response{Status: 201, Body: make([]byte, MaxResponseBytes+1)}})
	_, _ = l.Finish(Finish{a, "e1", Response{Status: 500}})
	if r := check("finished", base, a, "e2", brerror.AlreadyRun); r.Response.Status != 201 || !r.Response.TooLarge || r.Response.Body != nil {
		t.Errorf("stored response is %+v, want status 201 and TooLarge without a body", r.Response)
	}
	if err := l.Release(Release{a, "e1"}); !brerror.Is(err, brerror.AlreadyRun) {
		t.Errorf("release after finish: got %v, want already_run", err)
	}
	check("second", base, b, "e1", brerror.Internal)
	check("third", base, c, "e1", brerror.Internal)
	check("full", base, id(base, 4), "e1", brerror.LedgerUnavailable)
	check("too old", base, id(base.Add(-Retention), 4), "e1", brerror.TooOld)
	check("ahead", base, id(base.Add(MaxIDAhead+time.Millisecond), 4), "e1", brerror.InvalidRequest)
	check("version 4", base, "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "e1", brerror.InvalidRequest)
	check("spelling", base, "{"+a+"}", "e1", brerror.InvalidRequest)
	check("just before expiry", base.Add(Retention+MaxIDAhead-1), b, "e2", brerror.InProgress)
	check("expired", base.Add(Retention+MaxIDAhead), b, "e2", brerror.TooOld)
}

func Example() {
	l := New(DefaultLimits, nil)
	r := id(base, 1)
	_, begun, _ := l.Begin(base, Begin{RequestID: r, Entry: "vm-1", Endpoint: "10.0.0.9:8000"})
	_, _, err := l.Begin(base, Begin{RequestID: r, Entry: "vm-2", Endpoint: "10.0.0.9:8000"})
	fmt.Println(begun, err)
	// Output: true in_progress: request was begun by vm-1
}
