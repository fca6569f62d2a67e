//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Header fields of PROTOCOL.md.
const (
	headerID       = "X-Bramleyroute-Request-Id"
	headerStamp    = "X-Bramleyroute-Response-Stamp"
	headerExpect   = "X-Bramleyroute-Expect-Instance"
	headerInstance = "X-Bramleyroute-Instance-Id"
	headerNotRun   = "X-Bramleyroute-Not-Executed"
	headerDeadline = "X-Bramleyroute-Deadline-Ms"
	headerTokens   = "X-Bramleyroute-Token-Count"
)

const heartbeatInterval = 1200 * time.Millisecond

// worker is a sound worker of a service.
type worker struct {
	world    *world
	id       string
	service  string
	address  string
	zone     string
	born     int64
	sequence atomic.Int64
	leaving  atomic.Bool
	silent   atomic.Bool // sends no more heartbeats
	// eventTime is the time between two events of a stream, and workTime that of a plain
	// request.
	eventTime, workTime time.Duration
	// onRun is called when a request begins to run; it may be nil.
	onRun func(id string)
}

// startWorker starts a worker that registers at the given daemons in turn.
func (w *world) startWorker(id, service, zone string, control ...*daemon) (*worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.nextIP(), "8308"))
	if err != nil {
		return nil, err
	}
	x := &worker{
		world: w, id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(),
		eventTime: 20 * time.Millisecond, workTime: 30 * time.Millisecond,
	}
	server := &http.Server{Handler: http.HandlerFunc(x.serve), IdleTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	w.atEnd(func() { server.Close() })
	w.log("worker %s of %s starts at %s", id, service, x.address)
	go x.beat(control)
	return x, nil
}

// beat sends heartbeats until the end of the process.
func (x *worker) beat(control []*daemon) {
	for i := 0; ; i++ {
		if x.silent.Load() {
			return
		}
		for tries := 0; tries < len(control); tries++ {
			if x.heartbeat(control[i%len(control)]) == http.StatusOK {
				break
			}
			i++
		}
		time.Sleep(heartbeatInterval)
	}
}

func (x *worker) heartbeat(d *daemon) int {
	state := "ready"
	if x.leaving.Load() {
		state = "draining"
	}
	b, err := json.Marshal(object{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 7, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": []object{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": x.sequence.Add(1), "born": x.born,
	})
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+d.address(controlPort)+"/-/instances/"+x.id, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Content-Type", "application/json")
	return statusOf(plain.Do(r))
}

// withdraw sends DELETE for the worker to a daemon.
func (x *worker) withdraw(d *daemon) int {
	r, err := http.NewRequest(http.MethodDelete, "http://"+d.address(controlPort)+"/-/instances/"+x.id, nil)
	if err != nil {
		panic(err)
	}
	return statusOf(plain.Do(r))
}

func (x *worker) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=5")
	if x.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		h.Set(headerInstance, x.id)
		if x.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != x.id {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.world.log("worker %s: request %s for %s arrives and runs", x.id, id, r.URL.Path)
	if x.onRun != nil {
		x.onRun(id)
	}
	h.Set(headerStamp, "stamp."+id)
	limit, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
	if err != nil {
		limit = 60000
	}
	deadline := time.After(time.Duration(limit * float64(time.Millisecond)))
	if x.service == lmService {
		x.stream(w, r, id, deadline)
		return
	}
	time.Sleep(x.workTime)
	fmt.Fprintf(w, "answer to %s\n", id)
}

// stream sends the events of a generation; three tokens make an event.
func (x *worker) stream(w http.ResponseWriter, r *http.Request, id string, deadline <-chan time.Time) {
	_, out, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, err := strconv.Atoi(out)
	if err != nil {
		tokens = 30
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	began := time.Now()
	for i := 1; i <= tokens/3; i++ {
		select {
		case <-time.After(x.eventTime):
		case <-deadline:
			x.world.log("worker %s: request %s stops at its deadline", x.id, id)
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			x.world.log("worker %s: request %s ends after event %d and %v, since its connection was closed", x.id, id, i-1, time.Since(began).Round(time.Millisecond))
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		if control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	x.world.log("worker %s: request %s is complete after %v", x.id, id, time.Since(began).Round(time.Millisecond))
}
