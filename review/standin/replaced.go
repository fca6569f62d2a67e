//go:build review

package main

import (
	"net/http"
	"syscall"
	"time"
)

// playReplaced replaces one machine of the core as planned, and then loses another one for
// good, whose successor comes as well. At each moment at most one machine is lost.
func playReplaced(w *world) (bool, error) {
	core, others, err := w.startCore(1)
	if err != nil {
		return false, err
	}
	a, b, c := core[0], core[1], core[2]
	if err := w.awaitReady(append(others, core...)...); err != nil {
		return false, err
	}
	readers := []*daemon{c, others[0], a, b}
	if w.trouble {
		d, e := w.newDaemon("front-quito-a-9", "quito-a", true), w.newDaemon("front-quito-b-9", "quito-b", true)
		w.log("platform: planned replacement of %s by %s", a.name, d.name)
		if err := d.begin([]*daemon{a, b, c}, false); err != nil {
			return false, err
		}
		time.Sleep(6 * time.Second) // catch_up_s and 2 s more
		if err := w.acknowledge(8, 4*time.Second, d, c); err != nil {
			return false, err
		}
		a.stop()
		for _, x := range []*daemon{b, c, d, others[0]} {
			if err := x.writeSettings([]*daemon{b, c, d}, false); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
		w.log("platform: %s is lost for good", b.name)
		b.signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := e.begin([]*daemon{c, d, e}, false); err != nil {
			return false, err
		}
		for _, x := range []*daemon{c, d, others[0]} {
			if err := x.writeSettings([]*daemon{c, d, e}, false); err != nil {
				return false, err
			}
		}
		readers = []*daemon{c, d, e, others[0]}
	} else if err := w.acknowledge(8, 4*time.Second, b, c); err != nil {
		return false, err
	}
	// recovery_s is 12 s, catch_up_s is 4 s and contact_ms is 3 s.
	time.Sleep(16 * time.Second)
	w.log("operator: reads the configuration back")
	read := false
	for deadline := time.Now().Add(30 * time.Second); !read && time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		for _, d := range readers {
			status, version := getConfig(d)
			w.log("operator: read at %s: status %d, version %d", d.name, status, version)
			if status == http.StatusOK && version >= 8 {
				read = true
				break
			}
		}
	}
	err = w.acknowledge(9, 8*time.Second, readers...)
	w.log("operator: configuration read back %v, new version refused or without answer: %v", read, err)
	return !read, nil
}
