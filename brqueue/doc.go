// Package brqueue is the bounded queue of a pool's scheduler. Tiers have strict
// priority. Inside a tier customers share by deficit round robin (Shreedhar and
// Varghese, SIGCOMM 1995) over expected tokens, and inside a customer the item
// with the earliest deadline is first. An item is shed only after everything of
// lower tiers was shed.
//
// A Queue isn't safe for concurrent use.
package brqueue
