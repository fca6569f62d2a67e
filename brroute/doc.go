// Package brroute chooses endpoints for the requests of one pool. A Table holds
// the announced endpoints, their requests in flight, the speeds learned from
// completed requests, an index of cached prefixes and the traffic shares of
// versions. A Breaker detects a faulty version and decides when to stop it.
//
// Reports are 1 to 5 s old. The load of an endpoint is therefore the load in its
// last report, corrected by the grants and completions since the measurement. It
// is never less than the tokens in flight.
//
// A Table isn't safe for concurrent use. Times passed to it must not decrease.
package brroute
