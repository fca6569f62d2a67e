package brentry

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconfig"
	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Config holds an entry's settings. Zero values stand for the defaults.
type Config struct {
	EntryID string // daemon id
	Address string // host:port for callers, named in in_progress answers
	Region  string // region whose pools the entry uses

	MaxBody         int64         // bytes of a request's body; 0 means 1 MiB
	MaxPromptTokens int           // 0 means 131,072
	MaxHeld         int           // requests held at a time; 0 means 2,048
	MaxHeldBytes    int64         // held requests with their bodies; 0 means 160 MiB
	MaxFinished     int           // ended ids on record; 0 means 200,000
	Retention       time.Duration // of ended ids; 0 means 10 minutes
	Grace           time.Duration // for a caller that went away; 0 means 5 s
	ResubmitAfter   time.Duration // after a submit that reached no scheduler; 0 means 250 ms
	GrantAttempts   int           // grants whose endpoint couldn't be reached; 0 means 3
	WriteTimeout    time.Duration // of one write to a caller; 0 means 30 s
	DrainStuck      time.Duration // without a token, after which a stopping entry ends a stream; 0 means 15 s
}

// Admission is what the configuration in force says about a request.
type Admission struct {
	Customer string
	Route    brconfig.Route
	Revision uint64
}

// Entry holds callers' requests. Its function fields are set before the first
// request and not changed afterwards; they are called from many goroutines, and
// those without a context must not block. Started, FirstToken, Done and Withdraw
// of one request must reach the scheduler in the order of their calls.
type Entry struct {
	// Resolve finds the customer of a bearer key and its route. The route may be
	// empty, then the model alone selects it; with both empty, only the customer
	// is looked up. Errors carry a kind.
	Resolve func(key, route, model string) (Admission, error)
	// Ready returns the reason for which no new work is taken; nil means none.
	Ready func() error

	// Submit hands a request to the scheduler of its pool. An error of kind
	// not_owner, not_leader, no_quorum or internal means that no scheduler was
	// reached: the request stays held and is submitted again. Other kinds end it.
	// A repeated submit of the same id by this entry must have no second effect.
	Submit     func(ctx context.Context, s brwire.Submit) error
	Withdraw   func(pool string, w brwire.Withdraw)
	Started    func(pool string, s brwire.Started)
	FirstToken func(pool string, f brwire.FirstToken)
	Done       func(pool string, d brwire.Done)

	// Locate finds where a request was dispatched. Its pool is empty: the
	// schedulers of all pools of the region are asked.
	Locate func(ctx context.Context, l brwire.Locate) (brwire.LocateReply, error)
	// SendAttach passes a message to the entry that dispatched a request.
	SendAttach func(ctx context.Context, entryID string, a brwire.Attach) error

	// The ledger of non-idempotent requests; see LedgerRecord.
	LedgerLookup  func(ctx context.Context, requestID string) (LedgerState, error)
	LedgerBegin   func(ctx context.Context, r LedgerRecord) (LedgerState, error)
	LedgerFinish  func(ctx context.Context, r LedgerRecord, a LedgerAnswer) error
	LedgerRelease func(ctx context.Context, r LedgerRecord) error

	// Record takes timeline events; nil drops them.
	Record func(Event)
	// Random returns a number in [0, 1) for jitter; nil means math/rand/v2.
	Random func() float64

	Counters Counters

	config Config
	clock  brclock.Clock
	client *brdispatch.Client
	work   sync.WaitGroup // ledger commits in the background
	stop   chan struct{}

	mu       sync.Mutex
	draining bool
	left     bool // the records were handed to another entry
	// started is when the process started; what was dispatched before is unknown.
	// It is zero when nothing is missing. inherited is the same of entries whose
	// records this one has.
	started, inherited time.Time
	callers            int // being served
	registry           registry
}

// New returns an entry that dispatches through client and takes its time from
// clock. New panics if c has no entry id.
func New(c Config, clock brclock.Clock, client *brdispatch.Client) *Entry {
	if c.EntryID == "" {
		panic("brentry: no entry id")
	}
	c.MaxBody = cmp.Or(c.MaxBody, 1<<20)
	c.MaxPromptTokens = cmp.Or(c.MaxPromptTokens, 131_072)
	c.MaxHeld = cmp.Or(c.MaxHeld, 2048)
	c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes, 160<<20)
	c.MaxFinished = cmp.Or(c.MaxFinished, 200_000)
	c.Retention = cmp.Or(c.Retention, 10*time.Minute)
	c.Grace = cmp.Or(c.Grace, 5*time.Second)
	c.ResubmitAfter = cmp.Or(c.ResubmitAfter, 250*time.Millisecond)
	c.GrantAttempts = cmp.Or(c.GrantAttempts, 3)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 30*time.Second)
	c.DrainStuck = cmp.Or(c.DrainStuck, 15*time.Second)
	return &Entry{config: c, clock: clock, client: client, stop: make(chan struct{}), registry: newRegistry(), started: clock.Now()}
}

// Handler returns the callers' HTTP interface. It panics if a function field
// that every request needs is not set.
func (e *Entry) Handler() http.Handler {
	if e.Resolve == nil || e.Submit == nil || e.Withdraw == nil || e.Started == nil || e.FirstToken == nil || e.Done == nil {
		panic("brentry: Resolve, Submit, Withdraw, Started, FirstToken or Done is not set")
	}
	m := http.NewServeMux()
	m.HandleFunc("POST "+brengine.PathCompletions, e.serveCompletion)
	m.HandleFunc("GET "+brengine.PathRequests+"{id}", e.serveResume)
	m.HandleFunc(brengine.PathServices+"{name}/{path...}", e.serveService)
	return m
}

// HealthHandler answers 200 as long as the process serves HTTP.
func (e *Entry) HealthHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
}

// ReadinessHandler answers 200 while new work is taken, and the reason with its
// status otherwise.
func (e *Entry) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := e.takesWork(); err != nil {
			e.writeError(w, "", err)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (e *Entry) takesWork() error {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return brerror.New(brerror.ShuttingDown, "this entry is stopping")
	}
	if e.Ready != nil {
		return e.Ready()
	}
	return nil
}
