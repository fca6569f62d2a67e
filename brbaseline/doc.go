// Package brbaseline compares ways to place requests on engines: it plays a
// fixed mix of work on a few synthetic engines in manual time, with the pool's
// scheduler or with one of three simple policies in its place. It is a yardstick
// for changes of the scheduler, not a model of a deployment.
package brbaseline
