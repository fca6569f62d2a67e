package brrollout

import (
	"math"
	"time"
)

// Phase is the phase of a rollout.
type Phase string

// Phases of a rollout. Finished and RolledBack are final outcomes. Orders to the
// endpoints that still serve the other version continue after the outcome.
const (
	Pending    Phase = ""
	Running    Phase = "running"
	Finished   Phase = "finished"
	RolledBack Phase = "taken_back"
)

// Placement is the state of an endpoint within a rollout.
type Placement string

// Placements of an endpoint.
const (
	Serving Placement = "serving" // serves Endpoint.Version
	Loading Placement = "loading" // has been ordered to load Endpoint.LoadingVersion
	Lost    Placement = "lost"    // no longer announced
)

// Target describes an endpoint of the rollout's model.
type Target struct {
	ID             string `cbor:"id"`
	FailureDomain  string `cbor:"failure_domain"`
	ChecksFencing  bool   `cbor:"checks_fencing"`
	CapacityTokens int    `cbor:"capacity_tokens"` // 0 if unknown
	Version        string `cbor:"version"`         // version being served
}

// Endpoint is a Target with the rollout's state for it.
type Endpoint struct {
	Target
	Placement      Placement `cbor:"placement"`
	LoadingVersion string    `cbor:"loads,omitempty"` // version being loaded
	Attempt        int       `cbor:"attempt"`         // number of loads attempted
	OrderedAt      time.Time `cbor:"ordered_at"`      // time at which the order was last sent
	LoadingAt      time.Time `cbor:"loading_at"`      // start of the load
	Accepted       bool      `cbor:"accepted"`        // the endpoint accepted the current order
	RetryAt        time.Time `cbor:"retry_at"`        // earliest time of the next order
	ReadAt         time.Time `cbor:"read_at"`         // time of the last ReadState effect
	Confirmed      bool      `cbor:"confirmed"`       // the state was read after the former lease ended
}

// FailTest is a sequential test of a failure rate. Score is its log likelihood
// ratio.
type FailTest struct {
	Failed    int     `cbor:"failed"`
	Succeeded int     `cbor:"done"`
	Score     float64 `cbor:"score"`
}

// withResults returns f after the given numbers of failures and successes.
func (f FailTest) withResults(failed int, succeeded int) FailTest {
	f.Failed, f.Succeeded = f.Failed+failed, f.Succeeded+succeeded
	f.Score += float64(failed)*math.Log(badRate/flakyRate) + float64(succeeded)*math.Log((1-badRate)/(1-flakyRate))
	f.Score = max(f.Score, minFailScore)
	return f
}

// reliable reports whether there was no failure or the score is low enough to raise
// the new version's share.
func (f FailTest) reliable() bool { return f.Failed == 0 || f.Score <= reliableThreshold }

// doubtful reports whether the score is too high to risk more traffic for the test.
func (f FailTest) doubtful() bool { return f.Score > doubtThreshold }

// Load is the outstanding work of one pool, route and version, as last reported by
// a scheduler.
type Load struct {
	Pool        string `cbor:"pool"`
	Route       string `cbor:"route"`
	Version     string `cbor:"version"`
	Outstanding int    `cbor:"outstanding"` // tokens
}

// State is the state of one rollout. It is stored as CBOR in the replicated control
// state. Step never modifies the State that it is given. The zero State is a
// rollout that has not started.
type State struct {
	RolloutID  string    `cbor:"rollout_id"`
	Model      string    `cbor:"model"`
	OldVersion string    `cbor:"old_version"`
	NewVersion string    `cbor:"new_version"`
	StartedAt  time.Time `cbor:"started_at"`
	FinishBy   time.Time `cbor:"finish_by"`
	LoadBytes  int64     `cbor:"load_bytes"` // bytes read from the weight store per load

	Phase   Phase     `cbor:"phase"`
	Reason  string    `cbor:"reason,omitempty"`
	EndedAt time.Time `cbor:"ended_at"`

	LoadFails  FailTest `cbor:"load_fails"`  // of loads of the new version
	OrderFails FailTest `cbor:"order_fails"` // of orders to load it

	FencingToken   uint64    `cbor:"fencing_token"`
	FormerLeaseEnd time.Time `cbor:"former_lease_by"`
	Budget         Budget    `cbor:"budget"`

	Stage        int       `cbor:"stage"`             // index into Stages
	StageSince   time.Time `cbor:"stage_since"`       // time at which the share first reached the stage's; zero before
	StageLoaded  int       `cbor:"stage_loaded"`      // requests of the new version at the stage's share under load
	Share        int       `cbor:"share"`             // per mille, as last set
	Throttled    bool      `cbor:"saving"`            // share reduced to keep the exposure within exposureLimit
	Suspect      bool      `cbor:"suspect"`           // the Judge holds growth
	Unclear      bool      `cbor:"unclear,omitempty"` // Verdict.Unclear
	DoubtReason  string    `cbor:"doubted,omitempty"` // reason of the last Verdict that is Doubtful
	SettledAt    time.Time `cbor:"settled_at"`        // until then the share was raised recently; see Judge.WithSettling
	SettledShare int       `cbor:"settled_share"`     // share from which a growth is measured

	FormerShare    int       `cbor:"former_share,omitempty"` // highest share before the recent falls
	FormerShareEnd time.Time `cbor:"former_share_end"`       // until then requests sent at FormerShare may end

	Judge        Judge      `cbor:"judge"`
	Endpoints    []Endpoint `cbor:"endpoints"`
	Loads        []Load     `cbor:"loads"`
	SmoothedLoad float64    `cbor:"smoothed"` // moving average of the outstanding tokens of all versions
	PeakLoad     float64    `cbor:"peak"`     // maximum of SmoothedLoad
	TickedAt     time.Time  `cbor:"ticked_at"`
	HoldReason   string     `cbor:"held,omitempty"` // last noted reason for holding growth
}

// Ended reports whether the outcome is decided.
func (s State) Ended() bool { return s.Phase == Finished || s.Phase == RolledBack }

// Settled reports whether the outcome is decided and every endpoint that is not
// lost serves the version of that outcome. No effects follow then.
func (s State) Settled() bool {
	if !s.Ended() {
		return false
	}
	for _, e := range s.Endpoints {
		if e.Placement != Lost && (e.Placement != Serving || e.Version != s.finalVersion()) {
			return false
		}
	}
	return true
}

// LoadsPending reports whether loads may follow: the rollout is running, an endpoint
// is loading, or an endpoint still serves the version that the outcome replaces.
func (s State) LoadsPending() bool {
	if !s.Ended() {
		return s.Phase == Running
	}
	replacedVersion := s.NewVersion
	if s.Phase == Finished {
		replacedVersion = s.OldVersion
	}
	for _, e := range s.Endpoints {
		if e.Placement == Loading || e.Placement == Serving && e.Version == replacedVersion {
			return true
		}
	}
	return false
}

// Exposure returns the fraction of all ended requests that the new version served,
// in the range 0 to 1.
func (s State) Exposure() float64 {
	oldCounts, newCounts := s.Judge.Totals()
	if newCounts.Requests == 0 {
		return 0
	}
	return float64(newCounts.Requests) / float64(newCounts.Requests+oldCounts.Requests)
}

func (s State) finalVersion() string {
	if s.Phase == Finished {
		return s.NewVersion
	}
	return s.OldVersion
}

// countEndpoints returns the number of endpoints that serve version and the number
// of endpoints that are loading any version.
func (s *State) countEndpoints(version string) (serving, loading int) {
	for i := range s.Endpoints {
		switch e := &s.Endpoints[i]; {
		case e.Placement == Loading:
			loading++
		case e.Placement == Serving && e.Version == version:
			serving++
		}
	}
	return serving, loading
}

// presentEndpoints returns the number of endpoints that are not lost.
func (s *State) presentEndpoints() int {
	n := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].Placement != Lost {
			n++
		}
	}
	return n
}
