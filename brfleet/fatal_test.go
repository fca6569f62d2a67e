package brfleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brplace"
)

const fatalPart = "fatal"

// fatalBody is the body of a request that is fatal as a whole.
const fatalBody = "fatal"

// fragileEndpoint is an endpoint that crashes when it begins to respond to a request
// with fatalPart in its prompt or with fatalBody, and starts again at once.
type fragileEndpoint struct {
	id      string
	server  *httptest.Server
	born    atomic.Uint64
	crashes *atomic.Int64 // of all endpoints
	started func(Announcement)
}

func (e *fragileEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // the daemon that sends it has read it in full
	if string(body) != fatalBody && !slices.Contains(r.Header.Values("Part"), fatalPart) {
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
// returns the status and the header of the response. Requests with unlike parts have
// unlike bodies.
func sendParts(t *testing.T, f *Fleet, parts ...string) (int, http.Header) {
	t.Helper()
	return send(t, f, strings.Join(parts, " "), parts...)
}

// send sends a request with the given body and parts in its prompt.
func send(t *testing.T, f *Fleet, body string, parts ...string) (int, http.Header) {
	t.Helper()
	r := httptest.NewRequest("POST", "http://h/x", strings.NewReader(body))
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

// newFragileCluster returns a cluster of four daemons with the given number of fragile
// endpoints, and the number of their crashes.
func newFragileCluster(t *testing.T, endpoints int) (*cluster, *atomic.Int64) {
	t.Helper()
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	c.awaitInForce(1)
	crashes := &atomic.Int64{}
	announce := func(a Announcement) {
		if err := c.fleets[0].Announce(t.Context(), a); err != nil {
			t.Error(err)
		}
	}
	for i := range endpoints {
		e := &fragileEndpoint{id: fmt.Sprint("e", i), crashes: crashes, started: announce}
		e.server = httptest.NewServer(e)
		t.Cleanup(e.server.Close)
		e.born.Store(1)
		announce(e.announcement())
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == endpoints })
	}
	return c, crashes
}

// checkFatal sends pairs of a sound and a fatal request through all daemons, one of which
// starts again meanwhile. Once the fleet has to know, the fatal ones are to be refused
// with the time to come back, the sound ones are to run, and few endpoints may crash.
func checkFatal(t *testing.T, c *cluster, endpoints int, crashes *atomic.Int64, sendPair func(f *Fleet, i int) (sound, fatal int, retryAfter string)) {
	t.Helper()
	const (
		// freeCrashes is the number of crashes after which the fleet has to know, and
		// maxLater the number of fatal requests that may reach endpoints later.
		freeCrashes = 5
		maxLater    = 3
	)
	for i := 0; crashes.Load() < freeCrashes && i < 4*freeCrashes; i++ {
		sendPair(c.fleets[i%len(c.fleets)], i)
		time.Sleep(20 * time.Millisecond) // endpoints crash one after the other
	}
	known := crashes.Load()
	c.stop(3)
	c.start(3, false) // a daemon that has seen none of the crashes
	c.awaitInForce(1)
	c.await("endpoints are known to the new daemon", func() bool { return c.fleets[3].endpoints.count() == endpoints })
	for i := range 20 {
		sound, fatal, retryAfter := sendPair(c.fleets[i%len(c.fleets)], i)
		if sound != http.StatusOK {
			t.Errorf("sound request %d has status %d, want 200", i, sound)
		}
		seconds, err := strconv.ParseFloat(retryAfter, 64)
		if fatal != http.StatusServiceUnavailable || err != nil || seconds <= 0 {
			t.Errorf("fatal request %d has status %d and Retry-After %q, want 503 and some seconds", i, fatal, retryAfter)
		}
	}
	if later := crashes.Load() - known; later > maxLater {
		t.Errorf("%d fatal requests reached endpoints after %d crashes, want at most %d", later, known, maxLater)
	}
}

// TestFatalPartEndsFewEndpoints guards against requests with one part in their prompts
// that end one endpoint after the other because each daemon sees only some of the
// crashes, and against refusing the requests that only share their other parts.
func TestFatalPartEndsFewEndpoints(t *testing.T) {
	const endpoints = 12
	c, crashes := newFragileCluster(t, endpoints)
	checkFatal(t, c, endpoints, crashes, func(f *Fleet, i int) (sound, fatal int, retryAfter string) {
		document := fmt.Sprint("document", i%3)
		sound, _ = sendParts(t, f, "system", document)
		fatal, h := sendParts(t, f, "system", document, fatalPart, fmt.Sprint("own", i))
		return sound, fatal, h.Get("Retry-After")
	})
}

// TestFatalRequestEndsFewEndpoints guards against a request that ends one endpoint after
// the other because each time it comes it has another ID and may come to another daemon,
// with or without a prompt, and against refusing the requests that share all parts of
// its prompt.
func TestFatalRequestEndsFewEndpoints(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []string
	}{{"without a prompt", nil}, {"with a prompt", []string{"system", "document"}}} {
		t.Run(test.name, func(t *testing.T) {
			const endpoints = 12
			c, crashes := newFragileCluster(t, endpoints)
			checkFatal(t, c, endpoints, crashes, func(f *Fleet, i int) (sound, fatal int, retryAfter string) {
				sound, _ = send(t, f, fmt.Sprint("sound", i), test.parts...)
				fatal, h := send(t, f, fatalBody, test.parts...)
				return sound, fatal, h.Get("Retry-After")
			})
		})
	}
}
