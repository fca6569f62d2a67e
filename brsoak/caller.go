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

	"bramleyroute/brheader"
)

const (
	plainDeadline  = time.Second
	streamDeadline = 4 * time.Second
	// requestInterval is the minimum pause between two requests of one caller.
	requestInterval = 15 * time.Millisecond
	// callerDialTimeout is the timeout for opening a connection.
	callerDialTimeout = time.Second
)

var kindNames = [...]string{"safe", "unsafe", "stream"}

// attemptID returns the ID of an attempt, which encodes its kind.
func attemptID(k Kind, caller, n int) string { return fmt.Sprintf("%s-%d-%d", kindNames[k], caller, n) }

func kindFromID(id string) Kind {
	name, _, _ := strings.Cut(id, "-")
	for k, n := range kindNames {
		if n == name {
			return Kind(k)
		}
	}
	return Safe
}

// newClient returns a client that reuses connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callerDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}
}

// runCaller sends one caller's requests until ctx ends. Each caller has its own
// connections and reuses them until the daemon closes them.
func (r *run) runCaller(ctx context.Context, caller int, c Customer) {
	client := newClient()
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+caller)))
	for n := 0; ctx.Err() == nil; n++ {
		kind := Kind(rng.IntN(int(numKinds)))
		wait := r.attempt(ctx, client, attemptID(kind, caller, n), kind, c)
		sleep(ctx, max(requestInterval, wait))
	}
}

// maxRetryAfter is the longest time for which a caller waits before its next request.
const maxRetryAfter = time.Second

// attempt sends one request and returns the delay that the response asks for in
// Retry-After, at most maxRetryAfter.
func (r *run) attempt(ctx context.Context, client *http.Client, id string, k Kind, c Customer) time.Duration {
	daemon, address := r.randomDaemon()
	deadline := plainDeadline
	if k == Stream {
		deadline = streamDeadline
	}
	req, err := r.adapter.Call(address.Callers, k, id, c, deadline)
	if err != nil {
		panic(fmt.Sprintf("brsoak: create caller request: %v", err))
	}
	r.history.RecordSend(id, k, c)
	a := Attempt{ID: id, Kind: k, Customer: c, Daemon: daemon, Sent: time.Now()}
	callCtx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	response, err := client.Do(req.WithContext(callCtx))
	var wait time.Duration
	if err == nil {
		defer response.Body.Close()
		var b bytes.Buffer
		_, readErr := io.Copy(&b, response.Body)
		if readErr == nil {
			a.Status, a.Complete, a.Body = response.StatusCode, true, b.String()
		}
		a.NotRun = r.adapter.GuaranteesNotRun(response.StatusCode)
		// A value that is no delay counts as none.
		wait, _ = brheader.RetryAfter(response.Header, time.Now(), maxRetryAfter)
	}
	a.Ended = time.Now()
	a.TimedOut = callCtx.Err() != nil
	r.history.RecordAttempt(a)
	return wait
}
