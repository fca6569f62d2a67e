//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	usualTokens = "2890,24"  // 8 events
	heldTokens  = "543,390"  // 130 events
	longTokens  = "2890,510" // 170 events, the most of the sheet
)

// playStopping stops a machine while clients use connections to it that they have kept, and
// looks for requests that were sent later than 3 s after SIGTERM, accepted and then cut.
func playStopping(w *world) (bool, error) {
	core, others, err := w.startCore(1)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		x, err := w.startWorker(fmt.Sprintf("i-7f3a91c%d", i), lmService, core[i].zone, core...)
		if err != nil {
			return false, err
		}
		// A step takes 6.35 ms and more, an event needs three, and some workers run at 0.6
		// of the usual speed.
		x.eventTime = 30 * time.Millisecond
	}
	if err := w.awaitReady(append(others, core...)...); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	stopping := others[0]

	// The usual traffic: 250 requests of usual length.
	var usual sync.WaitGroup
	errs := make(chan error, 10)
	for k := range 10 {
		usual.Go(func() {
			c, err := w.dial(fmt.Sprintf("client %d", k), stopping)
			if err != nil {
				errs <- err
				return
			}
			defer c.close()
			for range 25 {
				a := c.ask(http.MethodPost, reviewPrefix+"2f", usualTokens, 8*time.Second)
				if a.status != http.StatusOK || !a.complete || a.closing {
					errs <- fmt.Errorf("usual %v", a)
					return
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	usual.Wait()
	select {
	case err := <-errs:
		return false, err
	default:
	}
	w.log("clients: 250 usual requests were answered")

	// Three clients hold a connection by a stream that is under way at SIGTERM.
	var late sync.WaitGroup
	var mu sync.Mutex
	var term time.Time
	lost, cut := 0, 0
	for k := range 3 {
		late.Go(func() {
			c, err := w.dial(fmt.Sprintf("late client %d", k), stopping)
			if err != nil {
				errs <- err
				return
			}
			defer c.close()
			a := c.ask(http.MethodPost, checkPrefix+"2f", heldTokens, 15*time.Second)
			w.log("%s: %v", c.name, a)
			mu.Lock()
			at := term
			mu.Unlock()
			if a.status != http.StatusOK || !a.complete || a.closing {
				errs <- fmt.Errorf("held %v", a)
				return
			}
			a = c.ask(http.MethodPost, reviewPrefix+"2f", longTokens, 8*time.Second)
			w.log("%s: sent %v after SIGTERM on the kept connection: %v", c.name, a.sentAt.Sub(at).Round(time.Millisecond), a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete: // also a refusal
			case w.trouble && a.sentAt.Sub(at) > 3*time.Second && !a.timedOut():
				lost++
			default:
				cut++
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	mu.Lock()
	term = time.Now()
	mu.Unlock()
	if w.trouble {
		stopping.stop()
	}
	late.Wait()
	select {
	case err := <-errs:
		return false, err
	default:
	}
	if cut > 0 && !w.trouble {
		return false, fmt.Errorf("%d requests were cut without a stop", cut)
	}
	w.log("clients: %d requests sent later than 3 s after SIGTERM were accepted and cut, %d others ended otherwise", lost, cut)
	return lost > 0, nil
}
