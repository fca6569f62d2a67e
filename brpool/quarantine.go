package brpool

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brquarantine"
	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

const (
	// maxParts limits the prefix blocks of a prompt that are examined for the crash of an
	// endpoint: the first 2,048 tokens.
	maxParts = 32
	// maxFingerprint limits the characters kept of the fingerprint that an entry states.
	maxFingerprint = 32
	// minProgressTokens is the number of tokens after which an endpoint has survived the
	// beginning of a request.
	minProgressTokens = 2
)

// promptParts returns the parts of a prompt for the quarantine: its prefix blocks, which
// other prompts may share.
func promptParts(s brwire.Submit) []string {
	var parts []string
	for _, h := range s.PrefixHashes[:min(len(s.PrefixHashes), maxParts)] {
		parts = append(parts, strconv.FormatUint(h, 16))
	}
	return parts
}

// blamed describes what a request is refused for.
var blamed = map[brquarantine.Kind]string{
	brquarantine.KindRequest: "this request",
	brquarantine.KindPart:    "requests with the same beginning of the prompt",
}

// refuseHeld refuses a queued or new request if it or a part of its prompt is
// quarantined, and reports whether it did.
func (p *Pool) refuseHeld(now time.Time, r *request) bool {
	held, pause, found := p.quarantine.Check(now, r.identity)
	if !found {
		return false
	}
	p.queue.Remove(r.ID)
	delete(p.requests, r.ID)
	p.refuse(r.entry, r.ID, brerror.New(brerror.EndpointUnavailable,
		"endpoints crashed under %s", blamed[held.Kind]).WithRetryAfter(pause))
	return true
}

// observeLoss passes the end of a request to the quarantine.
func (p *Pool) observeLoss(now time.Time, r *request, m brwire.Done) {
	var changes []brquarantine.Change
	switch {
	case m.OK || m.OutputTokens >= minProgressTokens:
		changes = p.quarantine.RunProgressed(now, r.identity)
	case m.EndpointLost && !m.PathFailed:
		changes = p.quarantine.RunLost(now, r.identity, startOf(r.flight))
	}
	r.conclusive = m.OK || m.OutputTokens >= minProgressTokens || m.EndpointLost && !m.PathFailed
	refuse := false
	for _, c := range changes {
		if c.Quarantined || c.Released {
			p.emit(NoteQuarantine{Subject: c.Subject, Quarantined: c.Quarantined, Lost: c.Evidence.Lost})
		}
		refuse = refuse || c.Quarantined
	}
	if refuse {
		p.refuseAllHeld(now)
	}
}

// startOf identifies the start of an endpoint at which f runs.
func startOf(f *brroute.Flight) string { return f.EndpointID + "." + f.Incarnation }

// refuseAllHeld refuses the queued requests that are held back, so that they don't
// wait for an endpoint that they won't get.
func (p *Pool) refuseAllHeld(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		if r := p.requests[id]; r.state == queued {
			p.refuseHeld(now, r)
		}
	}
}
