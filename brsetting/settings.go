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
	AdvertisedPeerAddress string // ip:port that other daemons connect to; never an unspecified address
	ControlPeers          []ControlPeer
	DataDir               string // empty if the daemon stores nothing
	PeerKeys              []string
	OperatorKeys          []string
	EndpointKeys          []string // if empty, every endpoint is accepted
	LogLevel              string   // "debug", "info", "warn" or "error"

	MaxBodyBytes              int64
	EntryBufferRequests       int
	EntryBufferBytes          int64
	MaxConnections            int           // of each listener
	StallTimeout              time.Duration // without a byte on an engine's stream, until it is resumed
	StuckTimeout              time.Duration // without a token on a stream, until it is ended
	ShutdownTimeout           time.Duration // 0 means no limit while requests make progress
	TimelineEvents            int
	LeaseDuration             time.Duration
	WeightStoreBytesPerSecond int64 // 0 means no limit
}

// ControlPeer is a daemon with the role control.
type ControlPeer struct {
	DaemonID string
	Address  string // ip:port
}

// HasRole reports whether the daemon has the role.
func (s Settings) HasRole(role brwire.Role) bool { return slices.Contains(s.Roles, role) }

// Daemon returns the description with which the daemon registers at the control
// group.
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
