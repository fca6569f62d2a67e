package brfake

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brprefix"
	"bramleyroute/brwire"
)

const (
	defaultMaxBatch     = 64
	defaultPrefillChunk = 512
	maxPrefixBlocks     = 4096
	// maxRetained limits the number of ended sequences that remain resumable.
	maxRetained = 100_000
	// maxStepLag limits the lag behind the step schedule that later steps catch up.
	maxStepLag = 100 * time.Millisecond
)

// Endpoint is a running engine or plain service. It counts request IDs for its whole
// lifetime.
type Endpoint struct {
	config      Config
	incarnation string
	client      *http.Client
	stop        chan struct{}
	wake        chan struct{} // signals the arrival of a sequence
	wg          sync.WaitGroup

	mu                sync.Mutex
	random            *rand.Rand
	faults            map[string]Faults
	state             brengine.State
	failedLoads       []string // versions and adapters whose load failed
	silenceGeneration int      // connections of an older generation send nothing more
	sequences         map[string]*sequence
	endedIDs          []string // IDs of ended sequences, oldest first
	running           []*sequence
	waiting           []*sequence
	cache             *prefixCache
	counts            Counts
	requestCount      int
	activeCalls       int // calls of a plain service in progress
	announcer         announcer
}

// sequence is one completion. Its fields are protected by Endpoint.mu.
type sequence struct {
	id              string
	version         string
	hashes          []uint64
	prompt          int    // tokens
	cached          int    // prompt tokens found in the cache
	remainingPrompt int    // prompt tokens still to be computed
	outputTokens    int    // length of the response
	emitted         int    // output tokens generated so far
	stuckAt         int    // output tokens after which the sequence is stuck; -1 for never
	finish          string // finish reason; empty while the sequence is active
	admitted        bool
	changed         chan struct{} // closed at the next change
}

// New starts an endpoint. The caller provides the listener: it serves Handler from
// an http.Server whose ConnContext is set to Endpoint.ConnContext. New panics if
// c.Kind is neither an engine nor a service.
func New(c Config) *Endpoint {
	if c.Kind != brwire.KindEngine && c.Kind != brwire.KindService {
		panic(fmt.Sprintf("brfake: unknown endpoint kind %q", c.Kind))
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.PrefillChunk == 0 {
		c.PrefillChunk = defaultPrefillChunk
	}
	e := &Endpoint{
		config:      c,
		incarnation: fmt.Sprintf("%s-%d", c.EndpointID, time.Now().UnixNano()),
		client:      &http.Client{Timeout: time.Second},
		stop:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(c.Seed, 1)),
		faults:      map[string]Faults{},
		state:       brengine.State{EndpointID: c.EndpointID, Model: c.Model, Version: c.Version},
		sequences:   map[string]*sequence{},
		cache:       newPrefixCache(c.CacheBlocks),
		counts:      Counts{Requests: map[string]int{}, Versions: map[string]int{}},
	}
	for v, f := range c.Faults {
		e.faults[v] = f
	}
	e.wg.Go(e.run)
	if len(c.Daemons) > 0 {
		e.wg.Go(e.announceLoop)
	}
	return e
}

// Close stops the endpoint, ends open streams and waits for the goroutines of e.
func (e *Endpoint) Close() {
	close(e.stop)
	e.wg.Wait()
}

// Counts returns a copy of the counters.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Running, c.Waiting = len(e.running), len(e.waiting)
	c.Versions, c.OrderLog = maps.Clone(e.counts.Versions), slices.Clone(e.counts.OrderLog)
	c.Requests = make(map[string]int, len(e.counts.Requests))
	for id, n := range e.counts.Requests {
		c.Requests[id] = n
	}
	return c
}

// SetFault replaces the faults of one version. If f.Silence is set, the open
// connections send nothing more.
func (e *Endpoint) SetFault(f FaultRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults[f.Version] = f.Faults
	if f.Silence {
		e.silenceGeneration++
	}
}

func (e *Endpoint) currentFaults() Faults {
	if f, ok := e.faults[e.state.Version]; ok {
		return f
	}
	return e.faults[""]
}

// run executes batch steps while there is work.
func (e *Endpoint) run() {
	due := time.Now()
	for {
		d, work := e.planStep()
		if !work {
			select {
			case <-e.wake:
				due = time.Now()
				continue
			case <-e.stop:
				return
			}
		}
		due = due.Add(d)
		if behind := time.Since(due); behind > maxStepLag {
			due = due.Add(behind - maxStepLag)
		}
		if !e.wait(time.Until(due)) {
			return
		}
		e.emitTokens()
	}
}

func (e *Endpoint) wait(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-e.stop:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.stop:
		return false
	}
}

// planStep admits waiting sequences and distributes the step's prefill budget. It
// returns the duration of the step and whether any sequence is active.
func (e *Endpoint) planStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.cached = e.cache.match(s.hashes) * brwire.PrefixBlockTokens
		s.remainingPrompt = s.prompt - s.cached
		s.admitted = true
		e.counts.PrefillCached += s.cached
		e.running = append(e.running, s)
	}
	active, prefilled := 0, 0
	for _, s := range e.running {
		if s.stuck() {
			continue
		}
		active++
		n := min(s.remainingPrompt, e.config.PrefillChunk-prefilled)
		s.remainingPrompt -= n
		prefilled += n
		if n > 0 && s.remainingPrompt == 0 {
			e.storePrefix(s.hashes)
		}
	}
	e.counts.PrefillComputed += prefilled
	d := e.config.StepBase + time.Duration(active)*e.config.StepPerSequence +
		time.Duration(prefilled)*e.config.PrefillPerToken
	f := e.currentFaults()
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.SlowAboveBatch > 0 && active > f.SlowAboveBatch {
		d = time.Duration(float64(d) * f.SlowAboveFactor)
	}
	return d, active > 0
}

// emitTokens generates one token for each sequence whose prompt is fully computed.
func (e *Endpoint) emitTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.remainingPrompt == 0 && !s.stuck() {
			s.emitted++
			e.counts.Generated++
			if s.emitted >= s.outputTokens {
				s.finish = "length"
				e.counts.Finished++
				e.retainEnded(s)
			}
			s.notify()
		}
		if s.finish == "" {
			unfinished = append(unfinished, s)
		}
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
}

func (s *sequence) stuck() bool { return s.stuckAt >= 0 && s.emitted >= s.stuckAt }

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add registers a request. It returns nil if the request ID is already registered.
func (e *Endpoint) add(id string, c brengine.Completion) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[id] != nil {
		return nil
	}
	s := &sequence{id: id, version: e.state.Version, outputTokens: responseTokens(c), stuckAt: -1, changed: make(chan struct{})}
	s.prompt, s.hashes = brprefix.Hashes(c.Prompt, maxPrefixBlocks)
	if f := e.currentFaults(); f.StuckRequest == "*" || f.StuckRequest == id {
		s.stuckAt = f.StuckAt
	}
	e.sequences[id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// cancel ends a sequence early and counts its computed prompt tokens as wasted. It
// returns false if the request ID is unknown.
func (e *Endpoint) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[id]
	if s == nil {
		return false
	}
	if s.finish != "" {
		return true
	}
	s.finish = "canceled"
	e.counts.Canceled++
	if s.admitted {
		e.counts.PrefillWasted += s.prompt - s.cached - s.remainingPrompt
	}
	e.running, e.waiting = removeSequence(e.running, s), removeSequence(e.waiting, s)
	e.retainEnded(s)
	s.notify()
	return true
}

func (e *Endpoint) retainEnded(s *sequence) {
	e.endedIDs = append(e.endedIDs, s.id)
	if len(e.endedIDs) > maxRetained {
		delete(e.sequences, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
}

func removeSequence(list []*sequence, s *sequence) []*sequence {
	for i, x := range list {
		if x == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
