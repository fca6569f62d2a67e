package brsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	evacuationTime     = 8 * time.Second // longer than evacuationLimit
	evacuationInterval = 2 * time.Second // between a withdrawal and the next order
	failureDomains     = 3
)

// runEvacuations evacuates one failure domain after the other until ctx ends. The last
// evacuation may stay in force.
func (r *run) runEvacuations(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		domain := fmt.Sprint("zone-", i%failureDomains)
		if r.order(ctx, domain, r.adapter.Evacuate) {
			r.history.RecordEvacuation(domain, time.Now())
		}
		sleep(ctx, evacuationTime)
		r.history.RecordEvacuationEnd(domain)
		r.order(ctx, domain, r.adapter.EndEvacuation)
		sleep(ctx, evacuationInterval)
	}
}

// order sends an order for a failure domain to random daemons until it is acknowledged. It
// returns false if ctx ends first.
func (r *run) order(ctx context.Context, domain string, request func(address, domain string) (*http.Request, error)) bool {
	for ctx.Err() == nil {
		_, address := r.randomDaemon()
		req, err := request(address.Control, domain)
		if err != nil {
			panic(fmt.Sprintf("brsoak: create order: %v", err))
		}
		status, _, err := r.send(ctx, req, operatorTimeout)
		if err == nil && status == http.StatusOK {
			return true
		}
		if err == nil && status < http.StatusInternalServerError {
			r.history.RecordViolation(EvacuationsHold, fmt.Sprintf("%s %s was refused with status %d", req.Method, domain, status))
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}
