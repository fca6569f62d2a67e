package brdaemon

import (
	"strings"
	"testing"

	"bramleyroute/brclock"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// Guards against an answer that is larger than a message may be, which would end
// the link between two daemons, and against one that keeps the oldest events or
// doesn't tell that some are left out.
func TestTimelinePartIsBounded(t *testing.T) {
	r, err := brtimeline.NewRecorder(brtimeline.Options{Process: strings.Repeat("p", 64), Clock: brtimeline.NewClock(brclock.System{}, 0)})
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{recorder: r}
	id := strings.Repeat("i", 64)
	for i := range maxPartEvents + 500 {
		d.record(brtimeline.Event{Kind: brtimeline.RequestRefused, RequestID: id, CommandID: id, EndpointID: id, Pool: id, RolloutID: id, Customer: id, Route: id,
			Version: id, Peer: id, Tokens: i, Reason: strings.Repeat("r", brtimeline.MaxText), Detail: strings.Repeat("d", brtimeline.MaxText)})
	}
	p := d.timelinePart(timelineQuery{})
	if len(p.Events) != maxPartEvents || !p.Cut || p.Events[maxPartEvents-1].Tokens != maxPartEvents+499 {
		t.Errorf("%d events, cut %t, the last one is %d", len(p.Events), p.Cut, p.Events[len(p.Events)-1].Tokens)
	}
	b, err := brwire.Encode(p)
	if err != nil || len(b) > brwire.MaxMessage {
		t.Errorf("%d bytes of at most %d, %v", len(b), brwire.MaxMessage, err)
	}
}
