package brctl

import (
	"context"

	"bramleyroute/broperator"
)

// addForget adds the removal of a daemon from the register. Otherwise the
// control group removes a daemon only after 10 minutes and with a majority of
// the registered daemons.
func (a *App) addForget() {
	forget := a.kingpin.Command("forget", "Remove a daemon from the register. Make sure that it has stopped permanently: if it still runs, a request may run twice.")
	daemon := forget.Arg("daemon", "Daemon ID.").Required().String()
	id := commandID(forget)
	a.add(forget, func(ctx context.Context, c client) error {
		r := broperator.RemoveMember{DaemonID: *daemon, CommandID: a.printCommandID(*id)}
		acc, err := command[broperator.RemoveMember, broperator.Accepted](ctx, c, "POST", broperator.PathMemberRemove, r.CommandID, r)
		if err != nil {
			return err
		}
		return a.print(acc, func(g *tableWriter) { g.row("forgotten", r.DaemonID) })
	})
}
