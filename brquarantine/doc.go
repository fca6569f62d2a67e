// Package brquarantine finds the requests, and the parts of prompts, that make endpoints
// crash, and keeps them away from endpoints for some time.
//
// An endpoint that crashes takes all its requests with it, and each daemon sees only its
// own. A request, or a part of a prompt, is suspected if endpoints were lost under it and
// it has made no progress since. It is quarantined once that holds for several starts of
// endpoints, counted over all daemons. A success clears it: of a request only its own, of
// a part that of any request with it. That tells those to blame from the bystanders, which
// succeed elsewhere. The crashes under a quarantined request don't count for the parts
// that were lost beside it.
//
// After a pause, one request at a time may try again at each daemon. The pause grows with
// each endpoint lost, so that what was blamed by chance is free again soon, and what is to
// blame ends few endpoints.
//
// A State does no I/O and takes the time as an argument. It returns what it has learned
// as Evidence, which the caller publishes to the other daemons; evidence merges in any
// order to the same result.
package brquarantine
