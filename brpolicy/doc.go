// Package brpolicy defines the routing policy of a fleet: the mapping of requests
// to services, the accepted customer keys, and the limits on callers. Check
// validates a whole Policy, and Compile converts it to a Table for lookups per
// request.
package brpolicy
