// Package brconcurrency estimates how much each endpoint takes well: the time that it needs
// for a unit of work, and the number of requests at once up to which more of them raise its
// throughput.
//
// Endpoints of one service differ in speed, and some slow down long before all of their slots
// are in use. What an endpoint states of itself says nothing about either, so that both are
// learned from the times of complete responses. No process sees enough of them by itself in a
// large fleet: each publishes what it has counted, and all processes add up the counts of all.
// Old counts lose their weight, so that the estimates follow changes in both directions. The
// package does no I/O.
package brconcurrency
