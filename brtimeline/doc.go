// Package brtimeline records typed events of a process, stamped with a hybrid
// logical clock. It stores the latest events in memory and optionally in files, and
// merges the events of several processes in the order of their stamps.
package brtimeline
