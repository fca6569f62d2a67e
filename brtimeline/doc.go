// Package brtimeline records what a process does as typed events stamped with a
// hybrid logical clock, keeps the latest of them in memory and optionally in
// files, and merges the events of several processes in one order.
package brtimeline
