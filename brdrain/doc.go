// Package brdrain decides what happens to requests during a planned stop. It does no I/O.
//
// A stop has two phases. In the first one load balancers still send requests, so that a
// caller that is refused may come back to the same daemon, and many callers come back only
// once. Requests are accepted then if they probably end in time: the deadlines of streams are
// several times their usual durations and often longer than the stop, so that the deadline
// alone would refuse nearly all of them. A request that must not run twice needs evidence of
// that, since its caller can do nothing if it is ended.
//
// In the second phase no load balancer sends any more, and a refused caller comes back to
// another daemon. Idle connections are closed at its start, which costs their callers less
// than a refusal. Only requests whose deadline lies in the stop are accepted then. Nothing else
// bounds their end: the durations of earlier requests say little about a long one, and an
// endpoint may turn slow or silent after it has accepted a request.
package brdrain
