package brsetting

import (
	"strings"
	"time"
)

// Setting is one row of the table.
type Setting struct {
	Name        string // snake case
	Default     string // text as given in a flag; empty means none
	Unit        string // how the text is read
	Description string
	Check       string // what is accepted, in words
	Secret      bool   // not shown in logs

	set func(s *Settings, text string) error // parses and checks text
}

// Flag returns the name of the command line flag, without dashes.
func (s Setting) Flag() string { return strings.ReplaceAll(s.Name, "_", "-") }

// EnvironmentPrefix begins the name of every environment variable.
const EnvironmentPrefix = "BRAMLEYROUTE_"

// Environment returns the name of the environment variable.
func (s Setting) Environment() string { return EnvironmentPrefix + strings.ToUpper(s.Name) }

// Bounds of sizes, in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// Table returns every setting, in the order of the reference page.
func Table() []Setting {
	return append(append(identity(), access()...), limits()...)
}

func identity() []Setting {
	return []Setting{
		{Name: "daemon_id", Unit: "name", Check: "required; up to 64 lower case letters, digits, `-`, `_` and `.`",
			Description: "Name of this daemon, unique among all daemons and the same at every start.",
			set:         name(func(s *Settings) *string { return &s.DaemonID })},
		{Name: "roles", Default: "entry,scheduler", Unit: "list", Check: "`entry`, `scheduler`, `control`, each at most once",
			Description: "Roles that this daemon plays.", set: setRoles},
		{Name: "region", Unit: "name", Check: "required; as `daemon_id`",
			Description: "Region that this daemon is in; it decides which pools the daemon serves.",
			set:         name(func(s *Settings) *string { return &s.Region })},
		{Name: "failure_domain", Unit: "name", Check: "required; as `daemon_id`",
			Description: "Failure domain that this daemon is in.",
			set:         name(func(s *Settings) *string { return &s.FailureDomain })},
		{Name: "caller_address", Default: "0.0.0.0:8080", Unit: "ip:port", Check: "an IP address and a port",
			Description: "Address to listen on for callers.",
			set:         address(func(s *Settings) *string { return &s.CallerAddress })},
		{Name: "peer_address", Default: "0.0.0.0:8081", Unit: "ip:port", Check: "an IP address and a port",
			Description: "Address to listen on for other daemons and for endpoints that announce themselves.",
			set:         address(func(s *Settings) *string { return &s.PeerAddress })},
		{Name: "operator_address", Default: "127.0.0.1:8082", Unit: "ip:port", Check: "an IP address and a port",
			Description: "Address to listen on for operators: status, configuration, metrics and profiles.",
			set:         address(func(s *Settings) *string { return &s.OperatorAddress })},
		{Name: "advertised_peer_address", Unit: "ip:port", Check: "required when `peer_address` is unspecified (`0.0.0.0`, `[::]`) or has port 0; not an unspecified address itself",
			Description: "Address that other daemons dial. Without a value it is `peer_address`.",
			set:         optional(address(func(s *Settings) *string { return &s.AdvertisedPeerAddress }))},
		{Name: "control_peers", Unit: "list of daemon_id=ip:port", Check: "required; ids and addresses are not repeated; names this daemon if it has the role `control`",
			Description: "Daemons with the role `control` and their peer addresses, the same list on every daemon. They form the control group; one that lost its disk joins again by itself.", set: setControlPeers},
		{Name: "data_dir", Unit: "path", Check: "required with the role `control`",
			Description: "Folder for the replicated log and the timeline's files. Without it nothing is written.",
			set:         text(func(s *Settings) *string { return &s.DataDir })},
	}
}

func access() []Setting {
	return []Setting{
		{Name: "peer_keys", Unit: "list", Secret: true, Check: "one or two keys of 16 to 256 characters",
			Description: "Keys that daemons accept from each other; the first one is sent. Two while a key is replaced.",
			set:         keys(1, 2, func(s *Settings) *[]string { return &s.PeerKeys })},
		{Name: "operator_keys", Unit: "list", Secret: true, Check: "one or two keys of 16 to 256 characters",
			Description: "Keys that are accepted from operators. Two while a key is replaced.",
			set:         keys(1, 2, func(s *Settings) *[]string { return &s.OperatorKeys })},
		{Name: "endpoint_keys", Unit: "list", Secret: true, Check: "up to 64 keys of 16 to 256 characters",
			Description: "Keys that are accepted from announcing endpoints. Without a value every endpoint is accepted.",
			set:         keys(0, 64, func(s *Settings) *[]string { return &s.EndpointKeys })},
		{Name: "log_level", Default: "info", Unit: "name", Check: "`debug`, `info`, `warn` or `error`",
			Description: "Least severe level that is logged.", set: setLogLevel},
	}
}

func limits() []Setting {
	return []Setting{
		{Name: "max_body_bytes", Default: "4MiB", Unit: "bytes", Check: "1KiB to 1GiB",
			Description: "Largest request body that is accepted.",
			set:         bytes(kib, gib, func(s *Settings) *int64 { return &s.MaxBodyBytes })},
		{Name: "entry_buffer_requests", Default: "10000", Unit: "requests", Check: "1 to 1000000",
			Description: "Requests that the entry holds at a time while they wait for a grant.",
			set:         number(1, 1_000_000, func(s *Settings) *int { return &s.EntryBufferRequests })},
		{Name: "entry_buffer_bytes", Default: "64MiB", Unit: "bytes", Check: "at least `max_body_bytes`, at most 64GiB",
			Description: "Bytes of request bodies that the entry holds at a time.",
			set:         bytes(kib, 64*gib, func(s *Settings) *int64 { return &s.EntryBufferBytes })},
		{Name: "stall_timeout", Default: "1s", Unit: "duration", Check: "100ms to 1m",
			Description: "Time without a byte on an engine's stream after which it is resumed on a new connection. Engines send a keep-alive every 250 ms.",
			set:         duration(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.StallTimeout })},
		{Name: "stuck_timeout", Default: "60s", Unit: "duration", Check: "above `stall_timeout`, at most 24h",
			Description: "Time without a token after which a stream is ended as stuck, where the route sets none.",
			set:         duration(100*time.Millisecond, 24*time.Hour, func(s *Settings) *time.Duration { return &s.StuckTimeout })},
		{Name: "shutdown_timeout", Default: "0s", Unit: "duration", Check: "0s to 24h",
			Description: "Bound on a planned stop. With 0s there is none: the stop waits for all requests that make progress.",
			set:         duration(0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.ShutdownTimeout })},
		{Name: "timeline_events", Default: "65536", Unit: "events", Check: "1 to 10000000",
			Description: "Timeline events that are kept in memory.",
			set:         number(1, 10_000_000, func(s *Settings) *int { return &s.TimelineEvents })},
		{Name: "lease_duration", Default: "3s", Unit: "duration", Check: "1s to 1m",
			Description: "Duration of a pool's lease. It must be the same on all daemons.",
			set:         duration(time.Second, time.Minute, func(s *Settings) *time.Duration { return &s.LeaseDuration })},
		{Name: "weight_store_bytes_per_second", Default: "0", Unit: "bytes per second", Check: "0 to 1024GiB",
			Description: "Rate at which all endpoints together may load from the weight store. With 0 there is no bound.",
			set:         bytes(0, 1024*gib, func(s *Settings) *int64 { return &s.WeightStoreBytesPerSecond })},
	}
}
