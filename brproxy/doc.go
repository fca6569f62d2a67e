// Package brproxy is the reverse proxy that serves callers. For each request it
// looks up the route and the customer, waits for a placement by brplace, sends the
// request to the endpoint through brconn, and relays the response.
//
// The package also decides whether a request may be sent again. A request that must
// not be repeated is sent to another endpoint only if the first endpoint or the
// connection proves that it has not run. A refusal states that a request has not run
// only if that is certain. A response that was broken off never reaches the caller as a
// complete one. A request is refused if its prompt has a part under which endpoints
// crash; see brquarantine. The Dialect defines the header names.
package brproxy
