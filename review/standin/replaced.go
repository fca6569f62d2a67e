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
	if err := w.awaitReady(append(others, core...)...); err != nil {
		return false, err
	}
	core, err = w.replacePlanned(core, others)
	if err != nil {
		return false, err
	}
	if w.second {
		if core, err = w.replaceLost(core, others); err != nil {
			return false, err
		}
	}
	readers := append(append([]*daemon{}, core...), others...)
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

// replacePlanned replaces the first machine of the core: the new one comes first, and the old
// one is stopped once the new one has had catch_up_s. It returns the present core, and ends 1 s
// after the end of the old machine's process.
func (w *world) replacePlanned(core, others []*daemon) ([]*daemon, error) {
	if !w.first {
		return core, w.acknowledge(8, 4*time.Second, core[1:]...)
	}
	old, successor := core[0], w.newDaemon("front-quito-a-9", "quito-a", true)
	w.log("platform: planned replacement of %s by %s", old.name, successor.name)
	if err := successor.begin(core, false); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // catch_up_s and 2 s more
	if err := w.acknowledge(8, 4*time.Second, successor, core[2]); err != nil {
		return nil, err
	}
	old.stop()
	core = []*daemon{core[1], core[2], successor}
	time.Sleep(time.Second)
	return core, w.setSeeds(core, append(others, core...)...)
}

// replaceLost kills the first machine of the core for good. Its successor starts 1 s later.
func (w *world) replaceLost(core, others []*daemon) ([]*daemon, error) {
	w.log("platform: %s is lost for good", core[0].name)
	core[0].signal(syscall.SIGKILL)
	time.Sleep(time.Second)
	successor := w.newDaemon("front-quito-b-9", "quito-b", true)
	core = append(append([]*daemon{}, core[1:]...), successor)
	if err := successor.begin(core, false); err != nil {
		return nil, err
	}
	return core, w.setSeeds(core, append(others, core...)...)
}

// setSeeds writes new seeds into the settings files of machines.
func (w *world) setSeeds(seeds []*daemon, machines ...*daemon) error {
	for _, d := range machines {
		if err := d.writeSettings(seeds, false); err != nil {
			return err
		}
	}
	return nil
}
