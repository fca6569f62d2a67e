// Package brtunnel connects a daemon that has no network path to an endpoint to it
// through another daemon, the relay. A tunnel replaces only the connection: all
// decisions about requests stay with the daemon that opens it.
//
// A Server on the relay connects to the endpoint before it answers, so that an open
// tunnel proves a connection to the endpoint, and a DialError proves that nothing was
// sent to it. The cause of a DialError tells an endpoint that isn't reachable from the
// relay from a relay that can't be used.
//
// The bytes of the endpoint are framed, and the last frame tells how its connection
// ended. A Conn returns io.EOF only if the endpoint has closed the connection, ErrReset
// if it has reset it, and ErrSilent if it has timed out. A connection to the relay that
// ends without that frame, like that of a killed process, is ErrRelayLost, which says
// nothing about the endpoint. Bytes to the endpoint aren't framed: when the client
// closes the tunnel or dies, the relay closes the connection to the endpoint.
package brtunnel
