package brload

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms cover 1 µs to 10 minutes with two significant digits.
const (
	maxHistogramValue = int64(10 * time.Minute / time.Microsecond) // in microseconds
	histogramDigits   = 2
)

// Latency is a histogram of durations.
type Latency struct{ h *hdrhistogram.Histogram }

// NewLatency returns an empty histogram.
func NewLatency() Latency { return Latency{hdrhistogram.New(1, maxHistogramValue, histogramDigits)} }

// Record adds a duration. A duration out of range is clamped.
func (l Latency) Record(d time.Duration) {
	_ = l.h.RecordValue(min(maxHistogramValue, max(1, d.Microseconds()))) // in range
}

// Quantile returns the q-th percentile, 0 <= q <= 100. It returns 0 if l is empty.
func (l Latency) Quantile(q float64) time.Duration {
	if l.h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(l.h.ValueAtQuantile(q)) * time.Microsecond
}

// Quantiles are the 50th, 95th and 99th percentiles of a Latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// String returns the three percentiles in milliseconds.
func (q Quantiles) String() string { return fmt.Sprintf("%.2f / %.2f / %.2f", q.P50, q.P95, q.P99) }

// Quantiles returns the count and the percentiles of l.
func (l Latency) Quantiles() Quantiles {
	ms := func(q float64) float64 { return float64(l.Quantile(q).Microseconds()) / 1000 }
	return Quantiles{l.h.TotalCount(), ms(50), ms(95), ms(99)}
}

// TierReport counts the requests of one tier.
type TierReport struct {
	Offered       int            `json:"offered"`
	Good          int            `json:"good"`          // complete response within the deadline
	FirstInTime   int            `json:"first_in_time"` // complete response, first token within the deadline
	Late          int            `json:"late"`          // complete response after the deadline
	Refused       map[string]int `json:"refused"`       // attempts that were not run, by error kind
	Failed        map[string]int `json:"failed"`        // requests that ran and failed, by error kind
	Lost          int            `json:"lost"`          // requests whose connection or stream broke
	Incorrect     int            `json:"foreign"`       // attempts with a response that differs from that of the request
	Retries       int            `json:"retries"`
	FirstToken    Quantiles      `json:"first_token"`    // complete responses, from the planned arrival
	BetweenTokens Quantiles      `json:"between_tokens"` // complete responses, between tokens
	Total         Quantiles      `json:"total"`          // complete responses, from the planned arrival
}

// Percent returns count as a percentage of the offered requests, 0 if there are none.
func (t TierReport) Percent(count int) float64 {
	if t.Offered == 0 {
		return 0
	}
	return 100 * float64(count) / float64(t.Offered)
}

// Report summarizes one run against one target.
type Report struct {
	Name   string            `json:"name"`
	Rate   float64           `json:"rate"`   // good responses per second of the plan length
	Tokens float64           `json:"tokens"` // tokens received per second of the plan length
	Tiers  [Tiers]TierReport `json:"tiers"`
	Waste  Waste             `json:"waste"`
	Errors []string          `json:"errors,omitempty"` // violated invariants
}

// Summarize summarizes the outcomes of a plan. length is the length of the plan.
func Summarize(name string, length time.Duration, outcomes []Outcome) Report {
	r := Report{Name: name}
	var first, between, total [Tiers]Latency
	for i := range Tiers {
		r.Tiers[i].Refused, r.Tiers[i].Failed = map[string]int{}, map[string]int{}
		first[i], between[i], total[i] = NewLatency(), NewLatency(), NewLatency()
	}
	good, tokens := 0, 0
	for _, o := range outcomes {
		i := o.Tier - 1
		r.Tiers[i].count(o)
		a := o.LastAttempt()
		tokens += a.Tokens
		if o.Good() {
			good++
		}
		if !a.Complete {
			continue
		}
		first[i].Record(a.FirstTokenAt.Sub(o.Due))
		total[i].Record(a.LastTokenAt.Sub(o.Due))
		for _, g := range a.TokenIntervals {
			between[i].Record(g)
		}
	}
	for i := range Tiers {
		t := &r.Tiers[i]
		t.FirstToken, t.BetweenTokens, t.Total = first[i].Quantiles(), between[i].Quantiles(), total[i].Quantiles()
	}
	r.Rate, r.Tokens = float64(good)/length.Seconds(), float64(tokens)/length.Seconds()
	return r
}

func (t *TierReport) count(o Outcome) {
	t.Offered++
	t.Retries += len(o.Attempts) - 1
	for _, a := range o.Attempts {
		if a.NotRun() {
			t.Refused[a.Failure.Kind]++
		}
		if a.Incorrect {
			t.Incorrect++
		}
	}
	a := o.LastAttempt()
	switch {
	case a.Complete:
		if o.FirstInTime() {
			t.FirstInTime++
		}
		if o.Good() {
			t.Good++
		} else {
			t.Late++
		}
	case a.Failure.Kind != "" && !a.NotRun():
		t.Failed[a.Failure.Kind]++
	case a.Failure.Kind == "":
		t.Lost++
	}
}
