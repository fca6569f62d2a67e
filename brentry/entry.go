package brentry

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brclock"
	"bramleyroute/brconfig"
	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Config holds the settings of an entry. A zero value selects the default.
type Config struct {
	EntryID string // ID of the daemon
	Address string // host:port for callers, reported in responses of kind in_progress
	Region  string // region of the pools that the entry uses

	MaxBody         int64 // maximum size of a request body in bytes; default 1 MiB
	MaxPromptTokens int   // maximum number of prompt tokens; default 131,072
	MaxHeld         int   // maximum number of requests held at a time; default 2,048
	MaxHeldBytes    int64 // maximum memory of the held requests in bytes; default 160 MiB
	// Buffers limits the memory of requests until they are held; nil means a limit of its own
	// of brbuffer.DefaultBytes.
	Buffers           *brbuffer.Budget
	MaxEndedRecords   int           // maximum number of records of ended requests; default 200,000
	Retention         time.Duration // how long records of ended requests are retained; default 10 minutes
	DisconnectGrace   time.Duration // time before the request of a disconnected caller is canceled; default 5 s
	ResubmitDelay     time.Duration // delay before a submit that reached no scheduler is repeated; default 250 ms
	GrantAttempts     int           // number of grants with an unreachable endpoint after which a request fails; default 3
	WriteTimeout      time.Duration // timeout of one write to a caller; default 30 s
	DrainStuckTimeout time.Duration // time without a token after which a draining entry ends a stream; default 15 s
}

// Admission holds the properties that the current configuration gives a request.
type Admission struct {
	Customer string
	Route    brconfig.Route
	Revision uint64 // of the configuration
}

// Entry holds and dispatches the requests of callers. Its function fields must be
// set before the first request and not be changed afterwards. They are called from
// several goroutines, and those without a context must not block. The messages of
// Started, FirstToken, Done and Withdraw for one request must reach the scheduler in
// the order of the calls.
type Entry struct {
	// Resolve returns the customer and the route for a bearer key. If route is empty,
	// model selects the route; if both are empty, only the customer is looked up.
	// Errors have a kind of package brerror.
	Resolve func(key, route, model string) (Admission, error)
	// Ready returns the reason for which the entry accepts no work, or nil. The field
	// may be nil.
	Ready func() error

	// Submit sends a request to the scheduler of its pool. An error of kind not_owner,
	// not_leader, no_quorum or internal means that no scheduler was reached; the entry
	// then submits the request again after Config.ResubmitDelay. An error of another
	// kind ends the request. Repeated submits of one ID by this entry must be
	// idempotent.
	Submit     func(ctx context.Context, s brwire.Submit) error
	Withdraw   func(pool string, w brwire.Withdraw)
	Started    func(pool string, s brwire.Started)
	FirstToken func(pool string, f brwire.FirstToken)
	PathLost   func(pool string, p brwire.PathLost) // called by ReportLostPaths; may be nil
	Done       func(pool string, d brwire.Done)

	// Locate returns the entry and the endpoint of a dispatched request. The pool of l
	// is empty, so the schedulers of all pools of the region are queried.
	Locate func(ctx context.Context, l brwire.Locate) (brwire.LocateReply, error)
	// SendAttach sends a message to the entry that dispatched a request.
	SendAttach func(ctx context.Context, entryID string, a brwire.Attach) error

	// LedgerLookup, LedgerBegin, LedgerFinish and LedgerRelease access the ledger of
	// non-idempotent requests; see LedgerRecord.
	LedgerLookup  func(ctx context.Context, requestID string) (LedgerState, error)
	LedgerBegin   func(ctx context.Context, r LedgerRecord) (LedgerState, error)
	LedgerFinish  func(ctx context.Context, r LedgerRecord, a LedgerResponse) error
	LedgerRelease func(ctx context.Context, r LedgerRecord) error

	// Record receives the timeline events. If it is nil, events are dropped.
	Record func(Event)
	// Random returns a random number in [0, 1) for jitter. If it is nil, math/rand/v2
	// is used.
	Random func() float64

	Counters Counters

	config     Config
	clock      brclock.Clock
	client     *brdispatch.Client
	background sync.WaitGroup // ledger commits that run in the background
	stop       chan struct{}
	ended      context.Context // canceled by EndRequests
	end        context.CancelFunc

	mu              sync.Mutex
	draining        bool
	recordsExported bool // ExportRecords was called, so ImportRecords returns an error
	// startedAt is the start of the process; dispatches before it have no record. It
	// is zero if the records are complete. importedStart is the latest such time of
	// the entries whose records were imported.
	startedAt, importedStart time.Time
	activeCallers            int // callers being served
	registry                 registry
}

// New returns an entry that dispatches through client and reads the time from clock.
// It panics if c.EntryID is empty.
func New(c Config, clock brclock.Clock, client *brdispatch.Client) *Entry {
	if c.EntryID == "" {
		panic("brentry: Config.EntryID is empty")
	}
	c.MaxBody = cmp.Or(c.MaxBody, 1<<20)
	c.MaxPromptTokens = cmp.Or(c.MaxPromptTokens, 131_072)
	c.MaxHeld = cmp.Or(c.MaxHeld, 2048)
	c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes, 160<<20)
	c.MaxEndedRecords = cmp.Or(c.MaxEndedRecords, 200_000)
	c.Retention = cmp.Or(c.Retention, 10*time.Minute)
	c.DisconnectGrace = cmp.Or(c.DisconnectGrace, 5*time.Second)
	c.ResubmitDelay = cmp.Or(c.ResubmitDelay, 250*time.Millisecond)
	c.GrantAttempts = cmp.Or(c.GrantAttempts, 3)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 30*time.Second)
	c.DrainStuckTimeout = cmp.Or(c.DrainStuckTimeout, 15*time.Second)
	if c.Buffers == nil {
		c.Buffers = brbuffer.New(brbuffer.Config{Clock: clock})
	}
	e := &Entry{config: c, clock: clock, client: client, stop: make(chan struct{}), registry: newRegistry(), startedAt: clock.Now()}
	e.ended, e.end = context.WithCancel(context.Background())
	return e
}

// Handler returns the HTTP handler for callers. It panics if Resolve, Submit,
// Withdraw, Started, FirstToken or Done is nil.
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

// HealthHandler returns a handler that responds with status 200 as long as the
// process serves HTTP.
func (e *Entry) HealthHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
}

// ReadinessHandler returns a handler that responds with status 200 while the entry
// accepts work, and with the error that prevents it otherwise.
func (e *Entry) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := e.acceptsWork(); err != nil {
			e.writeError(w, "", err)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// acceptsWork returns the reason for which the entry accepts no work, or nil.
func (e *Entry) acceptsWork() error {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return brerror.New(brerror.ShuttingDown, "entry is shutting down")
	}
	if e.Ready != nil {
		return e.Ready()
	}
	return nil
}
