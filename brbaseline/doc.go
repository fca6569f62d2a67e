// Package brbaseline compares policies for placing requests on engines. It
// simulates a fixed workload on a few synthetic engines in simulated time,
// with the pool's scheduler or with one of three simple policies instead. It
// is a benchmark for changes of the scheduler, not a model of a deployment.
package brbaseline
