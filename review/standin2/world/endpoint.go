//go:build review

package world

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that an endpoint has run.
type Run struct {
	ID, Endpoint, Tenant, Path string
	At                         time.Time
}

// Endpoint is a worker.
type Endpoint struct {
	ID, Address, Service, Version, Zone string
	Slots                               int
	Born                                int64
	Work                                time.Duration
	// Handle answers a request in place of a plain answer after Work. It may be nil.
	Handle func(w http.ResponseWriter, r *http.Request)

	world    *World
	mu       sync.Mutex
	sequence int
	state    string
	Runs     []Run
	stop     chan struct{}
	listener net.Listener
}

// AddEndpoint starts an endpoint with the last byte n of its address, which beats at the
// daemons in turn.
func (w *World) AddEndpoint(n int, service string, x *Endpoint) *Endpoint {
	x.world, x.Service = w, service
	x.Address = fmt.Sprintf("%s%d:8126", w.Net, n)
	if x.ID == "" {
		x.ID = fmt.Sprintf("i-%06x%02d", time.Now().UnixNano()&0xffffff, n)
	}
	if x.Version == "" {
		x.Version = "v1"
	}
	if x.Slots == 0 {
		x.Slots = 7
	}
	x.Zone = "z1"
	x.Born = time.Now().UnixMilli()
	x.state = "ready"
	x.stop = make(chan struct{})
	l, err := net.Listen("tcp", x.Address)
	Must(err)
	x.listener = l
	go http.Serve(l, x)
	go x.beat()
	return x
}

// ServeHTTP runs a request as the pages say.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Bramleyroute-Instance-Id", e.ID)
		return
	}
	id := r.Header.Get("X-Bramleyroute-Request-Id")
	w.Header().Set("X-Bramleyroute-Request-Id", id)
	if want := r.Header.Get("X-Bramleyroute-Expect-Instance"); want != "" && want != e.ID {
		w.Header().Set("X-Bramleyroute-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.Runs = append(e.Runs, Run{id, e.ID, r.Header.Get("X-Bramleyroute-Tenant"), r.URL.Path, time.Now()})
	e.mu.Unlock()
	e.world.Logf("%s runs %s, body of %d bytes", e.ID, id, n)
	if e.Handle != nil {
		e.Handle(w, r)
		return
	}
	time.Sleep(e.Work)
	w.Header().Set("X-Bramleyroute-Response-Stamp", "stamp-"+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// RunsOf returns the number of runs of a request.
func (e *Endpoint) AllRuns() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run{}, e.Runs...)
}

// Body returns the body of the next heartbeat.
func (e *Endpoint) Body() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b, err := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.Born,
	})
	Must(err)
	return b
}

func (e *Endpoint) beat() {
	for i := 0; ; i++ {
		body := e.Body()
		for j := range e.world.Daemons {
			d := e.world.Daemons[(i+j)%len(e.world.Daemons)]
			if d.Ended() {
				continue
			}
			if status, _ := e.world.Call("PUT", d.Control(), "/-/instances/"+e.ID, body); status/100 == 2 {
				break
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Drain makes the endpoint say that it leaves, at once and in its later heartbeats. It goes on
// serving for drain_timeout_ms after the acknowledgement and a little longer, and then goes.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	go func() {
		body := e.Body()
		for acknowledged := false; !acknowledged; {
			for _, d := range e.world.Daemons {
				if status, _ := e.world.Call("PUT", d.Control(), "/-/instances/"+e.ID, body); status/100 == 2 {
					e.world.Logf("%s has acknowledged that %s leaves", d.Name, e.ID)
					acknowledged = true
					break
				}
			}
		}
		time.Sleep(2500 * time.Millisecond)
		close(e.stop)
		for _, d := range e.world.Daemons {
			if status, _ := e.world.Call("DELETE", d.Control(), "/-/instances/"+e.ID, nil); status/100 == 2 {
				break
			}
		}
		e.world.Logf("%s has gone", e.ID)
		e.listener.Close()
	}()
}

// StopBeating ends the heartbeats.
func (e *Endpoint) StopBeating() { close(e.stop) }
