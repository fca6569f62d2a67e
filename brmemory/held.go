package brmemory

// Held is an estimate of the prompt tokens that another daemon has outstanding at an
// endpoint. Its reports state the prompts that the endpoint has yet to process. A processed
// prompt still occupies memory until its request ends. The zero value is nothing held.
type Held struct {
	active  int    // requests
	pending int    // prompt tokens yet to be processed
	ended   uint64 // counter of ended requests
	prompt  int    // estimate of all prompt tokens
}

// Prompt returns the estimate.
func (h Held) Prompt() int { return h.prompt }

// After returns the estimate after a report of the daemon: the number of active requests, the
// prompt tokens yet to be processed, and the counter of ended requests. Prompts that no report
// has shown count meanPrompt tokens each.
func (h Held) After(active, pending int, ended uint64, meanPrompt int) Held {
	if active <= 0 {
		return Held{ended: ended}
	}
	next := Held{active: active, pending: pending, ended: ended}
	next.prompt = h.remaining(active, ended) + max(0, pending-h.pending)
	next.prompt = max(next.prompt, pending, active*meanPrompt)
	return next
}

// remaining returns the part of the estimate that is left of the requests of the last report.
// It isn't known which of them have ended, so that each takes the mean with it. The counter
// leaves out requests whose callers gave up, and the number of active ones those that were
// replaced by others.
func (h Held) remaining(active int, ended uint64) int {
	if h.active == 0 {
		return 0
	}
	gone := h.active - active
	if ended > h.ended {
		gone = max(gone, int(min(ended-h.ended, uint64(h.active))))
	}
	return h.prompt * min(h.active, h.active-gone) / h.active
}
