// Package brcapacity measures what the roles cost, as slopes over the number of
// daemons, endpoints and requests, from which docs/CAPACITY.md works out the
// figures at the target's size. The stand-ins for 400 VMs are real daemons in a
// few processes of one machine, linked over loopback. It has no code outside its
// tests.
//
// Fast tests hold the bounds that the target sets. The measurements run with
// the flag -measure.
package brcapacity
