// Package brlimit keeps the limits that endpoints state in their responses, over all
// processes that send requests to them: the requests per second that an endpoint takes,
// and the rejections per second that it bears.
//
// A process that learns a limit publishes it. The right to send then lies with a few
// holders, which every process works out alike from the endpoints with a limit and the
// members of the fleet: one holder for each request per second, so that the bursts of
// the holders add up to little more than a second's worth. A holder spends its part from
// a Bucket that starts empty. All others send nothing.
//
// An equal share for each member wouldn't do: with one token in hand each, two hundred
// members send two hundred requests at once, whatever the limit is. A single holder
// would hold the limit, but leaves part of it unused where one member has too few
// requests. A grant for each request would keep the order of ranks over the whole fleet,
// at the price of a round trip and of seconds without any request when the grantor is
// lost.
//
// An endpoint that bears few rejections must not be sent more than its slots. Each slot
// belongs to one member, by the same division, so that no message is needed for a request
// and the members can't exceed the slots together.
//
// An endpoint that has just started may crash under more than a rate in any single second,
// also if members don't hear of each other. Spaced divides such a rate: fewer holders, which
// don't depend on the other endpoints, and no bursts.
//
// The types do no I/O and take the time as an argument. They aren't safe for concurrent
// use.
package brlimit
