// Package brcontrol runs one replica of the control group: it drives the
// reducer of brlog with the clock, the files of brwal and links of brpeer, and
// applies committed entries to a state machine.
//
// A replica whose data folder is empty asks all other replicas what they have.
// If every one of them is empty as well, or only just bootstrapped, they form a
// new group. If one knows of a group, the replica takes a new id and joins that
// group as a learner in place of the member at its address; it is promoted when
// it has caught up. While not all have answered, it waits: with an unreachable
// replica there is no telling whether its own vote was lost with its disk.
//
// The state machine is called from one goroutine. Its Snapshot holds up the
// replica, so it should take less than the election timeout.
package brcontrol
