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

// Interval is the interval at which counters are passed to the reporter.
const Interval = time.Second

// Exporter exports the metrics of one daemon and of its process. It is safe for
// concurrent use.
type Exporter struct {
	Scope tally.Scope // scope for the daemon's metrics

	reporter prometheus.Reporter
	closer   io.Closer

	mu         sync.Mutex
	lastTotals map[string]int64 // last exported total by key and name of the counter
}

// New returns an Exporter that exports only the metrics of the process. Each Exporter
// has its own registry, because a process may run several daemons and the default
// registry rejects the metrics of the second one as duplicates.
func New() *Exporter {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bramleyroute", Separator: prometheus.DefaultSeparator, CachedReporter: r,
	}, Interval)
	return &Exporter{Scope: scope, reporter: r, closer: closer, lastTotals: map[string]int64{}}
}

// Handler returns the HTTP handler that serves the metrics.
func (e *Exporter) Handler() http.Handler { return e.reporter.HTTPHandler() }

// Close reports the counters a last time and stops the export.
func (e *Exporter) Close() error { return e.closer.Close() }

// ExportTotal exports the running total of a counter of the scope s. The key
// distinguishes counters with the same name in different scopes. A total below the
// previous one becomes the new base, and the counter is not increased.
func (e *Exporter) ExportTotal(s tally.Scope, key, name string, total int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if delta := total - e.lastTotals[key+name]; delta > 0 {
		s.Counter(name).Inc(delta)
	}
	e.lastTotals[key+name] = total
}

// BoolValue returns 1 if b is true and 0 otherwise, as the value of a gauge.
func BoolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
