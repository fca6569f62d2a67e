package brsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	plainDeadline  = time.Second
	streamDeadline = 4 * time.Second
	// callPause is between two requests of one caller.
	callPause = 15 * time.Millisecond
	// callerDial is how long a caller waits for a new connection.
	callerDial = time.Second
)

var kindNames = [...]string{"safe", "unsafe", "stream"}

// attemptID returns the id of an attempt, from which its kind can be told.
func attemptID(k Kind, caller, n int) string { return fmt.Sprintf("%s-%d-%d", kindNames[k], caller, n) }

func kindOf(id string) Kind {
	name, _, _ := strings.Cut(id, "-")
	for k, n := range kindNames {
		if n == name {
			return Kind(k)
		}
	}
	return Safe
}

// newClient returns a client that keeps its connections, as callers do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callerDial}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}
}

// call runs one caller until ctx ends. Each uses connections of its own and goes
// on using them until the daemon is gone.
func (r *run) call(ctx context.Context, caller int, c Customer) {
	client := newClient()
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+caller)))
	for n := 0; ctx.Err() == nil; n++ {
		kind := Kind(rng.IntN(int(kinds)))
		wait := r.attempt(ctx, client, attemptID(kind, caller, n), kind, c)
		sleep(ctx, max(callPause, wait))
	}
}

// attempt sends one request and returns how long its caller was told to stay away.
func (r *run) attempt(ctx context.Context, client *http.Client, id string, k Kind, c Customer) time.Duration {
	daemon, address := r.anyDaemon()
	deadline := plainDeadline
	if k == Stream {
		deadline = streamDeadline
	}
	req, err := r.adapter.Call(address.Callers, k, id, c, deadline)
	if err != nil {
		panic(fmt.Sprintf("brsoak: request of a caller: %v", err))
	}
	r.history.Sends(id, k, c)
	a := Attempt{ID: id, Kind: k, Customer: c, Daemon: daemon, Sent: time.Now()}
	callCtx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	answer, err := client.Do(req.WithContext(callCtx))
	var wait time.Duration
	if err == nil {
		defer answer.Body.Close()
		var b bytes.Buffer
		_, readErr := io.Copy(&b, answer.Body)
		if readErr == nil {
			a.Status, a.Whole, a.Body = answer.StatusCode, true, b.String()
		}
		a.Promise = r.adapter.PromisesNotRun(answer.StatusCode)
		wait = retryAfter(answer.Header)
	}
	a.Ended = time.Now()
	a.Left = callCtx.Err() != nil
	r.history.Ends(a)
	return min(wait, time.Second)
}

func retryAfter(h http.Header) time.Duration {
	var seconds float64
	if _, err := fmt.Sscan(h.Get("Retry-After"), &seconds); err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
