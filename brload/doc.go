// Package brload generates load and measures what becomes of it. A Plan is a
// seeded list of arrivals that is fixed before the run and sent open loop: a
// slow answer delays no later arrival. A Target is an entry of the system, or
// one of the baselines (round robin, least outstanding on stale reports, first
// come first served) that sends to the engines without a scheduler. Account
// turns the outcomes into goodput by tier, refusals, latencies and wasted
// prefill. System starts daemons and fake engines as processes on loopback for
// the named experiments.
package brload
