//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// proxy forwards the links of other machines to one machine, and holds them back while one
// of both ends is cut off.
type proxy struct {
	world  *world
	target *daemon
	cut    *cut
}

// cut is a machine that is cut off from all others.
type cut struct {
	mu      sync.Mutex
	off     *daemon       // nil if none is
	changed chan struct{} // closed when off changes
}

func newCut() *cut { return &cut{changed: make(chan struct{})} }

func (c *cut) set(d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off = d
	close(c.changed)
	c.changed = make(chan struct{})
}

// await waits until neither a nor b is cut off.
func (c *cut) await(a, b *daemon) {
	for {
		c.mu.Lock()
		off, changed := c.off, c.changed
		c.mu.Unlock()
		if off == nil || off != a && off != b {
			return
		}
		<-changed
	}
}

// The daemon listens for links at directPort, and the proxy at peerPort, which the daemon
// tells the others.
const (
	peerPort   = "7600"
	directPort = "7610"
)

func (w *world) startProxy(target *daemon, c *cut) error {
	l, err := net.Listen("tcp", target.address(peerPort))
	if err != nil {
		return err
	}
	w.atEnd(func() { l.Close() })
	p := &proxy{w, target, c}
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(n)
		}
	}()
	return nil
}

func (p *proxy) serve(in net.Conn) {
	defer in.Close()
	source := p.world.owner(in.RemoteAddr(), in.LocalAddr())
	p.cut.await(source, p.target)
	out, err := net.Dial("tcp", p.target.address(directPort))
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			p.cut.await(source, p.target)
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(out, in)
	go forward(in, out)
	<-done
}

// owner returns the machine whose process has the socket with the given addresses, or nil.
func (w *world) owner(local, remote net.Addr) *daemon {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer f.Close()
	l, r := hexAddress(local), hexAddress(remote)
	inode := ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == l && fields[2] == r {
			inode = fields[9]
		}
	}
	w.mu.Lock()
	daemons := append([]*daemon{}, w.daemons...)
	w.mu.Unlock()
	for _, d := range daemons {
		d.mu.Lock()
		cmd := d.cmd
		d.mu.Unlock()
		if cmd == nil || inode == "" {
			continue
		}
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", cmd.Process.Pid))
		if err != nil {
			return nil
		}
		for _, link := range links {
			if to, err := os.Readlink(link); err == nil && to == "socket:["+inode+"]" {
				return d
			}
		}
	}
	return nil
}

// hexAddress returns an address as /proc/net/tcp shows it.
func hexAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(t.IP.To4()), t.Port)
}
