package brctl

import (
	"context"

	"bramleyroute/broperator"
)

// addReplicas adds the commands that change the members of the control group.
// They have no command ID: a repetition doesn't change a replica that is
// already added or removed, and status shows the current members.
func (a *App) addReplicas() {
	replicas := a.kingpin.Command("replicas", "Change the members of the control group. The address must be that of a daemon with the role control.")
	add := replicas.Command("add", "Add a replica; it becomes a voter when it has caught up.")
	addID := add.Arg("replica", "Replica ID.").Required().String()
	address := add.Flag("peer-address", "Peer address of its daemon as ip:port.").Required().String()
	a.add(add, func(ctx context.Context, c client) error {
		return a.changeReplicas(ctx, c, broperator.ReplicaChange{Add: *addID, Address: *address})
	})
	remove := replicas.Command("remove", "Remove a replica permanently.")
	removeID := remove.Arg("replica", "Replica ID, as in the voters and learners of status --output=json.").Required().String()
	a.add(remove, func(ctx context.Context, c client) error {
		return a.changeReplicas(ctx, c, broperator.ReplicaChange{Remove: *removeID})
	})
}

func (a *App) changeReplicas(ctx context.Context, c client, change broperator.ReplicaChange) error {
	_, err := command[broperator.ReplicaChange, broperator.Empty](ctx, c, "POST", broperator.PathReplicas, "", change)
	if err != nil {
		return err
	}
	return a.print(change, func(g *tableWriter) {
		if change.Add != "" {
			g.row("added", change.Add)
		} else {
			g.row("removed", change.Remove)
		}
	})
}
