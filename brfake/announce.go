package brfake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brwire"
)

const announceInterval = time.Second

// maxEventHashes limits the block hashes in the cache events of one announcement.
// The event that reaches the limit is still included.
const maxEventHashes = 4096

// announcer is the state of announcements besides the state of the engine.
type announcer struct {
	sequence      uint64
	eventSequence uint64
	pending       []pendingEvent
	loads         []loadSample
}

type pendingEvent struct {
	event brwire.CacheEvent
	ready time.Time
}

type loadSample struct {
	at               time.Time
	running, waiting int // tokens
}

func (e *Endpoint) storePrefix(hashes []uint64) {
	added, evicted := e.cache.store(hashes)
	e.queueEvent(brwire.CacheEvent{Hashes: added})
	e.queueEvent(brwire.CacheEvent{Hashes: evicted, Evicted: true})
}

func (e *Endpoint) queueEvent(ev brwire.CacheEvent) {
	if len(ev.Hashes) == 0 {
		return
	}
	a := &e.announcer
	a.eventSequence++
	ev.Sequence = a.eventSequence
	if len(e.config.Daemons) == 0 || e.random.Float64() < e.config.CacheEventLoss {
		return
	}
	a.pending = append(a.pending, pendingEvent{event: ev, ready: time.Now().Add(e.config.CacheEventLag)})
}

func (e *Endpoint) announceLoop() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		body, err := json.Marshal(e.announcement(time.Now()))
		if err != nil {
			panic("brfake: encode announcement: " + err.Error())
		}
		for _, addr := range e.config.Daemons {
			e.wg.Go(func() { e.post(ctx, addr, body) })
		}
		if !e.wait(announceInterval) {
			return
		}
	}
}

// announcement returns the announcement for time now. Its load figures are at least
// LoadLag old once measurements of that age exist.
func (e *Endpoint) announcement(now time.Time) brwire.Announce {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, c := &e.announcer, e.config
	a.sequence++
	a.loads = append(a.loads, loadSample{at: now, running: remainingTokens(e.running), waiting: remainingTokens(e.waiting)})
	for len(a.loads) > 1 && now.Sub(a.loads[1].at) >= c.LoadLag {
		a.loads = a.loads[1:]
	}
	load := a.loads[0]
	out := brwire.Announce{
		EndpointID: c.EndpointID, Address: c.Address, Kind: c.Kind, Model: e.state.Model, Version: e.state.Version,
		Region: c.Region, FailureDomain: c.FailureDomain, Hardware: c.Hardware, ChecksFencing: c.ChecksFencing,
		Leaving: e.state.Leaving, Sequence: a.sequence, Incarnation: e.incarnation,
		MeasuredAgoMS: now.Sub(load.at).Milliseconds(), RunningTokens: load.running, WaitingTokens: load.waiting,
		CapacityTokens: c.CapacityTokens, FailedLoads: append([]string(nil), e.failedLoads...),
	}
	deferred, hashes := a.pending[:0], 0
	for _, p := range a.pending {
		if now.Before(p.ready) || hashes >= maxEventHashes {
			deferred = append(deferred, p)
			continue
		}
		hashes += len(p.event.Hashes)
		out.CacheEvents = append(out.CacheEvents, p.event)
	}
	a.pending = deferred
	return out
}

// remainingTokens returns the number of prompt and output tokens still to be
// computed for the sequences in list.
func remainingTokens(list []*sequence) int {
	n := 0
	for _, s := range list {
		promptTokens := s.remainingPrompt
		if !s.admitted {
			promptTokens = s.prompt
		}
		n += promptTokens + s.outputTokens - s.emitted
	}
	return n
}

func (e *Endpoint) post(ctx context.Context, addr string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+brengine.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if e.config.Key != "" {
		req.Header.Set("Authorization", "Bearer "+e.config.Key)
	}
	// Errors are ignored: a daemon that is unreachable receives a later
	// announcement.
	if resp, err := e.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
