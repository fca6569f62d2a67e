package brfleet

import (
	"net/http"
	"time"

	"bramleyroute/brmetrics"

	"github.com/uber-go/tally/v4"
)

// firstByteBuckets are the bounds of the histogram of the time from the arrival of
// a request to the first byte of its response.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// metrics exports the daemon's counters and gauges.
type metrics struct {
	*brmetrics.Exporter
	firstByte tally.Histogram
}

func newMetrics() *metrics {
	e := brmetrics.New()
	return &metrics{Exporter: e, firstByte: e.Scope.Histogram("first_byte_seconds", firstByteBuckets)}
}

// MetricsHandler returns the handler that exports the daemon's metrics as text.
func (f *Fleet) MetricsHandler() http.Handler {
	h := f.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.updateMetrics()
		h.ServeHTTP(w, r)
	})
}

// updateRates exports how the calls to each service are placed.
func (f *Fleet) updateRates() {
	for service, status := range f.proxy.RateStatuses() {
		s := f.metrics.Scope.Tagged(map[string]string{"service": service})
		s.Gauge("placed_by_rates").Update(brmetrics.BoolValue(status.ByRates))
		s.Gauge("calls_admitted_part").Update(status.Admitted)
		f.metrics.ExportTotal(s, service, "calls_over_capacity", int64(status.Rejected))
	}
}

// updateMetrics copies the current totals from the components that count them.
func (f *Fleet) updateMetrics() {
	m := f.metrics
	s := f.proxy.Stats()
	pool := f.pool.Stats()
	bytesIn, bytesOut := f.node.Bytes()
	buffers, callers, peers := f.cfg.Buffers.Stats(), f.proxy.Connections(), f.server.Stats()
	for name, total := range map[string]uint64{
		"requests": s.Requests.Load(), "answered": s.Answered.Load(), "refused": s.Rejected.Load(),
		"failed": s.Failed.Load(), "callers_gone": s.Disconnected.Load(), "dispatches": s.Dispatches.Load(),
		"retries": s.Retries.Load(), "resumed": s.Resumed.Load(), "over_quota": s.OverQuota.Load(),
		"denied": s.Denied.Load(), "refused_evacuated": s.Evacuated.Load(), "refused_cold": s.RefusedCold.Load(),
		"refused_too_large": s.TooLarge.Load(), "callers_stalled": s.Stalled.Load(), "requests_held_back": s.Quarantined.Load(),
		"connections_dialed": pool.Dialed, "connections_reused": pool.Reused, "responses_evicted": pool.Evicted,
		"requests_without_memory": buffers.Refused, "requests_evicted": buffers.Evicted,
		"bodies_too_large": buffers.TooLarge, "bodies_timed_out": buffers.TimedOut,
		"caller_connections_evicted": callers.Pressed, "caller_connections_refused": callers.Refused,
		"peer_connections_evicted": peers.Pressed, "peer_connections_refused": peers.Refused,
		"link_bytes_received": bytesIn, "link_bytes_sent": bytesOut,
	} {
		m.ExportTotal(m.Scope, "", name, int64(total))
	}
	m.Scope.Gauge("request_bytes_held").Update(float64(buffers.HeldBytes))
	m.Scope.Gauge("caller_connections").Update(float64(callers.Open))
	m.Scope.Gauge("requests_waiting").Update(float64(f.proxy.Waiting()))
	f.updateRates()
	m.Scope.Gauge("endpoints_limited").Update(float64(f.proxy.Limited()))
	m.Scope.Gauge("endpoint_memory_in_use").Update(f.proxy.MemoryInUse())
	m.Scope.Gauge("quarantined").Update(float64(len(f.proxy.Quarantine())))
	m.Scope.Gauge("evacuated_domains").Update(float64(len(f.evacuations.names())))
	m.Scope.Gauge("endpoints").Update(float64(f.endpoints.count()))
	m.Scope.Gauge("endpoints_cold").Update(float64(f.proxy.ColdEndpoints()))
	m.Scope.Gauge("daemons_linked").Update(float64(len(f.node.LinkedAddresses())))
	if t := f.proxy.Table(); t != nil {
		m.Scope.Gauge("policy_version").Update(float64(t.Policy().Version))
	}
	st, running := f.core.Status()
	if f.cfg.Dir != "" {
		m.Scope.Gauge("replica_running").Update(brmetrics.BoolValue(running))
	}
	if running {
		m.Scope.Gauge("replica_term").Update(float64(st.Term))
		m.Scope.Gauge("replica_committed_index").Update(float64(st.Commit))
		m.Scope.Gauge("replica_voters").Update(float64(st.Membership.Voters()))
		m.Scope.Gauge("replica_leads").Update(brmetrics.BoolValue(st.LeaseValid))
	}
}
