package brload

import (
	"fmt"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/brtimeline"
)

// messageSlack is the time that a message between two processes may take on a loaded
// machine. The order of events that are closer than this is not checked.
const messageSlack = 100 * time.Millisecond

// maxErrors limits the number of listed violations.
const maxErrors = 10

// checkRuns returns the contradictions between outcomes and the engines' counts: an
// ID that was received twice, or one that was received although the caller was
// informed that the request was not run. It also returns incorrect responses.
func checkRuns(outcomes []Outcome, counts []brfake.Counts) []string {
	received := map[string]int{}
	for _, c := range counts {
		for id, n := range c.Requests {
			received[id] += n
		}
	}
	var out []string
	for _, o := range outcomes {
		for _, a := range o.Attempts {
			switch n := received[a.RequestID]; {
			case n > 1:
				out = append(out, fmt.Sprintf("request %s was received %d times", a.RequestID, n))
			case n > 0 && a.NotRun():
				out = append(out, fmt.Sprintf("request %s was received although it was refused as not run (%s)", a.RequestID, a.Failure.Kind))
			case a.Incorrect:
				out = append(out, fmt.Sprintf("request %s got an incorrect response", a.RequestID))
			}
		}
	}
	return truncateErrors(out)
}

// checkShed returns the requests that were granted although a request of a higher
// tier had been shed after they were received.
func checkShed(outcomes []Outcome, events []brtimeline.Event) []string {
	tiers := map[string]int{}
	for _, o := range outcomes {
		for _, a := range o.Attempts {
			tiers[a.RequestID] = o.Tier
		}
	}
	received, granted := map[string]time.Time{}, map[string]time.Time{}
	var shed []brtimeline.Event
	for _, e := range events {
		switch {
		case e.RequestID == "" || tiers[e.RequestID] == 0:
		case e.Kind == brtimeline.RequestReceived:
			received[e.RequestID] = e.Stamp.Time()
		case e.Kind == brtimeline.RequestGranted && e.Reason == "":
			granted[e.RequestID] = e.Stamp.Time()
		case e.ErrorKind == brerror.Overloaded.String():
			shed = append(shed, e)
		}
	}
	var out []string
	for id, at := range granted {
		for _, s := range shed {
			t := s.Stamp.Time()
			if tiers[s.RequestID] < tiers[id] && received[id].Before(t.Add(-messageSlack)) && at.After(t.Add(messageSlack)) {
				out = append(out, fmt.Sprintf("request %s of tier %d was granted %v after %s of tier %d was shed",
					id, tiers[id], at.Sub(t).Round(time.Millisecond), s.RequestID, tiers[s.RequestID]))
				break
			}
		}
	}
	return truncateErrors(out)
}

func truncateErrors(list []string) []string {
	if n := len(list); n > maxErrors {
		return append(list[:maxErrors:maxErrors], fmt.Sprintf("and %d more", n-maxErrors))
	}
	return list
}
