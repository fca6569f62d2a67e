package brctl

import (
	"context"

	"bramleyroute/broperator"
)

// addEvacuation adds the commands for evacuations of failure domains.
func (a *App) addEvacuation() {
	evacuation := a.kingpin.Command("evacuation", "Keep new requests from the endpoints of a failure domain.")
	a.addEvacuationChange("order", "Send the endpoints of a failure domain no new requests. Those that run there go on. A domain without known endpoints is accepted.", "ordered", false)
	a.addEvacuationChange("withdraw", "Send the endpoints of a failure domain requests again.", "withdrawn", true)
	list := evacuation.Command("list", "Show the evacuations in force, as known to the daemon that is queried.")
	a.add(list, a.evacuations)
}

// addEvacuationChange adds the order or the withdrawal of an evacuation. done is the word
// that is printed with the domain.
func (a *App) addEvacuationChange(name, help, done string, withdraw bool) {
	change := a.kingpin.GetCommand("evacuation").Command(name, help)
	domain := change.Arg("domain", "Failure domain.").Required().String()
	id := commandID(change)
	a.add(change, func(ctx context.Context, c client) error {
		r := broperator.ChangeEvacuation{CommandID: a.printCommandID(*id), Domain: *domain, Withdraw: withdraw}
		acc, err := command[broperator.ChangeEvacuation, broperator.Accepted](ctx, c, "POST", broperator.PathEvacuations, r.CommandID, r)
		if err != nil {
			return err
		}
		return a.print(acc, func(g *tableWriter) { g.row(done, r.Domain) })
	})
}

func (a *App) evacuations(ctx context.Context, c client) error {
	list, err := read[broperator.Empty, []broperator.Evacuation](ctx, c, "GET", broperator.PathEvacuations, broperator.Empty{})
	if err != nil {
		return err
	}
	return a.print(list, func(g *tableWriter) {
		g.row("DOMAIN", "REVISION")
		for _, e := range list {
			g.row(e.Domain, e.Revision)
		}
	})
}
