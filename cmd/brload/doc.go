// Command brload sends load to entries or engines and runs the experiments
// whose results are on the measurement pages.
package main
