// Package brfake is a stand-in for model engines and plain services, for tests
// and load experiments. The engine batches continuously, caches prompt prefixes
// in bounded memory, admits everything in arrival order, streams resumable
// answers and obeys orders. Its answers are deterministic, it counts every
// request id that it receives, and it can be told to misbehave.
package brfake
