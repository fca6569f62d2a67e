package brsoak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(5000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// runs notes an execution that is answered.
func runs(h *History, id, endpoint string, ms int) {
	h.Begins(Execution{ID: id, Endpoint: endpoint, Began: at(ms)})(Answered)
}

// TestHistory guards against a check that overlooks a broken promise, and against
// one that reports what is allowed.
func TestHistory(t *testing.T) {
	tests := []struct {
		name string
		play func(h *History)
		want []string
	}{
		{"all is well", func(h *History) {
			h.Sends("unsafe-1-1", Unsafe, Unlimited)
			runs(h, "unsafe-1-1", "e1", 1)
			h.Ends(Attempt{ID: "unsafe-1-1", Kind: Unsafe, Sent: at(0), Ended: at(9), Status: 200, Whole: true, Body: body(Unsafe, "unsafe-1-1", "e1")})
		}, nil},
		{"unsafe twice", func(h *History) {
			h.Sends("unsafe-1-1", Unsafe, Unlimited)
			runs(h, "unsafe-1-1", "e1", 1)
			runs(h, "unsafe-1-1", "e2", 2)
		}, []string{AtMostOnce}},
		{"safe twice", func(h *History) {
			h.Sends("safe-1-1", Safe, Unlimited)
			runs(h, "safe-1-1", "e1", 1)
			runs(h, "safe-1-1", "e2", 2)
		}, nil},
		{"ran before the promise", func(h *History) {
			runs(h, "safe-1-1", "e1", 1)
			h.Ends(Attempt{ID: "safe-1-1", Ended: at(2), Status: 503, Promise: true, Whole: true})
		}, []string{NotRunIsTrue}},
		{"ran after the promise", func(h *History) {
			h.Ends(Attempt{ID: "safe-1-1", Ended: at(2), Status: 503, Promise: true, Whole: true})
			runs(h, "safe-1-1", "e1", 3)
		}, []string{NotRunIsTrue}},
		{"bytes of another request", func(h *History) {
			runs(h, "safe-1-1", "e1", 1)
			h.Ends(Attempt{ID: "safe-1-1", Status: 200, Whole: true, Body: body(Safe, "safe-1-2", "e1")})
		}, []string{WholeAnswers}},
		{"lost answer", func(h *History) {
			runs(h, "safe-1-1", "e1", 1)
			h.Ends(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5)})
		}, []string{AnswersArrive}},
		{"lost answer of a daemon that was killed", func(h *History) {
			h.Disturbs(3, at(2), at(4))
			runs(h, "safe-1-1", "e1", 1)
			h.Ends(Attempt{ID: "safe-1-1", Daemon: 3, Sent: at(0), Ended: at(5)})
		}, nil},
		{"cut off by a daemon", func(h *History) {
			h.Begins(Execution{ID: "safe-1-1", Endpoint: "e1", Began: at(1)})(Stopped)
			h.Ends(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5)})
		}, []string{AnswersArrive}},
		{"broken off by the endpoint", func(h *History) {
			h.Begins(Execution{ID: "safe-1-1", Endpoint: "e1", Began: at(1)})(Broken)
			h.Ends(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5)})
		}, nil},
		{"the caller left", func(h *History) {
			runs(h, "safe-1-1", "e1", 1)
			h.Ends(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5), Left: true})
		}, nil},
		{"older policy", func(h *History) {
			h.Acknowledged(4)
			least := h.Newest()
			h.Reads(1, 4, least)
			h.Acknowledged(5)
			h.Reads(1, 4, least)
			h.Reads(1, 4, h.Newest())
		}, []string{ConfigIsNewest}},
		{"an endpoint that has left", func(h *History) {
			h.Leaves("e1", at(0))
			runs(h, "safe-1-1", "e1", 100)
			runs(h, "safe-1-2", "e1", 3100)
		}, []string{LeavingIsLeft}},
		{"an endpoint that has left while daemons were cut off", func(h *History) {
			h.Leaves("e1", at(0))
			h.Disturbs(allDaemons, at(50), at(60))
			runs(h, "safe-1-2", "e1", 3100)
		}, nil},
		{"quota", func(h *History) {
			for i := range 120 {
				id := attemptID(Safe, 1, i)
				h.Sends(id, Safe, Limited)
				runs(h, id, "e1", i*50)
			}
		}, []string{QuotaHolds}},
		{"within the quota", func(h *History) {
			for i := range 120 {
				id := attemptID(Safe, 1, i)
				h.Sends(id, Safe, Limited)
				runs(h, id, "e1", i*100)
			}
		}, nil},
		{"repeated dispatches", func(h *History) {
			for i := range 90 {
				id := attemptID(Safe, 1, i)
				runs(h, id, "e1", 10*i)
				runs(h, id, "e2", 10*i+5)
			}
		}, []string{RetriesBounded}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory()
			c.play(h)
			h.Finish()
			var got []string
			for _, v := range h.Violations() {
				got = append(got, v.Promise)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
