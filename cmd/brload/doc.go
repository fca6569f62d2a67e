// Command brload generates load on entries or engines and runs the experiments
// whose results are on the measurement pages.
package main
