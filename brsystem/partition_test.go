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

// front listens at a daemon's advertised peer address. It finds out which
// daemon dialled and passes the connection through the proxy of that pair, so
// that the link of two daemons can be cut without touching others.
type front struct {
	c        *cluster
	behind   *daemon
	listener net.Listener

	mu    sync.Mutex
	pairs map[*daemon]*toxiproxy.Proxy // by the daemon that dials
}

func (c *cluster) newFront(d *daemon) *front {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	f := &front{c: c, behind: d, listener: l, pairs: map[*daemon]*toxiproxy.Proxy{}}
	go f.serve()
	c.t.Cleanup(func() { l.Close() })
	return f
}

func (f *front) serve() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.pass(in)
	}
}

func (f *front) pass(in net.Conn) {
	defer in.Close()
	from := f.c.dialler(in.RemoteAddr().(*net.TCPAddr).Port)
	if from == nil {
		return // the process ended meanwhile
	}
	p, err := f.pair(from)
	if err != nil {
		return
	}
	out, err := net.Dial("tcp", p.Listen)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in) // ends with either connection
		out.Close()
	}()
	_, _ = io.Copy(in, out)
}

func (f *front) pair(from *daemon) (*toxiproxy.Proxy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pairs[from]; p != nil {
		return p, nil
	}
	p := toxiproxy.NewProxy(f.c.proxies, from.id+"-"+f.behind.id, "127.0.0.1:0", f.behind.peer)
	if err := p.Start(); err != nil {
		return nil, err
	}
	f.c.t.Cleanup(p.Stop)
	f.pairs[from] = p
	return p, nil
}

// dialler returns the daemon whose process has a socket at a loopback port.
func (c *cluster) dialler(port int) *daemon {
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

// descriptors returns what the process's file descriptors refer to.
func (d *daemon) descriptors() (list []string) {
	dir := fmt.Sprintf("/proc/%d/fd", d.pid.Load())
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil // the process ended
	}
	for _, e := range entries {
		if s, err := os.Readlink(dir + "/" + e.Name()); err == nil {
			list = append(list, s)
		}
	}
	return list
}

// isolate silently cuts all links between d and the other daemons.
func (c *cluster) isolate(d *daemon) {
	c.t.Helper()
	for _, p := range c.links(d) {
		c.cut(p, "upstream")
		c.cut(p, "downstream")
	}
}

// rejoin ends what isolate began.
func (c *cluster) rejoin(d *daemon) {
	c.t.Helper()
	for _, p := range c.links(d) {
		c.heal(p)
	}
}

func (c *cluster) links(d *daemon) (list []*toxiproxy.Proxy) {
	for _, o := range c.daemons {
		if o == d {
			continue
		}
		for _, x := range []struct {
			f    *front
			from *daemon
		}{{d.front, o}, {o.front, d}} {
			p, err := x.f.pair(x.from)
			if err != nil {
				c.t.Fatal(err)
			}
			list = append(list, p)
		}
	}
	return list
}

// Guards against a harness that cuts nothing, or more than it says.
func TestIsolate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, spec{daemons: 4, controls: 3, partitions: true})
	c.isolate(c.daemons[3])
	c.eventually("vm3 cut off", func() bool { s, err := status(c.daemons[3]); return err == nil && s.Confirmation == "unconfirmed" })
	for _, d := range c.daemons[:3] {
		if s, err := status(d); err != nil || s.Confirmation != "confirmed" {
			t.Errorf("%s: %+v, %v", d.id, s, err)
		}
	}
	c.rejoin(c.daemons[3])
	c.waitReady(c.daemons[3])
}
