package brdaemon

import (
	"bytes"
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brrollout"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

const (
	rolloutTick = 250 * time.Millisecond
	// saveInterval is the time between two saves of a running rollout's
	// evidence in the control state. Changes of the share and the outcome are
	// saved at once.
	saveInterval = 5 * time.Second
	// formerLeaderOrderTimeout is how long orders of a former leader may still
	// be in flight: its leader lease and the timeout of an order.
	formerLeaderOrderTimeout = time.Second + orderTimeout
	orderTimeout             = 2 * time.Second
	// endpointReportTimeout is how long a new leader waits for the schedulers'
	// reports on endpoints before it starts a rollout on the endpoints reported
	// so far.
	endpointReportTimeout = 5 * time.Second
	// fullReportRequestInterval is the time between two requests to owners for
	// a missing full report.
	fullReportRequestInterval = 500 * time.Millisecond
)

// rollouts runs brrollout for each rollout in the control state while this
// replica leads. One goroutine owns the runs.
type rollouts struct {
	leader                *leader
	startedAt             time.Time
	inbox                 *mailbox[func()]
	runs                  map[string]*rolloutRun
	endpointsByModel      map[string]map[string]brwire.Announce // endpoints by model and ID
	fullReportFrom        map[string]string                     // by pool, the owner whose full report has arrived
	lastFullReportRequest time.Time
	firstSeen             map[string]time.Time // by rollout, the time at which this leader first saw it
	budgetDivisor         int                  // number of rollouts that share the budget
}

type rolloutRun struct {
	state      brrollout.State
	savedState []byte
	savedAt    time.Time
	saveNow    bool // save before anything else is proposed
}

func newRollouts(l *leader) *rollouts {
	return &rollouts{
		leader: l, startedAt: l.control.daemon.clock.Now(), inbox: newMailbox[func()](),
		runs: map[string]*rolloutRun{}, endpointsByModel: map[string]map[string]brwire.Announce{},
		fullReportFrom: map[string]string{}, firstSeen: map[string]time.Time{},
	}
}

func (o *rollouts) run() {
	tick := o.leader.control.daemon.clock.After(rolloutTick)
	for {
		select {
		case <-o.leader.ctx.Done():
			return
		case <-o.inbox.ready():
			for _, f := range o.inbox.takeAll() {
				f()
			}
		case <-tick:
			o.advance()
			tick = o.leader.control.daemon.clock.After(rolloutTick)
		}
	}
}

// EndpointReport reports the endpoints of a pool whose model has a rollout to
// the control leader: all of them if Full is set, otherwise the changes.
type EndpointReport struct {
	Pool      string            `cbor:"pool"`
	Full      bool              `cbor:"full"`
	Endpoints []brwire.Announce `cbor:"endpoints"`
	Lost      []string          `cbor:"gone,omitempty"`
}

func (o *rollouts) endpoints(r EndpointReport) { o.inbox.put(func() { o.applyEndpoints(r) }) }

func (o *rollouts) applyEndpoints(r EndpointReport) {
	model := modelOf(r.Pool)
	endpoints := o.endpointsByModel[model]
	if endpoints == nil {
		endpoints = map[string]brwire.Announce{}
		o.endpointsByModel[model] = endpoints
	}
	lost := r.Lost
	if r.Full {
		if w, ok := o.leader.control.view().Owner(r.Pool); ok && o.fullReportFrom[r.Pool] != w.Holder {
			o.fullReportFrom[r.Pool] = w.Holder
			defer o.resendSuspensions(model, r.Pool)
		}
		for id, a := range endpoints {
			if a.Pool() == r.Pool && !slices.ContainsFunc(r.Endpoints, func(b brwire.Announce) bool { return b.EndpointID == id }) {
				lost = append(lost, id)
			}
		}
	}
	for _, id := range lost {
		delete(endpoints, id)
		o.stepModel(model, brrollout.EndpointLost{EndpointID: id})
	}
	for _, a := range r.Endpoints {
		endpoints[a.EndpointID] = a
		o.stepModel(model, brrollout.EndpointAnnounced{Target: targetOf(a)})
		o.stepModel(model, brrollout.VersionReady{EndpointID: a.EndpointID, Version: a.Version})
		for _, v := range a.FailedLoads {
			o.stepModel(model, brrollout.LoadFailed{EndpointID: a.EndpointID, Version: v})
		}
	}
}

func targetOf(a brwire.Announce) brrollout.Target {
	return brrollout.Target{
		ID: a.EndpointID, FailureDomain: a.FailureDomain, ChecksFencing: a.ChecksFencing,
		CapacityTokens: a.CapacityTokens, Version: a.Version,
	}
}

func (o *rollouts) samples(list []brwire.Samples) {
	o.inbox.put(func() {
		for _, s := range list {
			o.stepOne(s.RolloutID, brrollout.Samples{Samples: s})
		}
	})
}

func (o *rollouts) trip(t brwire.Trip) {
	o.inbox.put(func() {
		o.stepOne(t.RolloutID, brrollout.Tripped{Pool: t.Pool, Reason: "route " + t.Route + ": " + t.Reason})
	})
}

func (o *rollouts) stepModel(model string, ev brrollout.Event) {
	for id, r := range o.runs {
		if r.state.Model == model {
			o.stepOne(id, ev)
		}
	}
}

func (o *rollouts) stepOne(id string, ev brrollout.Event) {
	r, ok := o.runs[id]
	if !ok {
		return
	}
	var effects []brrollout.Effect
	r.state, effects = brrollout.Step(r.state, o.leader.control.daemon.clock.Now(), ev)
	for _, e := range effects {
		o.perform(r, e)
	}
}

func (o *rollouts) perform(r *rolloutRun, e brrollout.Effect) {
	d := o.leader.control.daemon
	switch e := e.(type) {
	case brrollout.SetShare, brrollout.Finish:
		r.saveNow = true // reconcile proposes both from the state
	case brrollout.PlaceOrder:
		target := o.endpointsByModel[r.state.Model][e.EndpointID]
		d.record(brtimeline.Event{Kind: brtimeline.OrderSent, RolloutID: r.state.RolloutID, EndpointID: e.EndpointID, Detail: string(e.Order.Kind) + " " + e.Order.Version})
		o.leader.control.wg.Go(func() { o.placeOrder(r.state.RolloutID, target, e) })
	case brrollout.ReadState:
		address := o.endpointsByModel[r.state.Model][e.EndpointID].Address
		o.leader.control.wg.Go(func() { o.readState(r.state.RolloutID, address) })
	case brrollout.Note:
		d.log.Info().Str("rollout_id", e.RolloutID).Msg(e.Text)
		d.record(brtimeline.Event{Kind: brtimeline.RolloutNote, RolloutID: e.RolloutID, Detail: e.Text})
	}
}

func (o *rollouts) placeOrder(rolloutID string, target brwire.Announce, e brrollout.PlaceOrder) {
	ctx, cancel := context.WithTimeout(o.leader.ctx, orderTimeout)
	defer cancel()
	result := brrollout.OrderAccepted
	err := o.sendSuspension(ctx, target, e.Order.Version, loadSuspension)
	if err == nil {
		err = o.checkLeadership()
	}
	if err == nil {
		err = postOrder(ctx, o.leader.control.daemon.paths.http, target.Address, e.Order)
	}
	if err != nil {
		result = brrollout.OrderUnreachable
		if brerror.Is(err, brerror.OrderRefused) {
			result = brrollout.OrderRefused
			_ = o.sendSuspension(ctx, target, e.Order.Version, 0) // if the call fails, the suspension ends after loadSuspension
		}
		o.leader.control.daemon.log.Warn().Err(err).Str("endpoint_id", e.EndpointID).Str("rollout_id", rolloutID).Msg("order failed")
	}
	event := brtimeline.Event{Kind: brtimeline.OrderResponded, RolloutID: rolloutID, EndpointID: e.EndpointID, Detail: string(e.Order.Kind) + " " + e.Order.Version}
	if err != nil {
		event.ErrorKind, event.Reason = brerror.From(err).Kind.String(), err.Error()
	}
	o.leader.control.daemon.record(event)
	o.inbox.put(func() {
		o.stepOne(rolloutID, brrollout.OrderResult{EndpointID: e.EndpointID, OrderID: e.Order.OrderID, Status: result})
	})
}

// checkLeadership returns an error unless this replica still leads its term. It
// is called right before an order is sent: a suspended process resumes with its
// earlier decisions before it notices that another replica leads.
func (o *rollouts) checkLeadership() error {
	if st := o.leader.control.replica.Status(); !st.LeaseValid || st.Term != o.leader.term {
		return brerror.New(brerror.NotLeader, "leadership of term %d ended; the order was not sent", o.leader.term)
	}
	return nil
}

func (o *rollouts) readState(rolloutID, address string) {
	ctx, cancel := context.WithTimeout(o.leader.ctx, orderTimeout)
	defer cancel()
	st, err := getState(ctx, o.leader.control.daemon.paths.http, address)
	if err != nil {
		return // the state machine requests the state again
	}
	o.inbox.put(func() { o.stepOne(rolloutID, brrollout.StateRead{State: st}) })
}

// advance starts, resumes and ends runs according to the rows of the control
// state, passes ticks to their state machines and reconciles the rows with the
// results.
func (o *rollouts) advance() {
	v := o.leader.control.view()
	o.requestFullReports(v)
	o.divideBudget(v)
	for _, row := range v.Rollouts {
		last, _ := latestRollout(v.Rollouts, func(x brstate.Rollout) bool { return x.Model == row.Model })
		if last.ID != row.ID {
			// A later rollout determines the versions of the endpoints.
			delete(o.runs, row.ID)
			continue
		}
		r := o.runs[row.ID]
		if r == nil {
			if r = o.startOrResume(row); r == nil {
				continue
			}
		}
		if !row.Active() && !r.state.Ended() {
			// An operator or a former leader ended it.
			o.stepOne(row.ID, brrollout.OperatorAbort{Reason: row.Reason})
		}
		o.stepOne(row.ID, brrollout.Tick{})
		o.reconcile(row, r)
	}
}

// startOrResume resumes a rollout from its saved progress or starts it. It
// returns nil if the progress can't be decoded, the rollout ended before it
// began, or reports on endpoints are still awaited.
func (o *rollouts) startOrResume(row brstate.Rollout) *rolloutRun {
	c := o.leader.control
	c.mu.Lock()
	saved := c.state.Progress(row.ID)
	c.mu.Unlock()
	now := c.daemon.clock.Now()
	if saved != nil {
		st, err := brwire.Decode[brrollout.State](saved)
		if err != nil {
			c.daemon.log.Error().Err(err).Str("rollout_id", row.ID).Msg("saved rollout progress can't be decoded")
			return nil
		}
		r := &rolloutRun{state: st, savedState: saved, savedAt: now}
		o.runs[row.ID] = r
		o.stepOne(row.ID, brrollout.Resumed{FencingToken: o.leader.term, FormerLeaseEnd: now.Add(formerLeaderOrderTimeout)})
		o.stepOne(row.ID, brrollout.BudgetChanged{Budget: o.budget().Divide(max(1, o.budgetDivisor))})
		return r
	}
	if !row.Active() {
		return nil // ended before it began
	}
	var targets []brrollout.Target
	for _, a := range o.endpointsByModel[row.Model] {
		targets = append(targets, targetOf(a))
	}
	if _, ok := o.firstSeen[row.ID]; !ok {
		o.firstSeen[row.ID] = now
	}
	if !o.allPoolsReported(row.Model) && now.Sub(o.firstSeen[row.ID]) < endpointReportTimeout {
		return nil
	}
	slices.SortFunc(targets, func(a, b brrollout.Target) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	r := &rolloutRun{saveNow: true}
	o.runs[row.ID] = r
	budget := o.budget()
	o.stepOne(row.ID, brrollout.Started{
		RolloutID: row.ID, Model: row.Model, OldVersion: row.From, NewVersion: row.To, FinishBy: row.FinishBy,
		FencingToken: o.leader.term, Budget: budget.Divide(max(1, o.budgetDivisor)), LoadBytes: o.weightBytes(row.Model), Endpoints: targets,
	})
	return r
}

func (o *rollouts) weightBytes(model string) int64 {
	for _, m := range o.leader.control.view().Configuration.Models {
		if m.Name == model {
			return m.WeightBytes
		}
	}
	return 0
}

// reconcile saves the progress and then proposes the differences between the
// row and the state machine's state. After a conflict the next tick uses the
// new row.
func (o *rollouts) reconcile(row brstate.Rollout, r *rolloutRun) {
	now := o.leader.control.daemon.clock.Now()
	if r.saveNow || now.Sub(r.savedAt) >= saveInterval {
		if !o.save(row.ID, r) {
			return
		}
		r.saveNow, r.savedAt = false, now
	}
	if !row.Active() {
		return
	}
	cmd := brstate.Command{ID: uuid.NewString()}
	switch {
	case r.state.Ended():
		cmd.FinishRollout = &brstate.FinishRollout{ID: row.ID, Expected: row.Revision, Outcome: brstate.Outcome(r.state.Phase), Reason: r.state.Reason}
	case r.state.Share != row.SharePerMille || r.state.Stage != row.Stage:
		cmd.UpdateRollout = &brstate.UpdateRollout{ID: row.ID, Expected: row.Revision, Stage: r.state.Stage, SharePerMille: r.state.Share}
	default:
		return
	}
	if _, err := o.propose(cmd); err != nil {
		o.leader.control.daemon.log.Warn().Err(err).Str("rollout_id", row.ID).Msg("rollout was not updated")
		return
	}
	o.leader.control.daemon.record(brtimeline.Event{Kind: brtimeline.RolloutShare, RolloutID: row.ID, PerMille: r.state.Share})
	if r.state.Ended() {
		o.leader.control.daemon.log.Info().Str("rollout_id", row.ID).Str("outcome", string(r.state.Phase)).Str("reason", r.state.Reason).Msg("rollout ended")
	}
}

func (o *rollouts) save(id string, r *rolloutRun) bool {
	data, err := brwire.Encode(r.state)
	if err != nil {
		panic("brdaemon: encode rollout state: " + err.Error())
	}
	if bytes.Equal(data, r.savedState) {
		return true
	}
	if _, err := o.propose(brstate.Command{ID: uuid.NewString(), SaveProgress: &brstate.SaveProgress{ID: id, Data: data}}); err != nil {
		o.leader.control.daemon.log.Warn().Err(err).Str("rollout_id", id).Msg("rollout progress was not saved")
		return false
	}
	r.savedState = data
	return true
}

// propose commits a command only while this replica leads the term in which the
// rollouts run.
func (o *rollouts) propose(cmd brstate.Command) (brwire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(o.leader.ctx, proposeAttemptTimeout)
	defer cancel()
	reply, err := o.leader.control.propose(ctx, cmd)
	if err == nil && reply.Error != nil {
		err = reply.Error
	}
	return reply, err
}
