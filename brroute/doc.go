// Package brroute chooses endpoints for the requests of one pool. Its Table
// holds the endpoints from their announcements, what each has in flight, the
// speeds learned from what each did, an index of cached prefixes and the shares
// of versions. Its Breaker stops a version whose fault is obvious.
//
// Reports are 1 to 5 s old. The load of an endpoint is therefore what its last
// report measured, corrected by the grants and completions since that
// measurement, and never less than what is in flight.
//
// A Table isn't safe for concurrent use. Times passed to it don't decrease.
package brroute
