// Package brpath decides by which path a daemon reaches an endpoint: directly, or through
// another daemon of the fleet that relays the connection.
//
// A daemon can lose its own path to some or all endpoints while callers and the other
// daemons still reach it. Whether an endpoint is dead or the path is lost shows in a
// comparison: the daemon can't connect, and another one can at the same time. So a direct
// dial that fails, or that isn't answered at once, is followed by one through a relay. If
// the relay connects, the path is lost; if it can't either, the endpoint is.
//
// Once the path to an endpoint is lost, connections to it go through relays at once, and
// one to find out whether the path is back is dialed in the background: no caller waits
// for it. A daemon with lost paths to several endpoints and no direct connection since is
// partitioned; it then dials all endpoints through relays first.
//
// A State decides and does no I/O. A Dialer carries the decisions out.
package brpath
