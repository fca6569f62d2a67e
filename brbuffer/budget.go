package brbuffer

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"

	"github.com/rs/zerolog"
)

const (
	// DefaultBytes is the limit of a Budget whose Config has none.
	DefaultBytes = 64 << 20
	// RetryAfter is the time after which a refused caller finds room: holders that make no
	// progress give way then.
	RetryAfter = stallTime
	// evictionTime limits the wait for evicted holders.
	evictionTime = 200 * time.Millisecond
	// maxLogLines is the number of evictions that are logged in logPeriod.
	maxLogLines = 5
	logPeriod   = time.Second
)

// ErrNoRoom reports that all unfinished requests together are too large, and that this one
// had to give way.
var ErrNoRoom = errors.New("brbuffer: unfinished requests are too large")

// Config configures a Budget.
type Config struct {
	Bytes int // limit of all holders together; 0 means DefaultBytes
	Log   zerolog.Logger
	Clock brclock.Clock // nil means the system clock
}

// Stats are the totals of a Budget.
type Stats struct {
	HeldBytes int
	Refused   uint64 // reservations without room
	Evicted   uint64 // holders that gave way to others
	TooLarge  uint64 // bodies over their own limit
	TimedOut  uint64 // bodies that arrived too slowly
}

// Budget is the memory of all unfinished requests of a process. It is safe for concurrent
// use.
type Budget struct {
	cfg Config
	log zerolog.Logger // of evictions

	mu       sync.Mutex
	state    *State
	holders  map[ID]*Holder
	last     ID
	stats    Stats         // without HeldBytes
	released chan struct{} // closed when something is released; nil if nobody waits
}

// New returns a Budget.
func New(cfg Config) *Budget {
	if cfg.Bytes <= 0 {
		cfg.Bytes = DefaultBytes
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	return &Budget{
		cfg: cfg, state: NewState(cfg.Bytes), holders: map[ID]*Holder{},
		log: cfg.Log.Sample(&zerolog.BurstSampler{Burst: maxLogLines, Period: logPeriod}),
	}
}

// Stats returns the current totals.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.HeldBytes = b.state.Used()
	return s
}

// Holder is a request that holds memory.
type Holder struct {
	budget  *Budget
	id      ID
	evict   func()
	evicted atomic.Bool
}

// Open returns a holder without memory. The function evict is called when the holder has to
// give way. It must not block, and makes the owner of the holder call Release.
func (b *Budget) Open(evict func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	h := &Holder{budget: b, id: b.last, evict: evict}
	b.holders[h.id] = h
	return h
}

// Reserve reserves n bytes more. It may wait for holders that give way, up to evictionTime,
// and returns ErrNoRoom if h has to.
func (h *Holder) Reserve(n int) error {
	var late <-chan time.Time
	for {
		verdict, released := h.tryReserve(n)
		switch verdict {
		case Granted:
			return nil
		case Refused, Gone:
			return ErrNoRoom
		}
		if late == nil {
			late = h.budget.cfg.Clock.After(evictionTime)
		}
		select {
		case <-released:
		case <-late:
			h.budget.countRefusal()
			return ErrNoRoom
		}
	}
}

// tryReserve is a try of Reserve. If the verdict is Pending, the returned channel is closed at
// the next release.
func (h *Holder) tryReserve(n int) (Verdict, <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	if b.holders[h.id] == nil { // released, as its connection was closed meanwhile
		b.mu.Unlock()
		return Gone, nil
	}
	verdict, ids := b.state.Reserve(b.cfg.Clock.Now(), h.id, n)
	var evicted []*Holder
	for _, id := range ids {
		evicted = append(evicted, b.holders[id])
	}
	b.stats.Evicted += uint64(len(ids))
	used := b.state.Used()
	if verdict == Refused {
		b.stats.Refused++
	}
	if verdict == Pending && b.released == nil {
		b.released = make(chan struct{})
	}
	released := b.released
	b.mu.Unlock()
	for _, other := range evicted {
		other.evicted.Store(true)
		other.evict()
		b.log.Warn().Int("held_bytes", used).Int("limit_bytes", b.cfg.Bytes).Msg("unfinished request gives way")
	}
	return verdict, released
}

func (b *Budget) countRefusal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Refused++
}

// countError counts an error of Read that Reserve doesn't count.
func (b *Budget) countError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(err, ErrTooLarge):
		b.stats.TooLarge++
	case errors.Is(err, ErrTimeout):
		b.stats.TimedOut++
	}
}

// Evicted reports whether h has to give way.
func (h *Holder) Evicted() bool { return h.evicted.Load() }

// Progress records that bytes of the request have arrived.
func (h *Holder) Progress() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Progress(b.cfg.Clock.Now(), h.id)
}

// Complete records that the request has arrived completely, after which it doesn't give way.
// It returns ErrNoRoom if it had to before.
func (h *Holder) Complete() error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.state.Complete(h.id) {
		return ErrNoRoom
	}
	return nil
}

// Release releases all that h has reserved. Further calls do nothing.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Release(h.id)
	delete(b.holders, h.id)
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
