package brrollout

import (
	"math"
	"time"
)

// Phase is where a rollout stands.
type Phase string

// The phases. Finished and TakenBack are final for the outcome; orders to the
// endpoints that still serve the other version go on after them.
const (
	Pending   Phase = ""
	Running   Phase = "running"
	Finished  Phase = "finished"
	TakenBack Phase = "taken_back"
)

// Placement is what an endpoint has been asked to serve and serves.
type Placement string

// The placements.
const (
	Serving Placement = "serving" // serves Endpoint.Version
	Loading Placement = "loading" // an order to load Endpoint.Target is out
	Lost    Placement = "lost"    // not announced any more
)

// Target describes an endpoint of the rollout's model.
type Target struct {
	ID             string `cbor:"id"`
	FailureDomain  string `cbor:"failure_domain"`
	ChecksFencing  bool   `cbor:"checks_fencing"`
	CapacityTokens int    `cbor:"capacity_tokens"` // 0 if unknown
	Version        string `cbor:"version"`         // served now
}

// Endpoint is a Target with what the rollout knows and did about it.
type Endpoint struct {
	Target
	Placement Placement `cbor:"placement"`
	Loads     string    `cbor:"loads,omitempty"` // version being loaded
	Attempt   int       `cbor:"attempt"`         // loads tried
	OrderedAt time.Time `cbor:"ordered_at"`      // when the order was last sent
	LoadingAt time.Time `cbor:"loading_at"`      // when the load began
	Accepted  bool      `cbor:"accepted"`        // the order in progress was accepted
	RetryAt   time.Time `cbor:"retry_at"`        // no order before this
	ReadAt    time.Time `cbor:"read_at"`         // when the last read back was asked for
	Confirmed bool      `cbor:"confirmed"`       // the state was read back after the former lease
}

// FailTest is the log likelihood ratio of a sequential test, with its counts.
type FailTest struct {
	Failed int     `cbor:"failed"`
	Done   int     `cbor:"done"`
	Score  float64 `cbor:"score"`
}

func (f FailTest) after(failed int, done int) FailTest {
	f.Failed, f.Done = f.Failed+failed, f.Done+done
	f.Score += float64(failed)*math.Log(badRate/flakyRate) + float64(done)*math.Log((1-badRate)/(1-flakyRate))
	f.Score = max(f.Score, failFloor)
	return f
}

func (f FailTest) trusted() bool { return f.Failed == 0 || f.Score <= trustLimit }

func (f FailTest) doubtful() bool { return f.Score > doubtLimit }

// Load is the last outstanding work that one scheduler reported.
type Load struct {
	Pool        string `cbor:"pool"`
	Route       string `cbor:"route"`
	Version     string `cbor:"version"`
	Outstanding int    `cbor:"outstanding"` // tokens
}

// State is one rollout. It is a value that is stored as CBOR in the replicated
// control state; Step never changes the State that it is given. The zero State
// is a rollout that has not been started.
type State struct {
	RolloutID  string    `cbor:"rollout_id"`
	Model      string    `cbor:"model"`
	OldVersion string    `cbor:"old_version"`
	NewVersion string    `cbor:"new_version"`
	StartedAt  time.Time `cbor:"started_at"`
	FinishBy   time.Time `cbor:"finish_by"`
	LoadBytes  int64     `cbor:"load_bytes"` // read from the weight store per load

	Phase   Phase     `cbor:"phase"`
	Reason  string    `cbor:"reason,omitempty"`
	EndedAt time.Time `cbor:"ended_at"`

	LoadFails  FailTest `cbor:"load_fails"`  // of loads of the new version
	OrderFails FailTest `cbor:"order_fails"` // of orders to load it

	FencingToken  uint64    `cbor:"fencing_token"`
	FormerLeaseBy time.Time `cbor:"former_lease_by"`
	Budget        Budget    `cbor:"budget"`

	Stage        int       `cbor:"stage"`             // index into Stages
	StageSince   time.Time `cbor:"stage_since"`       // when the share first was the stage's; zero before
	StageLoaded  int       `cbor:"stage_loaded"`      // new version's requests at the stage's share under load
	Share        int       `cbor:"share"`             // per mille, as last set
	Saving       bool      `cbor:"saving"`            // early share kept at the least to stay within exposureLimit
	Suspect      bool      `cbor:"suspect"`           // the Judge is not content
	Doubted      string    `cbor:"doubted,omitempty"` // why the Judge once was near to calling the version worse
	SettledAt    time.Time `cbor:"settled_at"`        // samples before this are not weighed
	SettledShare int       `cbor:"settled_share"`     // share that the samples are settled at

	Judge     Judge      `cbor:"judge"`
	Endpoints []Endpoint `cbor:"endpoints"`
	Loads     []Load     `cbor:"loads"`
	Smoothed  float64    `cbor:"smoothed"` // outstanding tokens of all versions, averaged
	Peak      float64    `cbor:"peak"`     // highest Smoothed
	TickedAt  time.Time  `cbor:"ticked_at"`
	Held      string     `cbor:"held,omitempty"` // why growth is held, as last noted
}

// Ended reports whether the outcome is decided.
func (s State) Ended() bool { return s.Phase == Finished || s.Phase == TakenBack }

// Settled reports whether the outcome is decided and every endpoint that is not
// lost serves the version of that outcome, so that no effects follow.
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

// Moving reports whether loads may follow: the outcome is open, or an endpoint
// loads or still serves the version that the outcome replaces.
func (s State) Moving() bool {
	if !s.Ended() {
		return s.Phase == Running
	}
	replaced := s.NewVersion
	if s.Phase == Finished {
		replaced = s.OldVersion
	}
	for _, e := range s.Endpoints {
		if e.Placement == Loading || e.Placement == Serving && e.Version == replaced {
			return true
		}
	}
	return false
}

// Exposure returns the part of all ended requests that the new version had.
func (s State) Exposure() float64 {
	old, fresh := s.Judge.Totals()
	if fresh.Requests == 0 {
		return 0
	}
	return float64(fresh.Requests) / float64(fresh.Requests+old.Requests)
}

func (s State) finalVersion() string {
	if s.Phase == Finished {
		return s.NewVersion
	}
	return s.OldVersion
}

// count returns how many endpoints serve version, and how many load any.
func (s *State) count(version string) (serving, loading int) {
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

func (s *State) present() int {
	n := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].Placement != Lost {
			n++
		}
	}
	return n
}
