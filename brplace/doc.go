// Package brplace assigns requests to endpoints and rejects those that would wait
// too long. Each daemon decides independently, without a round trip to the
// others. Daemons share the number of running requests in reports that are a few
// tens of milliseconds old; a State counts its own dispatches immediately.
//
// A State is a state machine: Step applies one event at a given time and returns
// the resulting effects. Queued requests are ordered by rank. A fraction of the
// free slots is reserved for more urgent ranks, and only the most urgent rank may
// exceed the slots of an endpoint, so that the tier order holds across the fleet
// without a central queue. An endpoint whose failure rate over all daemons is
// higher than that of the other endpoints of its service is suspended.
//
// In a large fleet the reports are older. A daemon then chooses among a few endpoints,
// those of its own failure domain first, and under overload runs at most its share of
// the slots, so that the daemons don't all use the same endpoints.
package brplace
