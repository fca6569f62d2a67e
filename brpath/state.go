package brpath

import (
	"slices"
	"time"
)

const (
	// minLostPaths is the number of endpoints with a lost path from which on a daemon
	// counts as partitioned. One endpoint may be cut off by itself.
	minLostPaths = 2
	// minTrialInterval and maxTrialInterval limit the time between two direct dials to
	// find out whether a lost path is back. The interval doubles with each.
	minTrialInterval = 250 * time.Millisecond
	maxTrialInterval = time.Second
	// relayPause is the time for which a relay isn't used that couldn't relay.
	relayPause = time.Second
	// recentFailure is the time for which a failed direct dial speaks against the path
	// rather than against the next endpoint that can't be reached.
	recentFailure = time.Second
	// remoteCost is the number of tunnels by which a relay in another failure domain must
	// be less used to be preferred: it adds two crossings between failure domains.
	remoteCost = 4
)

// Relay is a daemon through which endpoints may be reached.
type Relay struct {
	Daemon        string // ID
	Address       string // host:port of its peer listener
	FailureDomain string
}

// Config configures a State.
type Config struct {
	FailureDomain string         // of this daemon
	Random        func() float64 // returns uniform values in [0, 1); required
}

// State is what a daemon knows of its paths to endpoints. It isn't safe for concurrent
// use.
type State struct {
	cfg       Config
	relays    []Relay
	endpoints map[string]*path     // by address; only those whose path may be lost
	lost      map[string]struct{}  // addresses with a path lost since the last direct connection
	lostSince time.Time            // when the first of them was lost
	heard     map[string]time.Time // when something last arrived directly, by address
	heardAt   time.Time            // the latest of these
	tunnels   map[string]int       // open connections of this daemon, by relay ID
	paused    map[string]time.Time

	partitioned   bool
	backAt        time.Time // when a lost path last came back
	trialAt       time.Time
	trialInterval time.Duration
}

// path is the path to one endpoint after a direct dial has failed.
type path struct {
	lost    bool      // a relay has reached the endpoint since
	triedAt time.Time // time of the last direct dial
}

// Change says what an observation has changed.
type Change uint8

// The changes of a State.
const (
	NoChange    Change = iota
	PathLost           // the path to one endpoint is lost
	Partitioned        // the daemon is partitioned from now on
	PathBack           // the path to one endpoint is back
	Rejoined           // the daemon is no longer partitioned, but single paths may be lost
)

// String returns the name of c for logs.
func (c Change) String() string {
	switch c {
	case PathLost:
		return "lost"
	case Partitioned:
		return "partitioned"
	case PathBack:
		return "back"
	case Rejoined:
		return "rejoined"
	}
	return "none"
}

// New returns the State of a daemon that has lost no path. It panics if cfg.Random is
// nil.
func New(cfg Config) *State {
	if cfg.Random == nil {
		panic("brpath: config without Random")
	}
	return &State{
		cfg: cfg, endpoints: map[string]*path{}, lost: map[string]struct{}{}, heard: map[string]time.Time{},
		tunnels: map[string]int{}, paused: map[string]time.Time{},
	}
}

// SetRelays replaces the daemons that may relay.
func (s *State) SetRelays(relays []Relay) { s.relays = slices.Clone(relays) }

// HasRelays reports whether any daemon may relay.
func (s *State) HasRelays() bool { return len(s.relays) > 0 }

// Partitioned reports whether the daemon is partitioned from the endpoints.
func (s *State) Partitioned() bool { return s.partitioned }

// Direct reports whether a connection to the endpoint at address is to be dialed
// directly first, rather than through a relay.
func (s *State) Direct(address string) bool {
	if len(s.relays) == 0 {
		return true
	}
	if s.Lost(address) {
		return false
	}
	return !s.partitioned || s.HeardSinceLoss(address)
}

// Lost reports whether the path to the endpoint at address is lost.
func (s *State) Lost(address string) bool {
	p := s.endpoints[address]
	return p != nil && p.lost
}

// LostSince reports whether the path to the endpoint at address is lost, or any path was
// lost at some time after t. The end of a direct connection used since t says nothing
// about the endpoint then.
func (s *State) LostSince(address string, t time.Time) bool {
	return s.Lost(address) || s.partitioned && !s.HeardSinceLoss(address) || t.Before(s.backAt)
}

// Heard records that something has arrived directly from an endpoint.
func (s *State) Heard(now time.Time, address string) {
	s.heard[address], s.heardAt = now, now
}

// HeardSinceLoss reports whether something has arrived directly from the endpoint at
// address since the first of the lost paths was lost. A daemon may be cut off from some
// endpoints only, and connections may live on while new ones are refused.
func (s *State) HeardSinceLoss(address string) bool {
	at, ok := s.heard[address]
	return ok && at.After(s.lostSince)
}

// HeardSince reports whether something has arrived directly from any endpoint after t. If
// a direct dial that began at t has failed, its endpoint is to blame then.
func (s *State) HeardSince(t time.Time) bool { return s.heardAt.After(t) }

// OnlyFailure reports whether no other endpoint than that at address has failed a direct
// dial lately.
func (s *State) OnlyFailure(now time.Time, address string) bool {
	if s.partitioned {
		return false
	}
	for a, p := range s.endpoints {
		if a != address && now.Sub(p.triedAt) <= recentFailure {
			return false
		}
	}
	return true
}

// DirectConnected records that a direct dial has connected. If the path to the endpoint was
// lost, those to the others are tried soon.
func (s *State) DirectConnected(now time.Time, address string) Change {
	s.Heard(now, address)
	wasLost := s.Lost(address)
	if wasLost {
		s.trialAt, s.trialInterval = now, minTrialInterval
	}
	if wasLost || s.partitioned {
		s.backAt = now
	}
	delete(s.endpoints, address)
	clear(s.lost)
	switch {
	case s.partitioned:
		s.partitioned = false
		return Rejoined
	case wasLost:
		return PathBack
	}
	return NoChange
}

// DirectFailed records that a direct dial was refused, or isn't answered in time.
func (s *State) DirectFailed(now time.Time, address string) {
	p := s.endpoints[address]
	if p == nil {
		p = &path{}
		s.endpoints[address] = p
	}
	p.triedAt = now
}

// RelayConnected records that a relay has reached an endpoint. Its path counts as lost if a
// direct dial has failed before or the daemon is partitioned.
func (s *State) RelayConnected(now time.Time, address string) Change {
	p := s.endpoints[address]
	if p == nil && s.partitioned {
		// There must be a path to try even if the endpoints whose dials have failed are gone.
		p = &path{}
		s.endpoints[address] = p
	}
	if p == nil || p.lost {
		return NoChange
	}
	p.lost = true
	if len(s.lost) == 0 {
		s.trialInterval = minTrialInterval
		s.trialAt = now.Add(s.trialInterval)
		s.lostSince = now
	}
	s.lost[address] = struct{}{}
	if !s.partitioned && len(s.lost) >= minLostPaths {
		s.partitioned = true
		return Partitioned
	}
	return PathLost
}

// EndpointUnreachable records that relays couldn't reach an endpoint either.
func (s *State) EndpointUnreachable(address string) {
	if p := s.endpoints[address]; p != nil && !p.lost {
		delete(s.endpoints, address)
	}
}

// RelayFailed records that a daemon couldn't relay.
func (s *State) RelayFailed(now time.Time, daemon string) { s.paused[daemon] = now.Add(relayPause) }

// Forget removes what is known of an endpoint that is gone.
func (s *State) Forget(address string) {
	delete(s.endpoints, address)
	delete(s.lost, address)
	delete(s.heard, address)
}

// NextTrial returns the address of an endpoint to be dialed directly to find out whether
// its path is back, and whether such a dial is due.
func (s *State) NextTrial(now time.Time) (string, bool) {
	if now.Before(s.trialAt) {
		return "", false
	}
	var address string
	var oldest *path
	for a, p := range s.endpoints {
		if p.lost && (oldest == nil || p.triedAt.Before(oldest.triedAt)) {
			address, oldest = a, p
		}
	}
	if oldest == nil {
		return "", false
	}
	oldest.triedAt = now
	s.trialInterval = min(2*s.trialInterval, maxTrialInterval)
	s.trialAt = now.Add(s.trialInterval)
	return address, true
}

// Relay returns the daemon to relay the next connection, other than those tried, and
// whether there is one. It prefers the daemon's own failure domain and those with fewer
// connections of this daemon.
func (s *State) Relay(now time.Time, tried []string) (Relay, bool) {
	var near, far []Relay
	for _, r := range s.relays {
		if slices.Contains(tried, r.Daemon) || now.Before(s.paused[r.Daemon]) {
			continue
		}
		if r.FailureDomain == s.cfg.FailureDomain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	// Two random ones of each domain, so that partitioned daemons don't all choose the
	// same one.
	var best Relay
	lowest, found := 0, false
	for _, r := range append(s.sample(near), s.sample(far)...) {
		cost := s.tunnels[r.Daemon]
		if r.FailureDomain != s.cfg.FailureDomain {
			cost += remoteCost
		}
		if !found || cost < lowest {
			best, lowest, found = r, cost, true
		}
	}
	return best, found
}

// sample returns two random elements of relays, or all if there are fewer.
func (s *State) sample(relays []Relay) []Relay {
	const n = 2
	for i := range min(n, len(relays)) {
		j := i + int(s.cfg.Random()*float64(len(relays)-i))
		relays[i], relays[j] = relays[j], relays[i]
	}
	return relays[:min(n, len(relays))]
}

// TunnelOpened and TunnelClosed count the connections of this daemon through a relay.
func (s *State) TunnelOpened(daemon string) { s.tunnels[daemon]++ }

// TunnelClosed is described at TunnelOpened.
func (s *State) TunnelClosed(daemon string) {
	if s.tunnels[daemon]--; s.tunnels[daemon] <= 0 {
		delete(s.tunnels, daemon)
	}
}

// Tunnels returns the number of open connections of this daemon through relays.
func (s *State) Tunnels() int {
	n := 0
	for _, k := range s.tunnels {
		n += k
	}
	return n
}
