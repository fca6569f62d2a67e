package brsystem

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
)

// linkProxy listens at a daemon's advertised peer address. It determines which
// daemon dialed and forwards the connection through the proxy of that pair of
// daemons, so that the link between two daemons can be blocked without
// affecting others.
type linkProxy struct {
	c        *cluster
	target   *daemon // the daemon that connections are forwarded to
	listener net.Listener

	mu      sync.Mutex
	proxies map[*daemon]*toxiproxy.Proxy // by dialing daemon
}

func (c *cluster) newLinkProxy(d *daemon) *linkProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	f := &linkProxy{c: c, target: d, listener: l, proxies: map[*daemon]*toxiproxy.Proxy{}}
	go f.serve()
	c.t.Cleanup(func() { l.Close() })
	return f
}

func (f *linkProxy) serve() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(in)
	}
}

// forward forwards the data of one connection in both directions.
func (f *linkProxy) forward(in net.Conn) {
	defer in.Close()
	from := f.c.daemonByPort(in.RemoteAddr().(*net.TCPAddr).Port)
	if from == nil {
		return // the dialing process has ended
	}
	p, err := f.proxyFrom(from)
	if err != nil {
		return
	}
	out, err := net.Dial("tcp", p.Listen)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in) // returns when either connection is closed
		out.Close()
	}()
	_, _ = io.Copy(in, out)
}

// proxyFrom returns the proxy for connections that a daemon dials, starting it
// if necessary.
func (f *linkProxy) proxyFrom(from *daemon) (*toxiproxy.Proxy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.proxies[from]; p != nil {
		return p, nil
	}
	p := toxiproxy.NewProxy(f.c.proxies, from.id+"-"+f.target.id, "127.0.0.1:0", f.target.peer)
	if err := p.Start(); err != nil {
		return nil, err
	}
	f.c.t.Cleanup(p.Stop)
	f.proxies[from] = p
	return p, nil
}

// daemonByPort returns the daemon whose process has a socket with a local
// loopback port, or nil if there is none.
func (c *cluster) daemonByPort(port int) *daemon {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	inode := ""
	for line := range strings.Lines(string(table)) {
		if w := strings.Fields(line); len(w) > 9 && w[1] == fmt.Sprintf("0100007F:%04X", port) {
			inode = "socket:[" + w[9] + "]"
		}
	}
	for _, d := range c.daemons {
		for _, fd := range d.descriptors() {
			if fd == inode {
				return d
			}
		}
	}
	return nil
}

// descriptors returns the link targets of the process's open file descriptors,
// or nil if the process has ended.
func (d *daemon) descriptors() (list []string) {
	dir := fmt.Sprintf("/proc/%d/fd", d.pid.Load())
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil // the process has ended
	}
	for _, e := range entries {
		if s, err := os.Readlink(dir + "/" + e.Name()); err == nil {
			list = append(list, s)
		}
	}
	return list
}

// isolate blocks all links between d and the other daemons without closing them.
func (c *cluster) isolate(d *daemon) {
	c.t.Helper()
	for _, p := range c.links(d) {
		c.block(p, "upstream")
		c.block(p, "downstream")
	}
}

// reconnect unblocks all links between d and the other daemons.
func (c *cluster) reconnect(d *daemon) {
	c.t.Helper()
	for _, p := range c.links(d) {
		c.unblock(p)
	}
}

// links returns the proxies of all links of d. For each other daemon, the
// proxy of the link that it dialed is followed by that of the link that d
// dialed.
func (c *cluster) links(d *daemon) (list []*toxiproxy.Proxy) {
	for _, o := range c.daemons {
		if o == d {
			continue
		}
		for _, x := range []struct {
			f    *linkProxy
			from *daemon
		}{{d.linkProxy, o}, {o.linkProxy, d}} {
			p, err := x.f.proxyFrom(x.from)
			if err != nil {
				c.t.Fatal(err)
			}
			list = append(list, p)
		}
	}
	return list
}

// Guards against a harness whose isolate blocks no traffic, or also that between
// other daemons.
func TestIsolate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, spec{daemons: 4, controls: 3, partitions: true})
	c.isolate(c.daemons[3])
	c.eventually("vm3 isolated", func() bool { s, err := status(c.daemons[3]); return err == nil && s.Confirmation == "unconfirmed" })
	for _, d := range c.daemons[:3] {
		if s, err := status(d); err != nil || s.Confirmation != "confirmed" {
			t.Errorf("status of %s: %+v, %v; want confirmed", d.id, s, err)
		}
	}
	c.reconnect(c.daemons[3])
	c.waitReady(c.daemons[3])
}
