// Package brcore stores the durable state of a fleet whose daemons discover each
// other: the configuration document in force and the rollouts. It contains the
// state machine that brcontrol replicates, the supervisor that runs this daemon's
// replica and maintains the group's membership, and the client with which daemons
// without a disk read and change the state.
//
// A document is acknowledged once a majority of the replicas has written it to
// disk. Reads are confirmed by the leader, so they never return a document older
// than an acknowledged one.
package brcore
