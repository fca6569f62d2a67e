package brplace

import (
	"slices"
	"time"
)

// replayEngine is an endpoint that works in steps: each reads a chunk of one prompt and
// adds a token to every stream whose prompt has been read. So a prompt delays the other
// streams of the endpoint.
type replayEngine struct {
	run     *replayRun
	index   int
	speed   float64 // time that a step takes, relative to speed 1
	streams []*engineStream
	busy    bool
}

// engineStream is a stream that runs at a replayEngine.
type engineStream struct {
	*replayStream
	promptLeft int // tokens
	tokensLeft int
	began      time.Duration
}

const (
	engineStep       = 6350 * time.Microsecond // a step without a prompt
	enginePromptRate = 42.8                    // tokens read in one millisecond
	engineChunk      = 1024                    // tokens read in one step at most
	tokensPerEvent   = 3
)

func (n *replayEngine) start(q *replayStream) {
	n.streams = append(n.streams, &engineStream{replayStream: q, promptLeft: max(1, q.prompt), tokensLeft: max(1, int(q.events*tokensPerEvent))})
	if !n.busy {
		n.step()
	}
}

// step runs one step and the following ones until no stream is left.
func (n *replayEngine) step() {
	n.busy = len(n.streams) > 0
	if !n.busy {
		return
	}
	var reading *engineStream
	chunk := 0
	for _, e := range n.streams {
		if e.promptLeft > 0 {
			reading, chunk = e, min(engineChunk, e.promptLeft)
			break
		}
	}
	took := engineStep + time.Duration(float64(chunk)/enginePromptRate*float64(time.Millisecond))
	decoding := slices.DeleteFunc(slices.Clone(n.streams), func(e *engineStream) bool { return e.promptLeft > 0 })
	n.run.after(time.Duration(n.speed*float64(took)), func() {
		if reading != nil {
			if reading.promptLeft -= chunk; reading.promptLeft == 0 {
				reading.began = n.run.now
				n.run.begin(reading.replayStream)
			}
		}
		for _, e := range decoding {
			if e.tokensLeft--; e.tokensLeft == 0 {
				n.streams = slices.DeleteFunc(n.streams, func(x *engineStream) bool { return x == e })
				n.run.end(n.index, e.replayStream, time.Duration(float64(n.run.now-e.began)/max(1, e.events)))
			}
		}
		n.step()
	})
}
