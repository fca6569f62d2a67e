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
	// applyTimeout is the time after its acknowledgement by which every connected
	// daemon must have applied a policy. The check counts only if no daemon was
	// disturbed from quietPeriod before the acknowledgement.
	applyTimeout = 2500 * time.Millisecond
	quietPeriod  = 2 * time.Second
	// maxProbes is the number of versions that have probe routes in a policy.
	maxProbes = 8
)

// runOperator changes the policy until ctx ends. A change without an acknowledgement
// is sent again to a random daemon.
func (r *run) runOperator(ctx context.Context) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		if r.putPolicy(ctx, version) {
			r.wg.Go(func() { r.checkPolicyApplied(ctx, version, time.Now()) })
		}
		sleep(ctx, changeInterval)
	}
}

// putPolicy sends a policy until it is acknowledged. It returns false if ctx ends
// first.
func (r *run) putPolicy(ctx context.Context, version uint64) bool {
	p := Policy{Version: version}
	for v := max(1, version-min(version, maxProbes)+1); v <= version; v++ {
		p.Probes = append(p.Probes, v)
	}
	for ctx.Err() == nil {
		_, address := r.randomDaemon()
		req, err := r.adapter.Config(address.Control, p)
		if err != nil {
			panic(fmt.Sprintf("brsoak: create policy request: %v", err))
		}
		status, _, err := r.send(ctx, req, operatorTimeout)
		if err == nil && status == http.StatusOK {
			r.history.RecordAcknowledged(version)
			return true
		}
		if err == nil && status < http.StatusInternalServerError {
			r.history.RecordViolation(ReadsAreCurrent, fmt.Sprintf("policy %d was refused with status %d", version, status))
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// checkPolicyApplied waits for applyTimeout and then requests the probe route of a
// policy at every daemon. It skips the check if a daemon was disturbed meanwhile.
func (r *run) checkPolicyApplied(ctx context.Context, version uint64, acked time.Time) {
	sleep(ctx, applyTimeout)
	for i := range r.processes {
		if ctx.Err() != nil || !r.history.Undisturbed(acked.Add(-quietPeriod)) {
			return
		}
		req, err := r.adapter.Probe(r.addresses[i].Callers, version, fmt.Sprintf("probe-%d-%d", version, i))
		if err != nil {
			panic(fmt.Sprintf("brsoak: create probe request: %v", err))
		}
		status, _, err := r.send(ctx, req, operatorTimeout)
		if err == nil && status == http.StatusNotFound && r.history.Undisturbed(acked.Add(-quietPeriod)) {
			r.history.RecordViolation(ConfigIsApplied, fmt.Sprintf("policy %d is not applied at daemon %d, %v after its acknowledgement", version, i, time.Since(acked)))
		}
	}
}

// runReader reads the policy at random daemons until ctx ends.
func (r *run) runReader(ctx context.Context) {
	for ctx.Err() == nil {
		i, address := r.randomDaemon()
		r.readPolicy(ctx, i, address)
		sleep(ctx, readInterval)
	}
}

// readPolicy reads the policy at a daemon and reports whether the daemon returned
// one.
func (r *run) readPolicy(ctx context.Context, i int, address Addresses) bool {
	minVersion := r.history.NewestAcknowledged()
	req, err := r.adapter.ReadConfig(address.Control)
	if err != nil {
		panic(fmt.Sprintf("brsoak: create read request: %v", err))
	}
	status, text, err := r.send(ctx, req, operatorTimeout)
	if err != nil || status != http.StatusOK {
		return false
	}
	version, err := r.adapter.Version(text)
	if err != nil {
		r.history.RecordViolation(ReadsAreCurrent, fmt.Sprintf("daemon %d: %v", i, err))
		return false
	}
	r.history.RecordRead(i, version, minVersion)
	return true
}

// send sends a request of an operator or an endpoint on a new connection.
func (r *run) send(ctx context.Context, req *http.Request, timeout time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req = req.WithContext(ctx)
	req.Close = true
	response, err := r.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
