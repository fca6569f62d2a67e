package brproxy

import (
	"net"

	"bramleyroute/brserver"
)

// limits returns the limits of the policy in force for the connections of callers.
func (p *Proxy) limits() brserver.Limits {
	t := p.table.Load()
	if t == nil {
		return brserver.Limits{}
	}
	l := t.Policy().Limits
	return brserver.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Serve accepts connections of callers from l until l is closed or Drain ends. The limits
// of the policy in force apply to each request, also on connections that are older.
func (p *Proxy) Serve(l net.Listener) error { return p.server.Serve(l) }

// Connections returns the totals of the connections of callers.
func (p *Proxy) Connections() brserver.Stats { return p.server.Stats() }

// CloseIdle closes the connections on which no request has arrived, and the others as soon
// as their request has ended. It doesn't wait.
func (p *Proxy) CloseIdle() { p.server.CloseIdle() }
