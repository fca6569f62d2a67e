package brdaemon

import (
	"context"
	"net/http"
	"net/http/pprof"
	"slices"
	"sync"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brlog"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brpool"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

const (
	namePoolStatus = "pool_status"
	// daemonCallTimeout limits a call to one daemon on behalf of an operator.
	daemonCallTimeout = 2 * time.Second
)

// operatorHandler returns the handler of the operators' interface. All paths
// except health, readiness and metrics require an operator key.
func (d *Daemon) operatorHandler() http.Handler {
	m := http.NewServeMux()
	keys := brpeer.Keys(d.settings.OperatorKeys)
	broperator.Handle(m, keys, "GET "+broperator.PathStatus, d.opStatus)
	broperator.Handle(m, keys, "GET "+broperator.PathStatuses, d.opStatuses)
	broperator.Handle(m, keys, "GET "+broperator.PathConfig, d.opConfig)
	broperator.Handle(m, keys, "PUT "+broperator.PathConfig, d.opPutConfig)
	broperator.Handle(m, keys, "POST "+broperator.PathConfigCheck, d.opCheckConfig)
	broperator.Handle(m, keys, "GET "+broperator.PathHistory, d.opHistory)
	broperator.Handle(m, keys, "GET "+broperator.PathRollouts, d.opRollouts)
	broperator.Handle(m, keys, "POST "+broperator.PathRollouts, d.opStartRollout)
	broperator.Handle(m, keys, "POST "+broperator.PathRolloutAbort, d.opAbortRollout)
	broperator.Handle(m, keys, "GET "+broperator.PathMembers, d.opMembers)
	broperator.Handle(m, keys, "POST "+broperator.PathMemberRemove, d.opRemoveMember)
	broperator.Handle(m, keys, "GET "+broperator.PathPools, d.opPools)
	broperator.Handle(m, keys, "GET "+broperator.PathEvacuations, d.opEvacuations)
	broperator.Handle(m, keys, "POST "+broperator.PathEvacuations, d.opChangeEvacuation)
	broperator.Handle(m, keys, "POST "+broperator.PathTimeline, d.opTimeline)
	broperator.Handle(m, keys, "POST "+broperator.PathReplicas, d.opReplicas)
	broperator.Handle(m, keys, "POST "+broperator.PathDrain, d.opDrain)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	m.Handle("GET /metrics", d.metrics.Handler())
	m.HandleFunc("/debug/pprof/", requireKey(keys, pprof.Index))
	m.HandleFunc("/debug/pprof/profile", requireKey(keys, pprof.Profile))
	m.HandleFunc("/debug/pprof/trace", requireKey(keys, pprof.Trace))
	return m
}

func requireKey(keys brpeer.Keys, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !keys.Accepts(r) {
			http.Error(w, "operator key missing or unknown", http.StatusUnauthorized)
			return
		}
		h(w, r)
	}
}

func (d *Daemon) opStatus(context.Context, broperator.Empty) (broperator.Status, error) {
	standing, age := d.session.standing()
	v := d.session.currentView()
	s := broperator.Status{
		DaemonID: d.self.ID, Roles: d.self.Roles, FailureDomain: d.self.FailureDomain, Region: d.self.Region,
		Ready: d.ready() == nil, Draining: d.draining.Load(), Confirmation: standing.String(),
		Revision: v.Revision, ConfirmationAgeMS: age.Milliseconds(), OwnedPools: []string{},
	}
	if d.entry != nil {
		s.Held = int(d.entry.Counters.Held.Load())
		s.Running = int(d.entry.Counters.Dispatched.Load() - d.entry.Counters.Completed.Load() - d.entry.Counters.Failed.Load())
	}
	if d.scheduler != nil {
		for _, r := range d.scheduler.all() {
			if r.heldEpoch() != 0 {
				s.OwnedPools = append(s.OwnedPools, r.name)
			}
		}
		slices.Sort(s.OwnedPools)
	}
	if d.control != nil {
		s.Replica = replicaStatus(d.control)
	}
	return s, nil
}

func replicaStatus(c *control) *broperator.Replica {
	st := c.replica.Status()
	r := &broperator.Replica{ID: string(st.ID), Leader: string(st.Leader), Term: st.Term, Committed: st.Commit, Applied: st.MachineApplied}
	for _, m := range st.Membership.Members {
		if m.Learner {
			r.Learners = append(r.Learners, string(m.ID))
		} else {
			r.Voters = append(r.Voters, string(m.ID))
		}
	}
	return r
}

func (d *Daemon) opConfig(context.Context, broperator.Empty) (broperator.Config, error) {
	v := d.session.currentView()
	return broperator.Config{Revision: v.ConfigurationRevision, Document: v.Configuration}, nil
}

func (d *Daemon) opCheckConfig(_ context.Context, doc brconfig.Document) (broperator.Problems, error) {
	out := broperator.Problems{Problems: []broperator.Problem{}, Diff: []string{}}
	for _, p := range brconfig.Check(doc) {
		out.Problems = append(out.Problems, broperator.Problem{Field: p.Path, Message: p.Message})
	}
	old := d.session.currentView().Configuration
	out.Diff = append(out.Diff, brconfig.Diff(old, doc).Lines(old)...)
	return out, nil
}

func (d *Daemon) opPutConfig(ctx context.Context, p broperator.PutConfig) (broperator.Accepted, error) {
	return d.command(ctx, brstate.Command{ID: p.CommandID, PutConfiguration: &brstate.PutConfiguration{Expected: p.ExpectedRevision, Document: &p.Document}})
}

// command commits an operator's command and records it in the timeline.
func (d *Daemon) command(ctx context.Context, cmd brstate.Command) (broperator.Accepted, error) {
	if cmd.ID == "" {
		cmd.ID = uuid.NewString()
	}
	kind, err := cmd.Kind()
	if err != nil {
		return broperator.Accepted{}, err
	}
	d.record(brtimeline.Event{Kind: brtimeline.CommandProposed, CommandID: cmd.ID, Detail: kind})
	reply, err := d.session.propose(ctx, cmd)
	if err != nil {
		e := brerror.From(err)
		d.record(brtimeline.Event{Kind: brtimeline.CommandRefused, CommandID: cmd.ID, Detail: kind, ErrorKind: e.Kind.String(), Reason: e.Message})
		return broperator.Accepted{}, err
	}
	d.record(brtimeline.Event{Kind: brtimeline.CommandCommitted, CommandID: cmd.ID, Detail: kind, Revision: reply.Revision})
	return broperator.Accepted{CommandID: cmd.ID, Revision: reply.Revision}, nil
}

func (d *Daemon) opHistory(ctx context.Context, _ broperator.Empty) ([]broperator.HistoryEntry, error) {
	c := d.links.conn(d.session.replica())
	if c == nil {
		return nil, brerror.New(brerror.NoQuorum, "no connection to a control replica")
	}
	return brpeer.Call[brwire.EmptyReply, []broperator.HistoryEntry](ctx, c, nameHistory, brwire.EmptyReply{})
}

func (d *Daemon) opRollouts(context.Context, broperator.Empty) ([]broperator.Rollout, error) {
	list := []broperator.Rollout{}
	for _, o := range d.session.currentView().Rollouts {
		list = append(list, broperator.Rollout{
			ID: o.ID, Model: o.Model, From: o.From, To: o.To, FinishBy: o.FinishBy, SharePerMille: o.SharePerMille,
			Outcome: string(o.Outcome), Reason: o.Reason, EndedAt: o.EndedAt, Revision: o.Revision,
		})
	}
	return list, nil
}

func (d *Daemon) opStartRollout(ctx context.Context, s broperator.StartRollout) (broperator.Accepted, error) {
	if s.CommandID == "" {
		s.CommandID = uuid.NewString()
	}
	id := "rollout-" + s.CommandID
	acc, err := d.command(ctx, brstate.Command{ID: s.CommandID, StartRollout: &brstate.StartRollout{
		ID: id, Model: s.Model, From: s.From, To: s.To, FinishBy: s.FinishBy,
	}})
	if err == nil {
		d.record(brtimeline.Event{Kind: brtimeline.RolloutStarted, RolloutID: id, CommandID: s.CommandID, Detail: s.Model + " " + s.From + " to " + s.To})
	}
	return acc, err
}

// opAbortRollout rolls a rollout back. The command expects the current
// revision; if the leader changes the share at the same time, the abort is
// retried.
func (d *Daemon) opAbortRollout(ctx context.Context, a broperator.AbortRollout) (broperator.Accepted, error) {
	id := a.CommandID
	for attempt := 0; ; attempt++ {
		row, ok := d.session.currentView().Rollout(a.RolloutID)
		if !ok {
			return broperator.Accepted{}, brerror.New(brerror.InvalidRequest, "no rollout has the ID %.64q", a.RolloutID).WithField("rollout_id")
		}
		acc, err := d.command(ctx, brstate.Command{ID: id, FinishRollout: &brstate.FinishRollout{
			ID: row.ID, Expected: row.Revision, Outcome: brstate.RolledBack, Reason: "operator: aborted",
		}})
		current, _ := d.session.currentView().Rollout(a.RolloutID)
		if !brerror.Is(err, brerror.RevisionConflict) || !row.Active() || attempt == maxAbortRetries || current.Revision == row.Revision {
			return acc, err
		}
		id = uuid.NewString() // a resend under the former ID would get the same rejection
	}
}

const maxAbortRetries = 5

func (d *Daemon) opMembers(ctx context.Context, _ broperator.Empty) ([]broperator.Member, error) {
	rows := d.session.currentView().Daemons
	list := make([]broperator.Member, len(rows))
	var wg sync.WaitGroup
	for i, row := range rows {
		list[i] = broperator.Member{Daemon: row, State: "unreachable"}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
			defer cancel()
			r, err := callDaemon[brwire.ConfirmedQuery, brwire.ConfirmedReply](ctx, d, row.ID, brwire.NameConfirmed, brwire.ConfirmedQuery{DaemonID: d.self.ID})
			if err != nil {
				return
			}
			list[i].State, list[i].Revision = "unconfirmed", r.Revision
			if r.Confirmed {
				list[i].State = "confirmed"
			}
		})
	}
	wg.Wait()
	return list, nil
}

func (d *Daemon) opRemoveMember(ctx context.Context, r broperator.RemoveMember) (broperator.Accepted, error) {
	if _, ok := d.session.currentView().Daemon(r.DaemonID); !ok {
		return broperator.Accepted{}, brerror.New(brerror.InvalidRequest, "no registered daemon has the ID %.64q", r.DaemonID).WithField("daemon_id")
	}
	return d.command(ctx, brstate.Command{ID: r.CommandID, DeregisterDaemon: &brstate.DeregisterDaemon{DaemonID: r.DaemonID, OperatorConfirmed: true}})
}

// callDaemon calls a registered daemon, waiting for its link to connect.
func callDaemon[Req, Resp any](ctx context.Context, d *Daemon, id, name string, req Req) (Resp, error) {
	var zero Resp
	row, ok := d.session.currentView().Daemon(id)
	if !ok {
		return zero, brerror.New(brerror.InvalidRequest, "no registered daemon has the ID %.64q", id)
	}
	l := d.links.get(row.PeerAddress)
	if l == nil {
		return zero, brerror.New(brerror.ShuttingDown, "daemon is stopping")
	}
	c, err := l.Wait(ctx)
	if err != nil {
		return zero, err
	}
	return brpeer.Call[Req, Resp](ctx, c, name, req)
}

func (d *Daemon) opPools(ctx context.Context, _ broperator.Empty) ([]broperator.Pool, error) {
	owners := d.session.currentView().Owners
	list := make([]broperator.Pool, len(owners))
	var wg sync.WaitGroup
	for i, o := range owners {
		list[i] = broperator.Pool{Name: o.Pool, Owner: o.Holder, Epoch: o.Epoch, Endpoints: []broperator.Endpoint{}}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
			defer cancel()
			p, err := callDaemon[brwire.Locate, broperator.Pool](ctx, d, o.Holder, namePoolStatus, brwire.Locate{Pool: o.Pool})
			if err == nil {
				p.Name, p.Owner, p.Epoch = o.Pool, o.Holder, o.Epoch
				list[i] = p
			}
		})
	}
	wg.Wait()
	return list, nil
}

func (d *Daemon) poolStatus(_ context.Context, _ *brpeer.Conn, l brwire.Locate) (broperator.Pool, error) {
	p := broperator.Pool{Endpoints: []broperator.Endpoint{}, Refused: map[string]int{}, WastedPrefill: map[string]int{}}
	if d.scheduler == nil || d.scheduler.find(l.Pool) == nil {
		return p, brerror.New(brerror.NotOwner, "pool %s is not owned by this daemon", l.Pool)
	}
	s, ok := d.scheduler.find(l.Pool).status()
	if !ok {
		return p, brerror.New(brerror.ShuttingDown, "daemon is stopping")
	}
	p.Reachable, p.Queued, p.QueuedTokens, p.Running, p.Outstanding = true, s.QueuedByTier, s.QueuedTokens, s.Running, s.Outstanding
	p.Completed, p.Goodput, p.Shed, p.Prefilled = s.Counters.Completed, s.Counters.Goodput, s.Counters.Shed, s.Counters.Prefilled
	for k, n := range s.Counters.Refused {
		p.Refused[k.String()] = n
	}
	for cause, n := range s.Counters.Wasted {
		p.WastedPrefill[brpool.WasteCause(cause).String()] = n
	}
	for _, e := range s.Endpoints {
		state := "in_use"
		switch {
		case e.Leaving:
			state = "leaving"
		case e.Evacuated:
			state = "evacuated"
		case e.Silent:
			state = "silent"
		case e.Loading != "":
			state = "loading"
		case e.HalfOpen:
			state = "half_open"
		}
		p.Endpoints = append(p.Endpoints, broperator.Endpoint{
			ID: e.EndpointID, Address: e.Address, Version: e.Version, State: state,
			OutstandingTokens: e.Outstanding, CapacityTokens: e.CapacityTokens,
		})
	}
	return p, nil
}

func (d *Daemon) opReplicas(ctx context.Context, c broperator.ReplicaChange) (broperator.Empty, error) {
	switch {
	case d.control == nil:
		return broperator.Empty{}, brerror.New(brerror.NotLeader, "daemon %s has no control replica; send the request to a daemon that has one", d.self.ID)
	case (c.Add == "") == (c.Remove == ""):
		return broperator.Empty{}, brerror.New(brerror.InvalidRequest, "exactly one of add and remove must be set").WithField("add")
	case c.Remove != "":
		return broperator.Empty{}, d.control.replica.RemoveReplica(ctx, brlog.ID(c.Remove))
	}
	return broperator.Empty{}, d.control.replica.AddReplica(ctx, brlog.Member{ID: brlog.ID(c.Add), Address: c.Address})
}
