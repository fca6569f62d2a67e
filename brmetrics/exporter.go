package brmetrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Interval is how often counters are handed to the reporter.
const Interval = time.Second

// Exporter exports the metrics of one daemon, and of its process. It is safe for
// concurrent use.
type Exporter struct {
	Scope tally.Scope

	reporter prometheus.Reporter
	closer   io.Closer

	mu   sync.Mutex
	last map[string]int64 // last total of each counter
}

// New returns an Exporter without metrics but those of the process. Each has a
// registry of its own: a process may run several daemons, and the default registry
// refuses the second one's metrics.
func New() *Exporter {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bramleyroute", Separator: prometheus.DefaultSeparator, CachedReporter: r,
	}, Interval)
	return &Exporter{Scope: scope, reporter: r, closer: closer, last: map[string]int64{}}
}

// Handler returns the handler that writes the metrics.
func (e *Exporter) Handler() http.Handler { return e.reporter.HTTPHandler() }

// Close ends the export.
func (e *Exporter) Close() error { return e.closer.Close() }

// Count exports a counter that its owner keeps as a total. The key tells counters
// with the same name in different scopes apart. A total that went down is taken as
// the new start.
func (e *Exporter) Count(s tally.Scope, key, name string, total int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if delta := total - e.last[key+name]; delta > 0 {
		s.Counter(name).Inc(delta)
	}
	e.last[key+name] = total
}

// OneIf returns 1 for true and 0 for false, for gauges of states.
func OneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
