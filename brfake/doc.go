// Package brfake simulates model engines and plain services for tests and load
// experiments. The engine batches continuously, caches prompt prefixes in limited
// memory, admits requests in arrival order, streams resumable responses and executes
// orders. Its responses are deterministic, it counts every request ID that it
// receives, and it can inject faults.
package brfake
