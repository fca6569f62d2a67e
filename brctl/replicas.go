package brctl

import (
	"context"

	"bramleyroute/broperator"
)

// addReplicas adds the changes of the control group. They have no command id:
// a replica that is added or removed already is not changed by a repetition, and
// status shows the present members.
func (a *App) addReplicas() {
	replicas := a.kingpin.Command("replicas", "Change the members of the control group. Ask a daemon with the role control.")
	add := replicas.Command("add", "Add a replica; it becomes a voter when it has caught up.")
	addID := add.Arg("replica", "Replica id.").Required().String()
	address := add.Flag("peer-address", "Peer address of its daemon as ip:port.").Required().String()
	a.add(add, func(ctx context.Context, c client) error {
		return a.changeReplicas(ctx, c, broperator.ReplicaChange{Add: *addID, Address: *address})
	})
	remove := replicas.Command("remove", "Remove a replica for good.")
	removeID := remove.Arg("replica", "Replica id, as in the voters and learners of status --output=json.").Required().String()
	a.add(remove, func(ctx context.Context, c client) error {
		return a.changeReplicas(ctx, c, broperator.ReplicaChange{Remove: *removeID})
	})
}

func (a *App) changeReplicas(ctx context.Context, c client, change broperator.ReplicaChange) error {
	_, err := command[broperator.ReplicaChange, broperator.Empty](ctx, c, "POST", broperator.PathReplicas, "", change)
	if err != nil {
		return err
	}
	return a.print(change, func(g *grid) {
		if change.Add != "" {
			g.row("added", change.Add)
		} else {
			g.row("removed", change.Remove)
		}
	})
}
