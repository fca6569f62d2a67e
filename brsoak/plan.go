package brsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of fault. Fault.Target is the index of a daemon or of an endpoint.
const (
	Kill            FaultKind = iota // kills the daemon with SIGKILL and restarts it after Duration
	Terminate                        // stops the daemon with SIGTERM and restarts it after Duration
	Freeze                           // stops the daemon with SIGSTOP for Duration
	Reload                           // sends SIGHUP to the daemon
	KillAll                          // kills all daemons and restarts them after Duration
	LoseDisk                         // kills the daemon, deletes its data directory and restarts it after Duration
	DisruptPeers                     // sets Mode on the links to the daemon for Duration
	DisruptEndpoint                  // sets Mode on the connections to the endpoint for Duration
	AbortResponses                   // makes the endpoint abort half of its responses, immediately or halfway, for Duration
	CrashEndpoint                    // ends the endpoint without an announcement and starts a new one
	DrainEndpoint                    // announces that the endpoint leaves, drains it and starts a new one
	numFaultKinds
)

// String returns the snake-case name of a.
func (k FaultKind) String() string {
	return [...]string{"kill", "terminate", "freeze", "reload", "kill_all", "lose_disk", "cut_peers", "cut_endpoint",
		"break_endpoint", "crash_endpoint", "drain_endpoint"}[k]
}

// Fault is one scheduled fault.
type Fault struct {
	At       time.Duration // offset from the start of traffic
	Kind     FaultKind
	Target   int           // index of the daemon or endpoint; ignored by KillAll
	Duration time.Duration // how long the fault lasts
	Mode     Mode          // proxy mode of DisruptPeers and DisruptEndpoint
}

// String returns a one-line description of f.
func (f Fault) String() string {
	return fmt.Sprintf("%v %v %d for %v %v", f.At, f.Kind, f.Target, f.Duration, f.Mode)
}

// Size is the size of a fleet.
type Size struct {
	Daemons   int
	Replicas  int // number of daemons that hold a replica; these come first
	Endpoints int
}

const (
	// faultWindow is the interval after the start of traffic in which faults begin.
	faultWindow = 14 * time.Second
	// minFaultDuration and maxFaultDuration limit the duration of a fault. The range
	// covers the times after which leases expire and replicas are replaced.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaults        = 12
	minFaults        = 4
)

// Plan returns the faults of a seed, sorted by time. Faults may overlap and repeat.
// At most one disk is lost, since the fleet tolerates the loss of only one at a
// time. Plan panics if size has no daemons, replicas or endpoints.
func Plan(seed uint64, size Size) []Fault {
	if size.Daemons < 1 || size.Replicas < 1 || size.Endpoints < 1 {
		panic("brsoak: fleet size must be positive")
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, minFaults+rng.IntN(maxFaults-minFaults+1))
	diskLost := false
	for i := range faults {
		f := Fault{
			At:       randomDuration(rng, faultWindow),
			Kind:     FaultKind(rng.IntN(int(numFaultKinds))),
			Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration),
			Mode:     Mode(1 + rng.IntN(int(numModes)-1)),
		}
		if f.Kind == LoseDisk && diskLost {
			f.Kind = Kill
		}
		switch f.Kind {
		case LoseDisk:
			diskLost = true
			f.Target = rng.IntN(size.Replicas)
		case DisruptEndpoint, AbortResponses, CrashEndpoint, DrainEndpoint:
			f.Target = rng.IntN(size.Endpoints)
		default:
			f.Target = rng.IntN(size.Daemons)
		}
		faults[i] = f
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// randomDuration returns a random duration between 0 and d, rounded to whole
// milliseconds.
func randomDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d))).Round(time.Millisecond)
}
