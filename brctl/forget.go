package brctl

import (
	"context"

	"bramleyroute/broperator"
)

// addForget adds the removal of a daemon from the register, for which the control
// group otherwise waits 10 minutes and for a majority of the registered daemons.
func (a *App) addForget() {
	forget := a.kingpin.Command("forget", "Take a daemon off the register. You vouch that it is stopped for good: if it still runs, a request may run twice.")
	daemon := forget.Arg("daemon", "Daemon id.").Required().String()
	id := commandID(forget)
	a.add(forget, func(ctx context.Context, c client) error {
		r := broperator.RemoveMember{DaemonID: *daemon, CommandID: a.announce(*id)}
		acc, err := command[broperator.RemoveMember, broperator.Accepted](ctx, c, "POST", broperator.PathMemberRemove, r.CommandID, r)
		if err != nil {
			return err
		}
		return a.print(acc, func(g *grid) { g.row("forgotten", r.DaemonID) })
	})
}
