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
	// saveEvery is how often the evidence of a running rollout is saved in the
	// control state; changes of the share and the outcome are saved at once.
	saveEvery = 5 * time.Second
	// formerOrders is how long a former leader's orders may still be under way:
	// its leader lease and the timeout of an order.
	formerOrders = time.Second + orderTimeout
	orderTimeout = 2 * time.Second
	// endpointWait is how long a new leader waits for the schedulers' reports
	// on endpoints before it starts a rollout on those that it knows.
	endpointWait = 5 * time.Second
	// askEvery is how often owners are asked for a full report that is missing.
	askEvery = 500 * time.Millisecond
)

// rollouts runs brrollout for each rollout in the control state while this
// replica leads. One goroutine owns the runs.
type rollouts struct {
	l      *leading
	began  time.Time
	inbox  *mailbox[func()]
	runs   map[string]*rolloutRun
	models map[string]map[string]brwire.Announce // endpoints by model and id
	full   map[string]string                     // by pool, the owner whose full report has come
	asked  time.Time                             // when owners were last asked for one
	since  map[string]time.Time                  // by rollout, when this leader first saw it
	shares int                                   // rollouts that the budget is divided by
}

type rolloutRun struct {
	state   brrollout.State
	saved   []byte
	savedAt time.Time
	urgent  bool // save before anything else is proposed
}

func newRollouts(l *leading) *rollouts {
	return &rollouts{
		l: l, began: l.c.d.clock.Now(), inbox: newMailbox[func()](),
		runs: map[string]*rolloutRun{}, models: map[string]map[string]brwire.Announce{},
		full: map[string]string{}, since: map[string]time.Time{},
	}
}

func (o *rollouts) run() {
	tick := o.l.c.d.clock.After(rolloutTick)
	for {
		select {
		case <-o.l.ctx.Done():
			return
		case <-o.inbox.ready():
			for _, f := range o.inbox.take() {
				f()
			}
		case <-tick:
			o.advance()
			tick = o.l.c.d.clock.After(rolloutTick)
		}
	}
}

// EndpointReport tells the control leader about the endpoints of a pool whose
// model has a rollout: the whole list when Full is set, otherwise what changed.
type EndpointReport struct {
	Pool      string            `cbor:"pool"`
	Full      bool              `cbor:"full"`
	Endpoints []brwire.Announce `cbor:"endpoints"`
	Gone      []string          `cbor:"gone,omitempty"`
}

func (o *rollouts) endpoints(r EndpointReport) { o.inbox.put(func() { o.applyEndpoints(r) }) }

func (o *rollouts) applyEndpoints(r EndpointReport) {
	model := modelOf(r.Pool)
	known := o.models[model]
	if known == nil {
		known = map[string]brwire.Announce{}
		o.models[model] = known
	}
	gone := r.Gone
	if r.Full {
		if w, ok := o.l.c.view().Owner(r.Pool); ok && o.full[r.Pool] != w.Holder {
			o.full[r.Pool] = w.Holder
			defer o.repeatLoads(model, r.Pool)
		}
		for id, a := range known {
			if a.Pool() == r.Pool && !slices.ContainsFunc(r.Endpoints, func(b brwire.Announce) bool { return b.EndpointID == id }) {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		delete(known, id)
		o.stepModel(model, brrollout.EndpointLost{EndpointID: id})
	}
	for _, a := range r.Endpoints {
		known[a.EndpointID] = a
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
	r.state, effects = brrollout.Step(r.state, o.l.c.d.clock.Now(), ev)
	for _, e := range effects {
		o.perform(r, e)
	}
}

func (o *rollouts) perform(r *rolloutRun, e brrollout.Effect) {
	d := o.l.c.d
	switch e := e.(type) {
	case brrollout.SetShare, brrollout.Finish:
		r.urgent = true // reconcile proposes both from the state
	case brrollout.PlaceOrder:
		target := o.models[r.state.Model][e.EndpointID]
		d.record(brtimeline.Event{Kind: brtimeline.OrderSent, RolloutID: r.state.RolloutID, EndpointID: e.EndpointID, Detail: string(e.Order.Kind) + " " + e.Order.Version})
		o.l.c.wg.Go(func() { o.placeOrder(r.state.RolloutID, target, e) })
	case brrollout.ReadState:
		address := o.models[r.state.Model][e.EndpointID].Address
		o.l.c.wg.Go(func() { o.readState(r.state.RolloutID, address) })
	case brrollout.Note:
		d.log.Info().Str("rollout_id", e.RolloutID).Msg(e.Text)
		d.record(brtimeline.Event{Kind: brtimeline.RolloutNote, RolloutID: e.RolloutID, Detail: e.Text})
	}
}

func (o *rollouts) placeOrder(rollout string, target brwire.Announce, e brrollout.PlaceOrder) {
	ctx, cancel := context.WithTimeout(o.l.ctx, orderTimeout)
	defer cancel()
	answer := brrollout.OrderAccepted
	err := o.tellOwner(ctx, target, e.Order.Version, loadHold)
	if err == nil {
		err = o.mayOrder()
	}
	if err == nil {
		err = postOrder(ctx, target.Address, e.Order)
	}
	if err != nil {
		answer = brrollout.OrderUnreachable
		if brerror.Is(err, brerror.OrderRefused) {
			answer = brrollout.OrderRefused
			_ = o.tellOwner(ctx, target, e.Order.Version, 0) // otherwise the wait ends by time
		}
		o.l.c.d.log.Warn().Err(err).Str("endpoint_id", e.EndpointID).Str("rollout_id", rollout).Msg("order failed")
	}
	answered := brtimeline.Event{Kind: brtimeline.OrderAnswered, RolloutID: rollout, EndpointID: e.EndpointID, Detail: string(e.Order.Kind) + " " + e.Order.Version}
	if err != nil {
		answered.ErrorKind, answered.Reason = brerror.From(err).Kind.String(), err.Error()
	}
	o.l.c.d.record(answered)
	o.inbox.put(func() {
		o.stepOne(rollout, brrollout.OrderResult{EndpointID: e.EndpointID, OrderID: e.Order.OrderID, Answer: answer})
	})
}

// mayOrder reports an error unless this replica still leads its term. It is
// asked right before an order is sent: a process that stood still goes on with
// what it had decided before it notices that another replica leads.
func (o *rollouts) mayOrder() error {
	if st := o.l.c.replica.Status(); !st.LeaseValid || st.Term != o.l.term {
		return brerror.New(brerror.NotLeader, "leadership of term %d ended; the order was not sent", o.l.term)
	}
	return nil
}

func (o *rollouts) readState(rollout, address string) {
	ctx, cancel := context.WithTimeout(o.l.ctx, orderTimeout)
	defer cancel()
	st, err := getState(ctx, address)
	if err != nil {
		return // the reducer asks again
	}
	o.inbox.put(func() { o.stepOne(rollout, brrollout.StateRead{State: st}) })
}

// advance follows the rows of the control state, lets time pass and brings the
// rows to what the reducers decided.
func (o *rollouts) advance() {
	v := o.l.c.view()
	o.askOwners(v)
	o.divideBudget(v)
	for _, row := range v.Rollouts {
		last, _ := latestRollout(v.Rollouts, func(x brstate.Rollout) bool { return x.Model == row.Model })
		if last.ID != row.ID {
			// A later rollout decides what the endpoints serve.
			delete(o.runs, row.ID)
			continue
		}
		r := o.runs[row.ID]
		if r == nil {
			if r = o.begin(row); r == nil {
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

// begin resumes a rollout from its saved progress or starts it.
func (o *rollouts) begin(row brstate.Rollout) *rolloutRun {
	c := o.l.c
	c.mu.Lock()
	saved := c.state.Progress(row.ID)
	c.mu.Unlock()
	now := c.d.clock.Now()
	if saved != nil {
		st, err := brwire.Decode[brrollout.State](saved)
		if err != nil {
			c.d.log.Error().Err(err).Str("rollout_id", row.ID).Msg("saved progress can't be read")
			return nil
		}
		r := &rolloutRun{state: st, saved: saved, savedAt: now}
		o.runs[row.ID] = r
		o.stepOne(row.ID, brrollout.Resumed{FencingToken: o.l.term, FormerLeaseEnd: now.Add(formerOrders)})
		o.stepOne(row.ID, brrollout.BudgetChanged{Budget: o.budget().Divide(max(1, o.shares))})
		return r
	}
	if !row.Active() {
		return nil // ended before anything was done
	}
	var targets []brrollout.Target
	for _, a := range o.models[row.Model] {
		targets = append(targets, targetOf(a))
	}
	if _, ok := o.since[row.ID]; !ok {
		o.since[row.ID] = now
	}
	if !o.reported(row.Model) && now.Sub(o.since[row.ID]) < endpointWait {
		return nil
	}
	slices.SortFunc(targets, func(a, b brrollout.Target) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	r := &rolloutRun{urgent: true}
	o.runs[row.ID] = r
	budget := o.budget()
	o.stepOne(row.ID, brrollout.Started{
		RolloutID: row.ID, Model: row.Model, OldVersion: row.From, NewVersion: row.To, FinishBy: row.FinishBy,
		FencingToken: o.l.term, Budget: budget.Divide(max(1, o.shares)), LoadBytes: o.weights(row.Model), Endpoints: targets,
	})
	return r
}

func (o *rollouts) weights(model string) int64 {
	for _, m := range o.l.c.view().Configuration.Models {
		if m.Name == model {
			return m.WeightBytes
		}
	}
	return 0
}

// reconcile saves the progress and then proposes what differs between the row
// and the reducer's state. A conflict shows up as a new row at the next tick.
func (o *rollouts) reconcile(row brstate.Rollout, r *rolloutRun) {
	now := o.l.c.d.clock.Now()
	if r.urgent || now.Sub(r.savedAt) >= saveEvery {
		if !o.save(row.ID, r) {
			return
		}
		r.urgent, r.savedAt = false, now
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
		o.l.c.d.log.Warn().Err(err).Str("rollout_id", row.ID).Msg("rollout was not updated")
		return
	}
	o.l.c.d.record(brtimeline.Event{Kind: brtimeline.RolloutShare, RolloutID: row.ID, PerMille: r.state.Share})
	if r.state.Ended() {
		o.l.c.d.log.Info().Str("rollout_id", row.ID).Str("outcome", string(r.state.Phase)).Str("reason", r.state.Reason).Msg("rollout ended")
	}
}

func (o *rollouts) save(id string, r *rolloutRun) bool {
	data, err := brwire.Encode(r.state)
	if err != nil {
		panic("brdaemon: rollout state can't be encoded: " + err.Error())
	}
	if bytes.Equal(data, r.saved) {
		return true
	}
	if _, err := o.propose(brstate.Command{ID: uuid.NewString(), SaveProgress: &brstate.SaveProgress{ID: id, Data: data}}); err != nil {
		o.l.c.d.log.Warn().Err(err).Str("rollout_id", id).Msg("progress was not saved")
		return false
	}
	r.saved = data
	return true
}

// propose commits a command only while this replica leads the term in which the
// rollouts run.
func (o *rollouts) propose(cmd brstate.Command) (brwire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(o.l.ctx, proposeTry)
	defer cancel()
	reply, err := o.l.c.propose(ctx, cmd)
	if err == nil && reply.Error != nil {
		err = reply.Error
	}
	return reply, err
}
