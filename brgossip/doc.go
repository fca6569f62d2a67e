// Package brgossip replicates small records to all daemons: the members of the
// fleet, the announced endpoints, the load that each daemon puts on them, and the
// newest configuration.
//
// A Store holds the newest version of each record. It does no I/O and takes the
// time as an argument. A Node floods changes over links to other daemons, which it
// discovers from a few seed addresses. Records are soft state: none is durable,
// and the highest version wins.
//
// In a large fleet some kinds of records aren't flooded: relays, the daemons with a
// replica, forward them to the daemons that have subscribed, either in the whole
// fleet or in the failure domain of the writer.
package brgossip
