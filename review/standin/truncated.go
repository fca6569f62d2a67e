//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The configurations of this case have about 320 routes, fewer than one big_config adds. A
// segment of the log holds 39 of them, so that the orders sent to the machine that is cut off
// fill one segment and begin the next.
const (
	configBytes   = 112_000
	changesBefore = 77
	changesAfter  = 45
)

// playTruncated cuts the leader of the core off while the operator sends it orders, goes on
// with changes, and ends with a final fault in which one machine of the core loses its disk
// and the others are killed.
func playTruncated(w *world) (bool, error) {
	c := newCut()
	w.beforeStart = func(d *daemon) error {
		d.env = []string{"BRAMLEYROUTE_PEER_LISTEN=" + d.address(directPort)}
		return w.startProxy(d, c)
	}
	core, others, err := w.startCore(1)
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(append(others, core...)...); err != nil {
		return false, err
	}
	version := 100
	change := func(n int, daemons ...*daemon) error {
		for range n {
			version++
			if err := w.acknowledgeBody(version, largeConfiguration(version), 6*time.Second, daemons...); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	}
	if err := change(changesBefore, core...); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	leader, rest, err := findLeader(core)
	if err != nil {
		return false, err
	}
	if w.first {
		w.log("network: %s is cut off from all other machines", leader.name)
		c.set(leader)
	}
	// Eight orders at once, which the operator then sends to other machines.
	var orders sync.WaitGroup
	errs := make(chan error, 8)
	firstOrder := version + 1
	version += 8
	for k := range 8 {
		orders.Go(func() {
			time.Sleep(time.Duration(10*k) * time.Millisecond)
			body := largeConfiguration(firstOrder + k)
			status := putConfig(leader, body)
			w.log("operator: version %d sent to %s: status %d", firstOrder+k, leader.name, status)
			time.Sleep(time.Duration(1000+150*k) * time.Millisecond)
			if status == http.StatusOK {
				return
			}
			if err := w.acknowledgeBody(firstOrder+k, body, 15*time.Second, rest...); err != nil {
				errs <- err
			}
		})
	}
	time.Sleep(4 * time.Second)
	if w.first {
		w.log("network: %s is connected again", leader.name)
		c.set(nil)
	}
	orders.Wait()
	if len(errs) > 0 {
		return false, <-errs
	}
	time.Sleep(6 * time.Second) // catch_up_s and 2 s more
	if err := change(changesAfter, rest...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if w.second {
		if err := w.finalFault(core, leader, rest[0]); err != nil {
			return false, err
		}
	}
	// recovery_s is 12 s.
	time.Sleep(14 * time.Second)
	return !w.readBack(version, append(append([]*daemon{}, core...), others...)), nil
}

// finalFault kills the processes of the core at the same moment, takes the disk of one machine
// and starts them again.
func (w *world) finalFault(core []*daemon, leader, wiped *daemon) error {
	w.log("platform: final fault: all processes of the core are killed, and %s loses its disk", wiped.name)
	for _, d := range core {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range core {
		d.kill()
	}
	if err := os.RemoveAll(filepath.Join(w.dir, wiped.name+"-data")); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, d := range core {
		if err := d.begin(core, false); err != nil {
			return err
		}
	}
	return nil
}

// readBack reports whether the operator can read a configuration of the version or a later
// one within 30 s.
func (w *world) readBack(version int, daemons []*daemon) bool {
	w.log("operator: reads the configuration back")
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		for _, d := range daemons {
			status, v := getConfig(d)
			w.log("operator: read at %s: status %d, version %d", d.name, status, v)
			if status == http.StatusOK && v >= version {
				return true
			}
		}
	}
	return false
}

// largeConfiguration returns a configuration that has grown by many routes.
func largeConfiguration(version int) []byte {
	var c struct {
		Version  int              `json:"version"`
		Routes   []map[string]any `json:"routes"`
		Services any              `json:"services"`
		Limits   any              `json:"limits"`
		Tenants  any              `json:"tenants"`
	}
	b := configuration(version)
	if err := json.Unmarshal(b, &c); err != nil {
		panic(err)
	}
	route, err := json.Marshal(c.Routes[0])
	if err != nil {
		panic(err)
	}
	for i := range (configBytes - len(b)) / (len(route) + 16) {
		r := map[string]any{}
		for k, v := range c.Routes[0] {
			r[k] = v
		}
		r["name"], r["path_prefix"] = fmt.Sprintf("r-more-%06d", i), fmt.Sprintf("/more-%06d/", i)
		c.Routes = append(c.Routes, r)
	}
	if b, err = json.Marshal(c); err != nil {
		panic(err)
	}
	return b
}

// findLeader returns the machine of the core that leads by its log, and the other ones.
func findLeader(core []*daemon) (leader *daemon, rest []*daemon, err error) {
	for _, d := range core {
		if d.leads() && leader == nil {
			leader = d
		} else {
			rest = append(rest, d)
		}
	}
	if leader == nil {
		return nil, nil, errors.New("no machine leads")
	}
	return leader, rest, nil
}

// leads reports whether the daemon's latest log entry on the leadership says that it leads.
func (d *daemon) leads() bool {
	f, err := os.Open(filepath.Join(d.world.dir, d.name+".log"))
	if err != nil {
		return false
	}
	defer f.Close()
	leads := false
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e struct{ Message, Role string }
		if json.Unmarshal(lines.Bytes(), &e) == nil && e.Message == "leadership changed" {
			leads = e.Role == "leader"
		}
	}
	return leads
}
