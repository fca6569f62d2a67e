// Package brqueue implements the bounded queue of a pool's scheduler. Tiers have
// strict priority. Within a tier, customers share by deficit round robin
// (Shreedhar and Varghese, SIGCOMM 1995) over expected tokens. Within a customer,
// the item with the earliest deadline is first. An item is shed only after all
// items of lower tiers.
//
// A Queue isn't safe for concurrent use.
package brqueue
