// Command brsoak runs the real programs under injected faults, once for each seed,
// and reports each violation of a guarantee.
package main
