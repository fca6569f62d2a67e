package brsoak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Unix(5000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// recordExecution records an execution that ends with a complete response.
func recordExecution(h *History, id, endpoint string, ms int) {
	h.RecordExecution(Execution{ID: id, Endpoint: endpoint, StartedAt: at(ms)})(Completed)
}

// TestHistory guards against a check that misses a violation, and against one that
// reports permitted behavior.
func TestHistory(t *testing.T) {
	tests := []struct {
		name   string
		record func(h *History)
		want   []string
	}{
		{"no violation", func(h *History) {
			h.RecordSend("unsafe-1-1", Unsafe, Unlimited)
			recordExecution(h, "unsafe-1-1", "e1", 1)
			h.RecordAttempt(Attempt{ID: "unsafe-1-1", Kind: Unsafe, Sent: at(0), Ended: at(9), Status: 200, Complete: true, Body: responseBody(Unsafe, "unsafe-1-1", "e1")})
		}, nil},
		{"unsafe request runs twice", func(h *History) {
			h.RecordSend("unsafe-1-1", Unsafe, Unlimited)
			recordExecution(h, "unsafe-1-1", "e1", 1)
			recordExecution(h, "unsafe-1-1", "e2", 2)
		}, []string{AtMostOnce}},
		{"safe request runs twice", func(h *History) {
			h.RecordSend("safe-1-1", Safe, Unlimited)
			recordExecution(h, "safe-1-1", "e1", 1)
			recordExecution(h, "safe-1-1", "e2", 2)
		}, nil},
		{"run before it was reported as not run", func(h *History) {
			recordExecution(h, "safe-1-1", "e1", 1)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Ended: at(2), Status: 503, NotRun: true, Complete: true})
		}, []string{NotRunHolds}},
		{"run after it was reported as not run", func(h *History) {
			h.RecordAttempt(Attempt{ID: "safe-1-1", Ended: at(2), Status: 503, NotRun: true, Complete: true})
			recordExecution(h, "safe-1-1", "e1", 3)
		}, []string{NotRunHolds}},
		{"response to another request", func(h *History) {
			recordExecution(h, "safe-1-1", "e1", 1)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Status: 200, Complete: true, Body: responseBody(Safe, "safe-1-2", "e1")})
		}, []string{ResponsesIntact}},
		{"lost response", func(h *History) {
			recordExecution(h, "safe-1-1", "e1", 1)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5)})
		}, []string{ResponsesDelivered}},
		{"lost response of a killed daemon", func(h *History) {
			h.RecordDisturbance(3, at(2), at(4))
			recordExecution(h, "safe-1-1", "e1", 1)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Daemon: 3, Sent: at(0), Ended: at(5)})
		}, nil},
		{"execution stopped by a daemon", func(h *History) {
			h.RecordExecution(Execution{ID: "safe-1-1", Endpoint: "e1", StartedAt: at(1)})(Stopped)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5)})
		}, []string{ResponsesDelivered}},
		{"response aborted by the endpoint", func(h *History) {
			h.RecordExecution(Execution{ID: "safe-1-1", Endpoint: "e1", StartedAt: at(1)})(Aborted)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5)})
		}, nil},
		{"caller timed out", func(h *History) {
			recordExecution(h, "safe-1-1", "e1", 1)
			h.RecordAttempt(Attempt{ID: "safe-1-1", Sent: at(0), Ended: at(5), TimedOut: true})
		}, nil},
		{"read of an older policy", func(h *History) {
			h.RecordAcknowledged(4)
			minVersion := h.NewestAcknowledged()
			h.RecordRead(1, 4, minVersion)
			h.RecordAcknowledged(5)
			h.RecordRead(1, 4, minVersion)
			h.RecordRead(1, 4, h.NewestAcknowledged())
		}, []string{ReadsAreCurrent}},
		{"request to an evacuated domain", func(h *History) {
			run := func(id, domain string, ms int) {
				h.RecordExecution(Execution{ID: id, Endpoint: "e1", Domain: domain, StartedAt: at(ms)})(Completed)
			}
			h.RecordEvacuation("a", at(0))
			run("safe-1-1", "a", 5400)
			run("safe-1-2", "b", 5600)
			run("safe-1-3", "a", 5600)
			h.RecordEvacuationEnd("a")
			run("safe-1-4", "a", 7000)
		}, []string{EvacuationsHold}},
		{"request to an endpoint that has left", func(h *History) {
			h.RecordLeave("e1", at(0))
			recordExecution(h, "safe-1-1", "e1", 100)
			recordExecution(h, "safe-1-2", "e1", 3100)
		}, []string{LeavingIsDrained}},
		{"request to an endpoint that left during a disturbance", func(h *History) {
			h.RecordLeave("e1", at(0))
			h.RecordDisturbance(allDaemons, at(50), at(60))
			recordExecution(h, "safe-1-2", "e1", 3100)
		}, nil},
		{"quota", func(h *History) {
			for i := range 120 {
				id := attemptID(Safe, 1, i)
				h.RecordSend(id, Safe, Limited)
				recordExecution(h, id, "e1", i*50)
			}
		}, []string{QuotaHolds}},
		{"within the quota", func(h *History) {
			for i := range 120 {
				id := attemptID(Safe, 1, i)
				h.RecordSend(id, Safe, Limited)
				recordExecution(h, id, "e1", i*100)
			}
		}, nil},
		{"too many retries", func(h *History) {
			for i := range 90 {
				id := attemptID(Safe, 1, i)
				recordExecution(h, id, "e1", 10*i)
				recordExecution(h, id, "e2", 10*i+5)
			}
		}, []string{RetriesLimited}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory()
			c.record(h)
			h.Finish()
			var got []string
			for _, v := range h.Violations() {
				got = append(got, v.Guarantee)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
