// Package brcontrol runs one replica of the control group. It drives a
// brlog.State with a clock, brwal storage and brpeer links, and applies committed
// entries to a state machine.
//
// A replica with an empty data directory queries all other replicas. If all of them
// are empty or newly bootstrapped, they form a new group. If any replica reports
// an established group, the replica generates a new ID and joins that group as
// a learner that replaces the member at the same address. The leader promotes
// it once it has caught up. Until all replicas have replied, the replica waits:
// an unreachable replica may belong to a group in which this replica has
// already voted, with the vote lost together with its disk.
//
// The state machine is called from a single goroutine. StateMachine.Snapshot
// blocks the replica and should therefore return within the election timeout.
package brcontrol
