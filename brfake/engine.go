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
	// maxRetained bounds the ended sequences that stay resumable.
	maxRetained = 100_000
	// maxCatchUp bounds how far late steps are made up for.
	maxCatchUp = 100 * time.Millisecond
)

// Endpoint is a running engine or plain service. The ids that it counts are
// kept for its whole life.
type Endpoint struct {
	config      Config
	incarnation string
	client      *http.Client
	stop        chan struct{}
	wake        chan struct{} // a sequence arrived
	wg          sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	faults    map[string]Faults
	state     brengine.State
	failed    []string // versions that couldn't be loaded
	silence   int      // connections of an older generation are silent
	sequences map[string]*sequence
	ended     []string
	running   []*sequence
	waiting   []*sequence
	cache     *prefixCache
	counts    Counts
	received  int
	calls     int // of a plain service, in progress
	announcer announcer
}

// sequence is one completion. Its fields are guarded by Endpoint.mu.
type sequence struct {
	id       string
	version  string
	hashes   []uint64
	prompt   int // tokens
	cached   int // tokens of prompt that were in the cache
	left     int // prompt tokens still to compute
	want     int // tokens of the answer
	emitted  int
	stuckAt  int // -1 when not stuck
	finish   string
	admitted bool
	changed  chan struct{} // closed at the next change
}

// New starts an endpoint. Its listener is the caller's: serve Handler with
// ConnContext set in the http.Server. New panics if c has no kind.
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

// Close stops the endpoint and waits for its goroutines. Open streams end.
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

// SetFault replaces the faults of one version and, when asked to, makes the
// open connections silent.
func (e *Endpoint) SetFault(f FaultRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults[f.Version] = f.Faults
	if f.Silence {
		e.silence++
	}
}

func (e *Endpoint) faultsNow() Faults {
	if f, ok := e.faults[e.state.Version]; ok {
		return f
	}
	return e.faults[""]
}

// run executes one batch step after the other while there is work.
func (e *Endpoint) run() {
	due := time.Now()
	for {
		d, work := e.plan()
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
		if behind := time.Since(due); behind > maxCatchUp {
			due = due.Add(behind - maxCatchUp)
		}
		if !e.pause(time.Until(due)) {
			return
		}
		e.emit()
	}
}

func (e *Endpoint) pause(d time.Duration) bool {
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

// plan admits waiting sequences, spends the step's prefill budget and returns
// how long the step takes.
func (e *Endpoint) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.cached = e.cache.match(s.hashes) * brwire.PrefixBlockTokens
		s.left = s.prompt - s.cached
		s.admitted = true
		e.counts.PrefillCached += s.cached
		e.running = append(e.running, s)
	}
	active, prefilled := 0, 0
	for _, s := range e.running {
		if s.blocked() {
			continue
		}
		active++
		n := min(s.left, e.config.PrefillChunk-prefilled)
		s.left -= n
		prefilled += n
		if n > 0 && s.left == 0 {
			e.storePrefix(s.hashes)
		}
	}
	e.counts.PrefillComputed += prefilled
	d := e.config.StepBase + time.Duration(active)*e.config.StepPerSequence +
		time.Duration(prefilled)*e.config.PrefillPerToken
	f := e.faultsNow()
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.SlowAboveBatch > 0 && active > f.SlowAboveBatch {
		d = time.Duration(float64(d) * f.SlowAboveFactor)
	}
	return d, active > 0
}

// emit gives each sequence whose prompt is computed one token.
func (e *Endpoint) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, s := range e.running {
		if s.left == 0 && !s.blocked() {
			s.emitted++
			e.counts.Generated++
			if s.emitted >= s.want {
				s.finish = "length"
				e.counts.Finished++
				e.retire(s)
			}
			s.notify()
		}
		if s.finish == "" {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (s *sequence) blocked() bool { return s.stuckAt >= 0 && s.emitted >= s.stuckAt }

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add registers a request. It returns nil when the id was received before.
func (e *Endpoint) add(id string, c brengine.Completion) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[id] != nil {
		return nil
	}
	s := &sequence{id: id, version: e.state.Version, want: answerTokens(c), stuckAt: -1, changed: make(chan struct{})}
	s.prompt, s.hashes = brprefix.Hashes(c.Prompt, maxPrefixBlocks)
	if f := e.faultsNow(); f.StuckRequest == "*" || f.StuckRequest == id {
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

// cancel ends a sequence early; its computed prefill is wasted.
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
		e.counts.PrefillWasted += s.prompt - s.cached - s.left
	}
	e.running, e.waiting = without(e.running, s), without(e.waiting, s)
	e.retire(s)
	s.notify()
	return true
}

func (e *Endpoint) retire(s *sequence) {
	e.ended = append(e.ended, s.id)
	if len(e.ended) > maxRetained {
		delete(e.sequences, e.ended[0])
		e.ended = e.ended[1:]
	}
}

func without(list []*sequence, s *sequence) []*sequence {
	for i, x := range list {
		if x == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
