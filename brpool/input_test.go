package brpool

import (
	"testing"

	"bramleyroute/brwire"
	"pgregory.net/rapid"
)

// Guards against values in a peer's messages that crash the scheduler or violate
// its invariants.
func TestArbitraryValues(t *testing.T) {
	raiseRapidDefaults(t, "4000", "30")
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(brwire.KindEngine)
		p.Step(at(0), Takeover{Epoch: 1})
		p.Step(at(0), announce("e1", "v1", 1, 10_000))
		now := 0
		id := func() string { return testID(at(0), rapid.IntRange(0, 3).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				a := rapid.Make[brwire.Announce]().Draw(t, "announce")
				a.EndpointID = rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
				a.Incarnation = ""
				p.Step(at(now), EndpointReport{a})
			},
			"submit": func(t *rapid.T) {
				s := rapid.Make[brwire.Submit]().Draw(t, "submit")
				s.RequestID = id()
				if rapid.Bool().Draw(t, "plausible") {
					s.Tier, s.PromptTokens, s.MaxTokens = rapid.IntRange(1, 5).Draw(t, "tier"), 10, maxTokens
				}
				p.Step(at(now), Submit{"a", s})
			},
			"running": func(t *rapid.T) {
				r := rapid.Make[brwire.RunningRef]().Draw(t, "running")
				r.Submit.RequestID, r.EndpointID = id(), "e1"
				p.Step(at(now), EntryJoined{"a"})
				p.Step(at(now), Recovered{brwire.JoinReply{EntryID: "a", Epoch: 1, Running: []brwire.RunningRef{r}}})
			},
			"done": func(t *rapid.T) {
				d := rapid.Make[brwire.Done]().Draw(t, "done")
				d.RequestID, d.Epoch = id(), 1
				p.Step(at(now), Done{"a", d})
			},
			"tick": func(t *rapid.T) {
				now += rapid.IntRange(0, 2000).Draw(t, "ms")
				p.Step(at(now), Tick{})
			},
			"": func(t *rapid.T) {
				if err := p.Check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}
