package brdaemon

import (
	"strconv"

	"bramleyroute/brmetrics"
	"bramleyroute/brpool"
)

// metrics exports the daemon's counters.
type metrics struct {
	*brmetrics.Exporter
	daemon *Daemon
}

func newMetrics(d *Daemon) *metrics { return &metrics{brmetrics.New(), d} }

func (m *metrics) run() {
	for {
		select {
		case <-m.daemon.ctx.Done():
			return
		case <-m.daemon.clock.After(brmetrics.Interval):
			m.update()
		}
	}
}

func (m *metrics) update() {
	d := m.daemon
	standing, age := d.session.standing()
	m.Scope.Gauge("standing").Update(float64(standing))
	m.Scope.Gauge("confirmation_age_seconds").Update(age.Seconds())
	m.Scope.Gauge("ready").Update(brmetrics.BoolValue(d.ready() == nil))
	m.Scope.Gauge("revision").Update(float64(d.session.currentView().Revision))
	m.ExportTotal(m.Scope, "", "refused_stamps", d.stamps.refused.Load())
	buffers := d.buffers.Stats()
	m.Scope.Gauge("request_bytes_held").Update(float64(buffers.HeldBytes))
	for name, total := range map[string]uint64{
		"requests_without_memory": buffers.Refused, "requests_evicted": buffers.Evicted,
		"bodies_too_large": buffers.TooLarge, "bodies_timed_out": buffers.TimedOut,
	} {
		m.ExportTotal(m.Scope, "", name, int64(total))
	}
	if e := d.entry; e != nil {
		c := &e.Counters
		s := m.Scope.SubScope("entry")
		s.Gauge("held_requests").Update(float64(c.Held.Load()))
		s.Gauge("held_bytes").Update(float64(c.HeldBytes.Load()))
		for name, total := range map[string]int64{
			"received": c.Received.Load(), "refused": c.Refused.Load(), "shed": c.Shed.Load(), "dispatched": c.Dispatched.Load(),
			"completed": c.Completed.Load(), "failed": c.Failed.Load(), "callers_gone": c.CallerDisconnects.Load(), "stuck": c.Stuck.Load(),
			"resumed": c.Resumed.Load(), "returned_grants": c.ReturnedGrants.Load(), "stale_grants": c.StaleGrants.Load(),
			"tokens": c.Tokens.Load(), "ledger_errors": c.LedgerErrors.Load(),
		} {
			m.ExportTotal(s, "entry ", name, total)
		}
	}
	if c := d.control; c != nil {
		st := c.replica.Status()
		s := m.Scope.SubScope("control")
		s.Gauge("leader_known").Update(brmetrics.BoolValue(st.Leader != ""))
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

func (m *metrics) updatePool(r *poolRunner) {
	st, ok := r.status()
	if !ok || !st.Owner {
		return
	}
	s := m.Scope.SubScope("pool").Tagged(map[string]string{"pool": r.name})
	s.Gauge("outstanding_tokens").Update(float64(st.Outstanding))
	s.Gauge("running_requests").Update(float64(st.Running))
	s.Gauge("endpoints").Update(float64(len(st.Endpoints)))
	m.ExportTotal(s, r.name, "prefilled_tokens", int64(st.Counters.Prefilled))
	for i := range st.QueuedByTier {
		tier := strconv.Itoa(i + 1)
		t := s.Tagged(map[string]string{"tier": tier})
		t.Gauge("queued_requests").Update(float64(st.QueuedByTier[i]))
		m.ExportTotal(t, r.name+tier, "completed", int64(st.Counters.Completed[i]))
		m.ExportTotal(t, r.name+tier, "goodput", int64(st.Counters.Goodput[i]))
		m.ExportTotal(t, r.name+tier, "shed", int64(st.Counters.Shed[i]))
	}
	for cause, n := range st.Counters.Wasted {
		name := brpool.WasteCause(cause).String()
		m.ExportTotal(s.Tagged(map[string]string{"cause": name}), r.name+name, "wasted_prefill_tokens", int64(n))
	}
}
