// Package brcapacity measures the processor time, memory and traffic of each role
// per daemon, endpoint and request. docs/CAPACITY.md extrapolates them to the size
// of the target. Daemons on 400 VMs are simulated by real daemons or light clients
// in a few processes of one machine, linked over loopback. The package has no code
// outside its tests.
//
// Fast tests check the limits that the target sets. The measurements run with the
// flag -measure.
package brcapacity
