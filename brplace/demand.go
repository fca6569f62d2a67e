package brplace

import (
	"math"
	"time"
)

const (
	// lowNeed is the part of the fixed reserve below which the estimated need replaces it. One
	// daemon sees too few arrivals for a smaller difference to mean anything.
	lowNeed = 0.5

	// demandMemory is the time constant of the moving averages of the arrivals by rank, and
	// peakMemory that with which a higher earlier value is forgotten: urgent requests come
	// in waves, and slots are needed when the next one begins.
	demandMemory = 2 * time.Second
	peakMemory   = 20 * time.Second

	// needDeviations is the number of standard deviations of the requests that start and end
	// unseen which the reserve contains.
	needDeviations = 3
)

// demand is the rate at which requests for a service arrive at this daemon, by rank.
type demand struct {
	ranks    map[int]*rankDemand
	observed time.Duration // since the first arrival
}

// known reports whether the averages cover the time that they are to cover.
func (d *demand) known() bool { return d.observed >= 2*demandMemory }

type rankDemand struct {
	arrived int     // since the last update
	rate    float64 // per second, moving average
	peak    float64 // recent peak of rate
}

func (d *demand) record(rank int) {
	if d.ranks == nil {
		d.ranks = map[int]*rankDemand{}
	}
	if d.ranks[rank] == nil {
		d.ranks[rank] = &rankDemand{}
	}
	d.ranks[rank].arrived++
}

// update adds the arrivals in the time elapsed since the last update to the averages.
func (d *demand) update(elapsed time.Duration) {
	if len(d.ranks) > 0 {
		d.observed += elapsed
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandMemory))
	decay := math.Exp(-float64(elapsed) / float64(peakMemory))
	for _, r := range d.ranks {
		r.rate += weight * (float64(r.arrived)/elapsed.Seconds() - r.rate)
		r.peak = max(r.rate, decay*r.peak)
		r.arrived = 0
	}
}

// before returns the rate of the requests that are more urgent than rank, and its recent peak.
func (d *demand) before(rank int) (rate, peak float64) {
	for q, r := range d.ranks {
		if q < rank {
			rate += r.rate
			peak += r.peak
		}
	}
	return rate, peak
}

// reservedSlots returns the number of the given slots of v that are kept free of r for more
// urgent requests. A request that is late in a large fleet leaves those of one more rank free:
// a slot serves callers better whose requests can still be on time, at any daemon.
func (s *State) reservedSlots(v *service, r *Request, slots int) float64 {
	rank := float64(v.placementRank(r))
	if rank <= 0 {
		return 0
	}
	perRank := s.reserve() * float64(slots)
	reserved := rank * perRank
	if need := s.urgentNeed(v, r); need < lowNeed*reserved {
		reserved = need
	}
	if s.large() && s.now.After(r.FirstByteDue) && !r.resent() {
		reserved += perRank
	}
	return reserved
}

// urgentNeed returns the number of free slots that the requests more urgent than r need in a
// large fleet until the counts of others' requests are renewed, or infinity if it isn't
// known. Beside their arrivals it contains what the counts may miss: requests of all ranks
// that start and end. It answers a fleet whose less urgent requests are rejected although
// nobody more urgent comes.
func (s *State) urgentNeed(v *service, r *Request) float64 {
	if !s.large() || s.countsAge == 0 || !v.demand.known() {
		return math.Inf(1)
	}
	unseen := float64(len(s.daemons)) * s.countsAge.Seconds()
	_, urgent := v.demand.before(r.Rank)
	all, _ := v.demand.before(math.MaxInt)
	return unseen*urgent + needDeviations*math.Sqrt(2*unseen*all)
}
