//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playDrained withdraws two workers at a machine without a disk, which is killed right after
// its second acknowledgement, and looks for requests that reach them later than
// drain_timeout_ms after it.
func playDrained(w *world) (bool, error) {
	const drainTimeout = 2 * time.Second
	core, others, err := w.startCore(1)
	if err != nil {
		return false, err
	}
	front := others[0]
	var orders []*worker
	for i := range 4 {
		x, err := w.startWorker(fmt.Sprintf("i-2b41c7d%d", i), ordersApp, core[i%3].zone, core...)
		if err != nil {
			return false, err
		}
		orders = append(orders, x)
		if _, err := w.startWorker(fmt.Sprintf("i-7f3a91c%d", i), lmService, core[i%3].zone, core...); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(append(others, core...)...); err != nil {
		return false, err
	}

	// Clients of another service use the machine all the while.
	var stop atomic.Bool
	var background sync.WaitGroup
	for k := range 6 {
		background.Go(func() {
			for !stop.Load() {
				c, err := w.dial(fmt.Sprintf("client %d", k), front)
				if err != nil {
					return
				}
				for a := (answer{status: http.StatusOK, complete: true}); a.status == http.StatusOK && a.complete && !a.closing && !stop.Load(); {
					a = c.ask(http.MethodPost, checkPrefix+"2f", usualTokens, 15*time.Second)
				}
				c.close()
			}
		})
	}
	defer background.Wait()
	defer stop.Store(true)
	time.Sleep(4 * time.Second) // contact_ms and 1 s more

	// Two workers leave, one right after the other.
	leaving := orders[:2]
	for _, x := range leaving {
		x.silent.Store(true)
		if status := x.withdraw(front); status != http.StatusOK {
			return false, fmt.Errorf("withdrawal not acknowledged: status %d", status)
		}
	}
	acknowledged := time.Now()
	if w.trouble {
		front.signal(syscall.SIGKILL)
	}
	w.log("workers %s and %s: DELETE acknowledged by %s; the machine is killed: %v", leaving[0].id, leaving[1].id, front.name, w.trouble)
	var late atomic.Int64
	for _, x := range leaving {
		x.leaving.Store(true)
		x.onRun = func(id string) {
			if after := time.Since(acknowledged); after > drainTimeout {
				late.Add(1)
				w.log("worker %s: request %s reaches it %v after the acknowledgement", x.id, id, after.Round(time.Millisecond))
			}
		}
	}
	time.Sleep(drainTimeout + 300*time.Millisecond)
	for i := range 18 {
		d := core[i%3]
		c, err := w.dial("client of "+d.name, d)
		if err != nil {
			return false, err
		}
		a := c.ask(http.MethodGet, lookupPrefix+"2f", "", time.Second)
		c.close()
		w.log("client: lookup at %s: %v", d.name, a)
		if a.status != http.StatusOK {
			return false, fmt.Errorf("lookup: %v", a)
		}
	}
	return late.Load() > 0, nil
}
