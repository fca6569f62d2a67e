package brplace

import (
	"math"
	"time"
)

const (
	// flowMemory is the time constant of the moving averages of an endpoint's flow, which
	// contains several reports of each daemon and several requests.
	flowMemory = 2 * time.Second

	// priorRequests is the weight, in requests, of the work of the whole service in that of
	// one endpoint. An endpoint that has completed nothing for a while counts as an average
	// one.
	priorRequests = 2

	// flowRetention is the time that an endpoint without running requests stays in the
	// reports of its flow: longer than the interval between two reports in the largest fleets,
	// so that each request that has ended is soon counted.
	flowRetention = 2 * time.Second
)

// flow is the flow of requests through an endpoint, over all daemons. The averages cover
// flowMemory and start at 0.
type flow struct {
	ended    float64           // requests that end in a second
	busy     float64           // slots in use
	recent   uint64            // requests that have ended since the last tick
	endedAt  map[string]uint64 // counter of ended requests by daemon, also while it reports no usage
	work     time.Duration     // mean time in a slot; 0 if unknown
	capacity float64           // requests that it completes in a second; 0 if unknown
}

// recordReport counts the requests that have ended since the last report of a daemon that
// contains the endpoint. A daemon that uses it rarely leaves it out of some of its reports.
// The first report of an endpoint by a daemon that has reported others counts one request,
// since the counter may cover any time.
func (f *flow) recordReport(daemon string, ended uint64, reportedOthers bool) {
	switch last, known := f.endedAt[daemon]; {
	case known && ended > last:
		f.recent += ended - last
	case !known && ended > 0 && reportedOthers:
		f.recent++
	}
	if f.endedAt == nil {
		f.endedAt = map[string]uint64{}
	}
	f.endedAt[daemon] = ended
}

// update adds what happened in the time elapsed since the last update to the averages.
func (f *flow) update(elapsed time.Duration, busy int) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(flowMemory))
	f.ended += weight * (float64(f.recent)/elapsed.Seconds() - f.ended)
	f.busy += weight * (float64(busy) - f.busy)
	f.recent = 0
}

// estimate derives work and capacity, given the work of the whole service, its ratio to the
// time in a slot by the flows, and the number of requests that the endpoint takes at a time.
func (f *flow) estimate(work time.Duration, ratio float64, window int) {
	requests := f.ended*flowMemory.Seconds() + priorRequests
	slotTime := ratio*f.busy*flowMemory.Seconds() + priorRequests*work.Seconds()
	f.work = max(minWork, time.Duration(slotTime/requests*float64(time.Second)))
	f.capacity = float64(window) / f.work.Seconds()
}
