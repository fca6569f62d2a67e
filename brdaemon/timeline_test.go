package brdaemon

import (
	"strings"
	"testing"

	"bramleyroute/brclock"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// Guards against a reply that is larger than a message may be, which would
// close the link between two daemons, and against one that holds the oldest
// events or doesn't report that some were left out.
func TestTimelineReplyIsLimited(t *testing.T) {
	r, err := brtimeline.NewRecorder(brtimeline.Options{Process: strings.Repeat("p", 64), Clock: brtimeline.NewClock(brclock.System{}, 0)})
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{recorder: r}
	id := strings.Repeat("i", 64)
	for i := range maxReplyEvents + 500 {
		d.record(brtimeline.Event{Kind: brtimeline.RequestRefused, RequestID: id, CommandID: id, EndpointID: id, Pool: id, RolloutID: id, Customer: id, Route: id,
			Version: id, Peer: id, Tokens: i, Reason: strings.Repeat("r", brtimeline.MaxTextBytes), Detail: strings.Repeat("d", brtimeline.MaxTextBytes)})
	}
	p := d.localTimeline(timelineQuery{})
	if len(p.Events) != maxReplyEvents || !p.Truncated || p.Events[maxReplyEvents-1].Tokens != maxReplyEvents+499 {
		t.Errorf("got %d events, truncated %t, last event %d; want the newest maxReplyEvents events, truncated true", len(p.Events), p.Truncated, p.Events[len(p.Events)-1].Tokens)
	}
	b, err := brwire.Encode(p)
	if err != nil || len(b) > brwire.MaxMessage {
		t.Errorf("reply has %d bytes, want at most %d; error %v", len(b), brwire.MaxMessage, err)
	}
}
