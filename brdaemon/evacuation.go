package brdaemon

import (
	"context"

	"bramleyroute/broperator"
	"bramleyroute/brstate"
)

func (d *Daemon) opEvacuations(context.Context, broperator.Empty) ([]broperator.Evacuation, error) {
	list := []broperator.Evacuation{}
	for _, e := range d.session.currentView().Evacuations {
		list = append(list, broperator.Evacuation(e))
	}
	return list, nil
}

func (d *Daemon) opChangeEvacuation(ctx context.Context, c broperator.ChangeEvacuation) (broperator.Accepted, error) {
	return d.command(ctx, brstate.Command{ID: c.CommandID, ChangeEvacuation: &brstate.ChangeEvacuation{Domain: c.Domain, Withdraw: c.Withdraw}})
}
