package brsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	changeInterval  = 1200 * time.Millisecond
	readInterval    = 60 * time.Millisecond
	operatorTimeout = time.Second
	// applyTime is the time after its acknowledgement by which a policy is in
	// force at every daemon in touch, and calmTime how long before that nothing
	// may have been disturbed for the check to count.
	applyTime = 2500 * time.Millisecond
	calmTime  = 2 * time.Second
	// keptProbes is how many versions' own routes a policy has.
	keptProbes = 8
)

// operate changes the policy until ctx ends. A change without a clear answer is
// sent again, to any daemon.
func (r *run) operate(ctx context.Context) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		if r.put(ctx, version) {
			r.wg.Go(func() { r.checkInForce(ctx, version, time.Now()) })
		}
		sleep(ctx, changeInterval)
	}
}

// put sends a policy until it is acknowledged, and reports false if ctx ends first.
func (r *run) put(ctx context.Context, version uint64) bool {
	p := Policy{Version: version}
	for v := max(1, version-min(version, keptProbes)+1); v <= version; v++ {
		p.Probes = append(p.Probes, v)
	}
	for ctx.Err() == nil {
		_, address := r.anyDaemon()
		req, err := r.adapter.Config(address.Control, p)
		if err != nil {
			panic(fmt.Sprintf("brsoak: policy: %v", err))
		}
		status, _, err := r.do(ctx, req, operatorTimeout)
		if err == nil && status == http.StatusOK {
			r.history.Acknowledged(version)
			return true
		}
		if err == nil && status < http.StatusInternalServerError {
			r.history.Breaks(ConfigIsNewest, fmt.Sprintf("policy %d was refused with status %d", version, status))
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// checkInForce looks for a policy's own route at every daemon once it must be in
// force, if nothing was disturbed meanwhile.
func (r *run) checkInForce(ctx context.Context, version uint64, acked time.Time) {
	sleep(ctx, applyTime)
	for i := range r.procs {
		if ctx.Err() != nil || !r.history.Calm(acked.Add(-calmTime)) {
			return
		}
		req, err := r.adapter.Probe(r.addresses[i].Callers, version, fmt.Sprintf("probe-%d-%d", version, i))
		if err != nil {
			panic(fmt.Sprintf("brsoak: probe: %v", err))
		}
		status, _, err := r.do(ctx, req, operatorTimeout)
		if err == nil && status == http.StatusNotFound && r.history.Calm(acked.Add(-calmTime)) {
			r.history.Breaks(ConfigApplies, fmt.Sprintf("policy %d at daemon %d, %v after its acknowledgement", version, i, time.Since(acked)))
		}
	}
}

// read reads the policy at one daemon after the other until ctx ends.
func (r *run) read(ctx context.Context) {
	for ctx.Err() == nil {
		i, address := r.anyDaemon()
		r.readAt(ctx, i, address)
		sleep(ctx, readInterval)
	}
}

// readAt reads the policy at a daemon and reports whether it showed one.
func (r *run) readAt(ctx context.Context, i int, address Addresses) bool {
	least := r.history.Newest()
	req, err := r.adapter.ReadConfig(address.Control)
	if err != nil {
		panic(fmt.Sprintf("brsoak: read: %v", err))
	}
	status, text, err := r.do(ctx, req, operatorTimeout)
	if err != nil || status != http.StatusOK {
		return false
	}
	version, err := r.adapter.Version(text)
	if err != nil {
		r.history.Breaks(ConfigIsNewest, fmt.Sprintf("daemon %d: %v", i, err))
		return false
	}
	r.history.Reads(i, version, least)
	return true
}

// do sends a request of an operator or an endpoint on a new connection.
func (r *run) do(ctx context.Context, req *http.Request, timeout time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req = req.WithContext(ctx)
	req.Close = true
	a, err := r.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	body, err = io.ReadAll(a.Body)
	return a.StatusCode, body, err
}
