package brdaemon

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brpool"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsEvery is how often counters are copied into the metrics.
const metricsEvery = time.Second

// metrics exports the daemon's counters.
type metrics struct {
	d        *Daemon
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
	last     map[string]int64 // last value of each exported counter
}

func newMetrics(d *Daemon) *metrics {
	// Each daemon has a registry of its own: a process may run several, and the
	// default registry refuses the second one's metrics.
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bramleyroute", Separator: prometheus.DefaultSeparator, CachedReporter: r,
	}, metricsEvery)
	return &metrics{d: d, scope: scope, reporter: r, closer: closer, last: map[string]int64{}}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *metrics) run() {
	for {
		select {
		case <-m.d.ctx.Done():
			return
		case <-m.d.clock.After(metricsEvery):
			m.update()
		}
	}
}

func (m *metrics) close() error { return m.closer.Close() }

// count exports a counter that its owner keeps as a total.
func (m *metrics) count(s tally.Scope, key, name string, total int64) {
	if delta := total - m.last[key+name]; delta > 0 {
		s.Counter(name).Inc(delta)
	}
	m.last[key+name] = total
}

func (m *metrics) update() {
	d := m.d
	standing, age := d.session.standing()
	m.scope.Gauge("standing").Update(float64(standing))
	m.scope.Gauge("confirmation_age_seconds").Update(age.Seconds())
	m.scope.Gauge("ready").Update(oneIf(d.ready() == nil))
	m.scope.Gauge("revision").Update(float64(d.session.present().Revision))
	m.count(m.scope, "", "refused_stamps", d.stamps.refused.Load())
	if e := d.entry; e != nil {
		c := &e.Counters
		s := m.scope.SubScope("entry")
		s.Gauge("held_requests").Update(float64(c.Held.Load()))
		s.Gauge("held_bytes").Update(float64(c.HeldBytes.Load()))
		for name, total := range map[string]int64{
			"received": c.Received.Load(), "refused": c.Refused.Load(), "shed": c.Shed.Load(), "dispatched": c.Dispatched.Load(),
			"completed": c.Completed.Load(), "failed": c.Failed.Load(), "callers_gone": c.CallersGone.Load(), "stuck": c.Stuck.Load(),
			"resumed": c.Resumed.Load(), "returned_grants": c.Returned.Load(), "stale_grants": c.StaleGrants.Load(),
			"tokens": c.Tokens.Load(), "ledger_errors": c.LedgerErrors.Load(),
		} {
			m.count(s, "entry ", name, total)
		}
	}
	if c := d.control; c != nil {
		st := c.replica.Status()
		s := m.scope.SubScope("control")
		s.Gauge("leader_known").Update(oneIf(st.Leader != ""))
		s.Gauge("term").Update(float64(st.Term))
		s.Gauge("committed_index").Update(float64(st.Commit))
		s.Gauge("applied_index").Update(float64(st.MachineApplied))
	}
	if d.scheduler != nil {
		for _, r := range d.scheduler.all() {
			m.updatePool(r)
		}
	}
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) updatePool(r *poolRunner) {
	st, ok := r.status()
	if !ok || !st.Owner {
		return
	}
	s := m.scope.SubScope("pool").Tagged(map[string]string{"pool": r.name})
	s.Gauge("outstanding_tokens").Update(float64(st.Outstanding))
	s.Gauge("running_requests").Update(float64(st.Running))
	s.Gauge("endpoints").Update(float64(len(st.Endpoints)))
	m.count(s, r.name, "prefilled_tokens", int64(st.Counters.Prefilled))
	for i := range st.QueuedByTier {
		tier := strconv.Itoa(i + 1)
		t := s.Tagged(map[string]string{"tier": tier})
		t.Gauge("queued_requests").Update(float64(st.QueuedByTier[i]))
		m.count(t, r.name+tier, "completed", int64(st.Counters.Completed[i]))
		m.count(t, r.name+tier, "goodput", int64(st.Counters.Goodput[i]))
		m.count(t, r.name+tier, "shed", int64(st.Counters.Shed[i]))
	}
	for cause, n := range st.Counters.Wasted {
		name := brpool.WasteCause(cause).String()
		m.count(s.Tagged(map[string]string{"cause": name}), r.name+name, "wasted_prefill_tokens", int64(n))
	}
}
