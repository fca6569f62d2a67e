package brcore

import (
	"testing"
	"time"

	"bramleyroute/brtest"
)

// TestFormats guards against commands and snapshots that a replica of another build
// applies or restores otherwise.
func TestFormats(t *testing.T) {
	d := &Document{Version: 7, Body: []byte("body")}
	r := &Rollout{Service: "s", Target: "v2", Duration: time.Second, Elapsed: time.Millisecond, Outcome: RolledBack, Index: 3}
	e := Evacuation{Domain: "z", Withdrawn: true, Index: 5}
	brtest.CheckFormats(t,
		brtest.Value("names", []string{callDocument, callPropose, callRollout}),
		brtest.Value("names/evacuations", callEvacuations),
		brtest.Value("outcomes", []Outcome{Running, Succeeded, RolledBack}),
		brtest.Value("verdicts", []Verdict{Done, NoChange, Conflict}),
		brtest.Value("command/document", Command{Document: d}),
		brtest.Value("command/begin", Command{Begin: r}),
		brtest.Value("command/progress", Command{Progress: r}),
		brtest.Value("snapshot", snapshot{Document: *d, Rollouts: map[string]Rollout{"s": *r}}),
		brtest.Value("snapshot/empty", snapshot{}),
		brtest.Value("command/evacuation", Command{Format: evacuationFormat, Evacuation: &EvacuationChange{Domain: "z", Withdraw: true, Seen: 4}}),
		brtest.Value("snapshot/evacuations", snapshot{Format: evacuationFormat, Evacuations: map[string]Evacuation{"z": e}}),
		brtest.Message[Evacuation]("evacuation"),
		brtest.Message[EvacuationChange]("evacuation_change"),
		brtest.Message[Document]("document"),
		brtest.Message[Rollout]("rollout"),
	)
}
