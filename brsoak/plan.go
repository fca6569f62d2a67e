package brsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Act is what a fault does.
type Act uint8

// The acts. Those on daemons and on endpoints name their target by its number.
const (
	Kill          Act = iota // the daemon is killed and started again after For
	Terminate                // the daemon is stopped as an operator does, and started again
	Freeze                   // the daemon is stopped with SIGSTOP for For
	Reload                   // the daemon gets SIGHUP
	KillAll                  // all daemons are killed and started again after For
	LoseDisk                 // the daemon is killed, loses its data folder and starts again
	CutPeers                 // links to the daemon get Mode for For
	CutEndpoint              // connections to the endpoint get Mode for For
	BreakEndpoint            // the endpoint breaks half of its answers off, at once or halfway, for For
	CrashEndpoint            // the endpoint ends without a word and another one starts
	DrainEndpoint            // the endpoint announces that it leaves, leaves and another one starts
	acts
)

// String returns the name of a.
func (a Act) String() string {
	return [...]string{"kill", "terminate", "freeze", "reload", "kill_all", "lose_disk", "cut_peers", "cut_endpoint",
		"break_endpoint", "crash_endpoint", "drain_endpoint"}[a]
}

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration // since the start of traffic
	Act    Act
	Target int
	For    time.Duration
	Mode   Mode
}

// String returns what the fault does in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v %v %d for %v %v", f.At, f.Act, f.Target, f.For, f.Mode)
}

// Size is how many of each there are.
type Size struct {
	Daemons   int
	Replicas  int // the first daemons
	Endpoints int
}

const (
	// faultTime is the time in which the faults of a plan begin.
	faultTime = 14 * time.Second
	// shortestFault and longestFault bound how long a fault lasts: around the
	// times after which leases end and replicas are replaced.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	mostFaults    = 12
	leastFaults   = 4
)

// Plan returns the faults of a seed, in order of time. They overlap and repeat. At
// most one disk is lost, as the fleet bears the loss of one at a time. Plan panics
// if there are no daemons, replicas or endpoints.
func Plan(seed uint64, size Size) []Fault {
	if size.Daemons < 1 || size.Replicas < 1 || size.Endpoints < 1 {
		panic("brsoak: plan for an empty fleet")
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, leastFaults+rng.IntN(mostFaults-leastFaults+1))
	lost := false
	for i := range faults {
		f := Fault{
			At:   upTo(rng, faultTime),
			Act:  Act(rng.IntN(int(acts))),
			For:  shortestFault + upTo(rng, longestFault-shortestFault),
			Mode: Mode(1 + rng.IntN(int(modes)-1)),
		}
		if f.Act == LoseDisk && lost {
			f.Act = Kill
		}
		switch f.Act {
		case LoseDisk:
			lost = true
			f.Target = rng.IntN(size.Replicas)
		case CutEndpoint, BreakEndpoint, CrashEndpoint, DrainEndpoint:
			f.Target = rng.IntN(size.Endpoints)
		default:
			f.Target = rng.IntN(size.Daemons)
		}
		faults[i] = f
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// upTo returns a time below d, in whole milliseconds.
func upTo(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d))).Round(time.Millisecond)
}
