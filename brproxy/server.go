package brproxy

import (
	"context"
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

// Serve accepts connections of callers from l until l is closed or Shutdown is called. The
// limits of the policy in force apply to each request, also on connections that are older.
func (p *Proxy) Serve(l net.Listener) error { return p.server.Serve(l) }

// CloseIdle closes the connections on which no request has arrived, and the others as soon
// as their request has ended. It doesn't wait.
func (p *Proxy) CloseIdle() { p.server.CloseIdle() }

// Shutdown stops accepting connections, closes each one once no request has arrived on it,
// and returns when there is none left. If ctx ends first, it returns its error.
func (p *Proxy) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }
