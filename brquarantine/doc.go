// Package brquarantine finds the parts of prompts that make endpoints crash, and keeps
// requests with such a part away from endpoints for some time.
//
// An endpoint that crashes takes all its requests with it, and each daemon sees only its
// own. A part is suspected if endpoints were lost under requests with it and no request
// with it has made progress since. It is quarantined once that holds for several starts
// of endpoints, counted over all daemons. Any success with the part clears it, which
// tells the part to blame from those that merely stood beside it: these occur in other
// requests too.
//
// After a pause, one request at a time may try a quarantined part again at each daemon.
// The pause grows with each endpoint lost, so that a part that was blamed by chance is
// free again soon, and one that is to blame ends few endpoints.
//
// A State does no I/O and takes the time as an argument. It returns what it has learned
// as Evidence, which the caller publishes to the other daemons; evidence merges in any
// order to the same result.
package brquarantine
