// Package brsoak runs bramleyroute daemons as separate processes on loopback,
// injects faults from outside, and checks what callers, operators and simulated
// endpoints observe against the guarantees of the product. An Adapter supplies the
// configuration of the programs and their protocol. A seed determines the faults and
// their times; the timing of the processes varies between runs.
package brsoak
