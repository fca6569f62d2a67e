package brfleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brplace"
)

const fatalPart = "fatal"

// fragileEndpoint is an endpoint that crashes when it begins to respond to a request
// with fatalPart in its prompt, and starts again at once.
type fragileEndpoint struct {
	id      string
	server  *httptest.Server
	born    atomic.Uint64
	crashes *atomic.Int64 // of all endpoints
	started func(Announcement)
}

func (e *fragileEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !slices.Contains(r.Header.Values("Part"), fatalPart) {
		io.WriteString(w, "ok")
		return
	}
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	e.crashes.Add(1)
	e.born.Add(1)
	e.started(e.announcement())
	panic(http.ErrAbortHandler)
}

func (e *fragileEndpoint) announcement() Announcement {
	return Announcement{
		Endpoint: brplace.Endpoint{ID: e.id, Service: "s", Address: e.server.Listener.Addr().String(), Slots: 4},
		Born:     e.born.Load(), Sequence: 1,
	}
}

// sendParts sends a request with the given parts in its prompt through a daemon and
// returns the status and the header of the response.
func sendParts(t *testing.T, f *Fleet, parts ...string) (int, http.Header) {
	t.Helper()
	r := httptest.NewRequest("POST", "http://h/x", nil)
	r.Header["Part"] = parts
	front := httptest.NewServer(f.Proxy())
	defer front.Close()
	r.RequestURI, r.URL.Host, r.Host = "", front.Listener.Addr().String(), "h"
	response, err := front.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header
}

// TestFatalPartEndsFewEndpoints guards against requests with one part in their prompts
// that end one endpoint after the other because each daemon sees only some of the
// crashes, and against refusing the requests that only share their other parts.
func TestFatalPartEndsFewEndpoints(t *testing.T) {
	const (
		endpoints = 12
		// freeCrashes is the number of crashes after which the fleet has to know the part,
		// and maxLater the number of requests with it that may reach endpoints later.
		freeCrashes = 5
		maxLater    = 3
	)
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	c.awaitInForce(1)
	var crashes atomic.Int64
	announce := func(a Announcement) {
		if err := c.fleets[0].Announce(a); err != nil {
			t.Error(err)
		}
	}
	for i := range endpoints {
		e := &fragileEndpoint{id: fmt.Sprint("e", i), crashes: &crashes, started: announce}
		e.server = httptest.NewServer(e)
		t.Cleanup(e.server.Close)
		e.born.Store(1)
		announce(e.announcement())
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == endpoints })
	}
	sendBoth := func(i int) (sound, fatal int, retryAfter string) {
		f := c.fleets[i%len(c.fleets)]
		document := fmt.Sprint("document", i%3)
		sound, _ = sendParts(t, f, "system", document)
		fatal, h := sendParts(t, f, "system", document, fatalPart, fmt.Sprint("own", i))
		return sound, fatal, h.Get("Retry-After")
	}
	for i := 0; crashes.Load() < freeCrashes && i < 4*freeCrashes; i++ {
		sendBoth(i)
		time.Sleep(20 * time.Millisecond) // endpoints crash one after the other
	}
	known := crashes.Load()
	c.stop(3)
	c.start(3, false) // a daemon that has seen none of the crashes
	c.awaitInForce(1)
	c.await("endpoints are known to the new daemon", func() bool { return c.fleets[3].endpoints.count() == endpoints })
	for i := range 20 {
		sound, fatal, retryAfter := sendBoth(i)
		if sound != http.StatusOK {
			t.Errorf("request %d without the part has status %d, want 200", i, sound)
		}
		seconds, err := strconv.ParseFloat(retryAfter, 64)
		if fatal != http.StatusServiceUnavailable || err != nil || seconds <= 0 {
			t.Errorf("request %d with the part has status %d and Retry-After %q, want 503 and some seconds", i, fatal, retryAfter)
		}
	}
	if later := crashes.Load() - known; later > maxLater {
		t.Errorf("%d requests with the part reached endpoints after %d crashes, want at most %d", later, known, maxLater)
	}
}
