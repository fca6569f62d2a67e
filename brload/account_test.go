package brload

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/brtimeline"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func completeResponse(id string, first, last int) Response {
	return Response{RequestID: id, Complete: true, Tokens: 2, FirstTokenAt: at(first), LastTokenAt: at(last), Endpoint: "e1"}
}

func refusal(id, kind, outcome string) Response {
	return Response{RequestID: id, Failure: brengine.ErrorBody{Kind: kind, Outcome: outcome}}
}

func outcome(tier int, attempts ...Response) Outcome {
	return Outcome{Arrival: Arrival{Tier: tier, Deadline: time.Second}, Due: epoch, Attempts: attempts}
}

// TestSummarize guards against late, incorrect, refused or incomplete responses that
// count as good, and against a request that is counted twice or not at all.
func TestSummarize(t *testing.T) {
	for _, c := range []struct {
		name string
		o    Outcome
		want string // counts that are not zero
	}{
		{"good", outcome(1, completeResponse("a", 10, 900)), "good=1 first=1"},
		{"first token in time", outcome(1, completeResponse("a", 900, 1100)), "first=1 late=1"},
		{"late", outcome(1, completeResponse("a", 1001, 1100)), "late=1"},
		{"refused", outcome(1, refusal("a", "overloaded", "not_run")), "refused=map[overloaded:1]"},
		{"good at the second attempt", outcome(1, refusal("a", "overloaded", "not_run"), completeResponse("b", 10, 20)), "good=1 first=1 retries=1 refused=map[overloaded:1]"},
		{"failed", outcome(1, refusal("a", "endpoint_failed", "unknown")), "failed=map[endpoint_failed:1]"},
		{"broken stream", outcome(1, Response{RequestID: "a", Tokens: 1}), "lost=1"},
		{"foreign", outcome(1, Response{RequestID: "a", Tokens: 2, Incorrect: true}), "lost=1 foreign=1"},
	} {
		r := Summarize("x", time.Second, []Outcome{c.o}).Tiers[0]
		var got []string
		for _, f := range []struct {
			name string
			n    int
		}{{"good", r.Good}, {"first", r.FirstInTime}, {"late", r.Late}, {"lost", r.Lost}, {"foreign", r.Incorrect}, {"retries", r.Retries}} {
			if f.n > 0 {
				got = append(got, fmt.Sprintf("%s=%d", f.name, f.n))
			}
		}
		for name, m := range map[string]map[string]int{"refused": r.Refused, "failed": r.Failed} {
			if len(m) > 0 {
				got = append(got, fmt.Sprintf("%s=%v", name, m))
			}
		}
		if diff := cmp.Diff(c.want, strings.Join(got, " ")); diff != "" || r.Offered != 1 {
			t.Errorf("%s: offered %d, want 1; counts differ (-want +got):\n%s", c.name, r.Offered, diff)
		}
	}
}

// TestReadStream guards against a response that counts as complete although it
// belongs to another request, is out of order or lacks tokens.
func TestReadStream(t *testing.T) {
	chunk := func(id string, offset, n int) string {
		return fmt.Sprintf("data: {\"offset\":%d,\"tokens\":%d,\"choices\":[{\"text\":%q}]}\n\n", offset, n, brfake.Text(id, offset, offset+n))
	}
	const end = "data: [DONE]\n\n"
	for _, c := range []struct {
		name, stream        string
		complete, incorrect bool
	}{
		{"whole", chunk("id-00000001", 0, 2) + ": keep-alive\n\n" + chunk("id-00000001", 2, 1) + end, true, false},
		{"short", chunk("id-00000001", 0, 2) + end, false, false},
		{"no end", chunk("id-00000001", 0, 3), false, false},
		{"gap", chunk("id-00000001", 0, 1) + chunk("id-00000001", 2, 2) + end, false, true},
		{"another's", chunk("id-00000002", 0, 3) + end, false, true},
		{"error", chunk("id-00000001", 0, 2) + "event: error\ndata: {\"error\":{\"kind\":\"stuck\"}}\n\n", false, false},
	} {
		a := Response{RequestID: "id-00000001"}
		a.readStream(strings.NewReader(c.stream), 3)
		if a.Complete != c.complete || a.Incorrect != c.incorrect {
			t.Errorf("%s: Complete or Incorrect is wrong: %+v", c.name, a)
		}
	}
}

// TestInvariants guards against invariant checks that miss a violation.
func TestInvariants(t *testing.T) {
	event := func(ms int, id string, k brtimeline.Kind, kind string) brtimeline.Event {
		return brtimeline.Event{Stamp: brtimeline.Stamp{Wall: at(ms).UnixNano()}, RequestID: id, Kind: k, ErrorKind: kind}
	}
	all := []Outcome{outcome(1, refusal("high", "overloaded", "not_run")), outcome(4, completeResponse("low", 10, 20))}
	for _, c := range []struct {
		name     string
		received map[string]int
		grant    int // milliseconds after the epoch; the request of tier 1 is shed at 1000
		want     int // number of violations
	}{
		{"sound", map[string]int{"low": 1}, 900, 0},
		{"received twice", map[string]int{"low": 2}, 900, 1},
		{"run although refused", map[string]int{"low": 1, "high": 1}, 900, 1},
		{"lower tier granted after the shed", map[string]int{"low": 1}, 1500, 1},
	} {
		got := checkRuns(all, []brfake.Counts{{Requests: c.received}})
		got = append(got, checkShed(all, []brtimeline.Event{
			event(0, "low", brtimeline.RequestReceived, ""), event(1000, "high", brtimeline.RequestRefused, "overloaded"),
			event(c.grant, "low", brtimeline.RequestGranted, ""),
		})...)
		if len(got) != c.want {
			t.Errorf("%s: unexpected number of violations: %q", c.name, got)
		}
	}
}

// TestWaste guards against missed prefill that is counted although only the engine
// itself had the prefix cached, or although another engine cached it only after the
// arrival.
func TestWaste(t *testing.T) {
	run := func(engine string, due, first, cached int) Outcome {
		o := outcome(1, completeResponse("id", first, first+10))
		o.Due = at(due)
		o.Prompt = prompt("", Class{Route: "r", Prefix: 128}, 0, 1, 1, 1) // 2 blocks and 2 tokens
		o.Attempts[0].Endpoint, o.Attempts[0].Usage = engine, brengine.Usage{PromptTokens: 130, CachedTokens: cached}
		return o
	}
	for _, c := range []struct {
		name string
		list []Outcome
		want Waste
	}{
		{"cached at another engine", []Outcome{run("e1", 0, 10, 0), run("e2", 20, 30, 0)}, Waste{Missed: 128}},
		{"cached at the same engine", []Outcome{run("e1", 0, 10, 0), run("e1", 20, 30, 128)}, Waste{}},
		{"cached after the arrival", []Outcome{run("e1", 0, 10, 0), run("e2", 5, 15, 0)}, Waste{}},
		{"first token late", []Outcome{run("e1", 0, 1010, 0)}, Waste{Late: 130}},
	} {
		if diff := cmp.Diff(c.want, measureWaste(newCacheModel(8), c.list, nil)); diff != "" {
			t.Errorf("%s: waste differs (-want +got):\n%s", c.name, diff)
		}
	}
}
