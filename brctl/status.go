package brctl

import (
	"context"
	"slices"

	"bramleyroute/broperator"
)

func (a *App) addStatus() {
	status := a.kingpin.Command("status", "Show the state of all daemons or of one.")
	id := status.Arg("daemon", "Daemon ID.").String()
	a.add(status, func(ctx context.Context, c client) error { return a.status(ctx, c, *id) })
	a.add(a.kingpin.Command("members", "Show the registered daemons as seen from the daemon that is queried."), a.members)
	pools := a.kingpin.Command("pools", "Show the pools with their owners, load and endpoints. Numbers by tier are written 1/2/3/4/5.")
	a.add(pools, a.pools)
	drain := a.kingpin.Command("drain", "Stop a daemon gracefully: it accepts no new work, releases its pools, finishes its requests and exits.")
	drainID := drain.Arg("daemon", "Daemon ID.").Required().String()
	a.add(drain, func(ctx context.Context, c client) error { return a.drain(ctx, c, *drainID) })
}

func (a *App) status(ctx context.Context, c client, id string) error {
	s, err := read[broperator.StatusQuery, broperator.Statuses](ctx, c, "GET", broperator.PathStatuses, broperator.StatusQuery{DaemonID: id})
	if err != nil {
		return err
	}
	a.warnMissing(s.Missing)
	err = a.print(s, func(g *tableWriter) {
		g.row("DAEMON", "ROLES", "DOMAIN", "READY", "DRAINING", "STANDING", "REVISION", "CONFIRMED_MS_AGO", "HELD", "RUNNING", "REPLICA", "POOLS")
		for _, d := range s.Daemons {
			g.row(d.DaemonID, joinList(d.Roles), d.FailureDomain, yesNo(d.Ready), yesNo(d.Draining), d.Confirmation, d.Revision, d.ConfirmationAgeMS,
				d.Held, d.Running, replicaText(d.Replica), joinList(d.OwnedPools))
		}
	})
	if err == nil && id != "" && len(s.Missing) > 0 {
		return exitCodeError{ExitUnavailable}
	}
	return err
}

func replicaText(r *broperator.Replica) string {
	switch {
	case r == nil:
		return ""
	case r.ID == r.Leader:
		return "leader"
	case slices.Contains(r.Learners, r.ID):
		return "learner"
	}
	return "follower"
}

func (a *App) members(ctx context.Context, c client) error {
	members, err := read[broperator.Empty, []broperator.Member](ctx, c, "GET", broperator.PathMembers, broperator.Empty{})
	if err != nil {
		return err
	}
	return a.print(members, func(g *tableWriter) {
		g.row("DAEMON", "STATE", "REVISION", "ROLES", "REGION", "DOMAIN", "PEERS", "CALLERS")
		for _, m := range members {
			d := m.Daemon
			g.row(d.ID, m.State, m.Revision, joinList(d.Roles), d.Region, d.FailureDomain, d.PeerAddress, d.CallerAddress)
		}
	})
}

func (a *App) pools(ctx context.Context, c client) error {
	pools, err := read[broperator.Empty, []broperator.Pool](ctx, c, "GET", broperator.PathPools, broperator.Empty{})
	if err != nil {
		return err
	}
	return a.print(pools, func(g *tableWriter) {
		g.row("POOL", "OWNER", "EPOCH", "REACHABLE", "QUEUED", "RUNNING", "OUTSTANDING", "COMPLETED", "GOODPUT", "SHED")
		for _, p := range pools {
			g.row(p.Name, p.Owner, p.Epoch, yesNo(p.Reachable), tiers(p.Queued), p.Running, p.Outstanding, tiers(p.Completed), tiers(p.Goodput), tiers(p.Shed))
		}
		g.blank()
		g.row("POOL", "ENDPOINT", "STATE", "VERSION", "ADDRESS", "OUTSTANDING", "CAPACITY")
		for _, p := range pools {
			for _, e := range p.Endpoints {
				g.row(p.Name, e.ID, e.State, e.Version, e.Address, e.OutstandingTokens, e.CapacityTokens)
			}
		}
	})
}

// drain has no command ID, because a second request has no effect.
func (a *App) drain(ctx context.Context, c client, id string) error {
	_, err := command[broperator.Drain, broperator.Empty](ctx, c, "POST", broperator.PathDrain, "", broperator.Drain{DaemonID: id})
	if err != nil {
		return err
	}
	return a.print(broperator.Drain{DaemonID: id}, func(g *tableWriter) { g.row("daemon", id, "drains and exits when its requests are finished") })
}
