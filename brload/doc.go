// Package brload generates load and measures the results. A Plan describes a list of
// arrivals that a seed determines before the run. The arrivals are sent open loop: a
// slow response does not delay a later arrival. A Target is an entry of the system,
// or one of the baselines (round robin, least outstanding by stale reports, first
// come first served), which send to the engines without a scheduler. Summarize
// computes goodput by tier, refusals and latencies from the outcomes; wasted prefill
// is computed from the outcomes and the counts of the engines. System starts daemons
// and fake engines as processes on loopback for the named experiments.
package brload
