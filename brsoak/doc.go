// Package brsoak runs daemons of bramleyroute as separate processes on loopback,
// injects faults from outside them, and checks what callers, operators and
// stand-in endpoints see against what the product promises. What the programs are
// told and how they are spoken to comes from an Adapter. A seed fixes the faults
// and their times; the processes' own timing varies.
package brsoak
