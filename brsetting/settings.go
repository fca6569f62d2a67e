package brsetting

import (
	"slices"
	"time"

	"bramleyroute/brwire"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	DaemonID              string
	Roles                 []brwire.Role
	Region                string
	FailureDomain         string
	CallerAddress         string // ip:port to listen on
	PeerAddress           string // ip:port to listen on
	OperatorAddress       string // ip:port to listen on
	AdvertisedPeerAddress string // ip:port that other daemons dial; never an unspecified address
	ControlPeers          []ControlPeer
	DataDir               string // empty without one
	PeerKeys              []string
	OperatorKeys          []string
	EndpointKeys          []string // empty accepts every endpoint
	LogLevel              string   // "debug", "info", "warn" or "error"

	MaxBodyBytes              int64
	EntryBufferRequests       int
	EntryBufferBytes          int64
	StallTimeout              time.Duration
	StuckTimeout              time.Duration
	ShutdownTimeout           time.Duration // 0 means that progress alone decides
	TimelineEvents            int
	LeaseDuration             time.Duration
	WeightStoreBytesPerSecond int64 // 0 means no bound
}

// ControlPeer is a daemon with the control role.
type ControlPeer struct {
	DaemonID string
	Address  string // ip:port
}

// Has reports whether the daemon plays role.
func (s Settings) Has(role brwire.Role) bool { return slices.Contains(s.Roles, role) }

// Daemon returns the description that the daemon registers with.
func (s Settings) Daemon(incarnation string) brwire.Daemon {
	return brwire.Daemon{
		ID:            s.DaemonID,
		Incarnation:   incarnation,
		Roles:         slices.Clone(s.Roles),
		PeerAddress:   s.AdvertisedPeerAddress,
		CallerAddress: s.CallerAddress,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
	}
}
