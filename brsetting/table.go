package brsetting

import (
	"strings"
	"time"
)

// Setting is the definition of one setting, a row of the table.
type Setting struct {
	Name        string // in snake case
	Default     string // default value as written in a flag; empty means none
	Unit        string // type or unit of the value
	Description string
	Accepted    string // accepted values, for the reference page
	Secret      bool   // value must not appear in logs

	parse func(s *Settings, text string) error // parses and checks text, and stores the value in s
}

// Flag returns the name of the command line flag, without dashes.
func (s Setting) Flag() string { return strings.ReplaceAll(s.Name, "_", "-") }

// EnvironmentPrefix is the prefix of the names of all environment variables.
const EnvironmentPrefix = "BRAMLEYROUTE_"

// EnvVar returns the name of the environment variable.
func (s Setting) EnvVar() string { return EnvironmentPrefix + strings.ToUpper(s.Name) }

// Units of sizes, in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// Table returns every setting, in the order of the reference page.
func Table() []Setting {
	return append(append(identitySettings(), accessSettings()...), limitSettings()...)
}

func identitySettings() []Setting {
	return []Setting{
		{Name: "daemon_id", Unit: "name", Accepted: "required; up to 64 lower case letters, digits, `-`, `_` and `.`",
			Description: "Name of this daemon, unique among all daemons and the same at every start.",
			parse:       nameParser(func(s *Settings) *string { return &s.DaemonID })},
		{Name: "roles", Default: "entry,scheduler", Unit: "list", Accepted: "`entry`, `scheduler`, `control`, each at most once",
			Description: "Roles of this daemon.", parse: parseRoles},
		{Name: "region", Unit: "name", Accepted: "required; as `daemon_id`",
			Description: "Region of this daemon. It determines which pools the daemon serves.",
			parse:       nameParser(func(s *Settings) *string { return &s.Region })},
		{Name: "failure_domain", Unit: "name", Accepted: "required; as `daemon_id`",
			Description: "Failure domain of this daemon.",
			parse:       nameParser(func(s *Settings) *string { return &s.FailureDomain })},
		{Name: "caller_address", Default: "0.0.0.0:8080", Unit: "ip:port", Accepted: "an IP address and a port",
			Description: "Address to listen on for callers.",
			parse:       addressParser(func(s *Settings) *string { return &s.CallerAddress })},
		{Name: "peer_address", Default: "0.0.0.0:8081", Unit: "ip:port", Accepted: "an IP address and a port",
			Description: "Address to listen on for other daemons and for endpoints that announce themselves.",
			parse:       addressParser(func(s *Settings) *string { return &s.PeerAddress })},
		{Name: "operator_address", Default: "127.0.0.1:8082", Unit: "ip:port", Accepted: "an IP address and a port",
			Description: "Address to listen on for operators: status, configuration, metrics and profiles.",
			parse:       addressParser(func(s *Settings) *string { return &s.OperatorAddress })},
		{Name: "advertised_peer_address", Unit: "ip:port", Accepted: "required when `peer_address` is unspecified (`0.0.0.0`, `[::]`) or has port 0; not an unspecified address itself",
			Description: "Address that other daemons connect to. If empty, it is `peer_address`.",
			parse:       optional(addressParser(func(s *Settings) *string { return &s.AdvertisedPeerAddress }))},
		{Name: "control_peers", Unit: "list of daemon_id=ip:port", Accepted: "required; no repeated IDs or addresses; must include this daemon if it has the role `control`",
			Description: "Daemons with the role `control` and their peer addresses, the same list on every daemon. They form the control group. A daemon that has lost its disk rejoins the group automatically.", parse: parseControlPeers},
		{Name: "data_dir", Unit: "path", Accepted: "required with the role `control`",
			Description: "Directory for the replicated log and the timeline files. If empty, nothing is written to disk.",
			parse:       textParser(func(s *Settings) *string { return &s.DataDir })},
	}
}

func accessSettings() []Setting {
	return []Setting{
		{Name: "peer_keys", Unit: "list", Secret: true, Accepted: "one or two keys of 16 to 256 characters",
			Description: "Keys that daemons accept from each other. The first key is the one sent. Set two keys while a key is being replaced.",
			parse:       keysParser(1, 2, func(s *Settings) *[]string { return &s.PeerKeys })},
		{Name: "operator_keys", Unit: "list", Secret: true, Accepted: "one or two keys of 16 to 256 characters",
			Description: "Keys that are accepted from operators. Set two keys while a key is being replaced.",
			parse:       keysParser(1, 2, func(s *Settings) *[]string { return &s.OperatorKeys })},
		{Name: "endpoint_keys", Unit: "list", Secret: true, Accepted: "up to 64 keys of 16 to 256 characters",
			Description: "Keys that are accepted from announcing endpoints. If empty, every endpoint is accepted.",
			parse:       keysParser(0, 64, func(s *Settings) *[]string { return &s.EndpointKeys })},
		{Name: "log_level", Default: "info", Unit: "name", Accepted: "`debug`, `info`, `warn` or `error`",
			Description: "Lowest level of messages that are logged.", parse: parseLogLevel},
	}
}

func limitSettings() []Setting {
	return []Setting{
		{Name: "max_body_bytes", Default: "4MiB", Unit: "bytes", Accepted: "1KiB to 1GiB",
			Description: "Maximum size of a request body.",
			parse:       bytesParser(kib, gib, func(s *Settings) *int64 { return &s.MaxBodyBytes })},
		{Name: "entry_buffer_requests", Default: "10000", Unit: "requests", Accepted: "1 to 1000000",
			Description: "Maximum number of requests that wait at the entry for a grant at the same time.",
			parse:       intParser(1, 1_000_000, func(s *Settings) *int { return &s.EntryBufferRequests })},
		{Name: "entry_buffer_bytes", Default: "64MiB", Unit: "bytes", Accepted: "at least `max_body_bytes`, at most 64GiB",
			Description: "Maximum total size of the request bodies that the entry buffers at the same time; requests that are still arriving have the same limit of their own, at least 5 times `max_body_bytes`, and so have responses of services, at least 40MiB.",
			parse:       bytesParser(kib, 64*gib, func(s *Settings) *int64 { return &s.EntryBufferBytes })},
		{Name: "max_connections", Default: "20000", Unit: "connections", Accepted: "16 to 1000000",
			Description: "Maximum number of connections of each listener. Above it, one without a request gives way to a new one. Links between daemons don't count.",
			parse:       intParser(16, 1_000_000, func(s *Settings) *int { return &s.MaxConnections })},
		{Name: "stall_timeout", Default: "1s", Unit: "duration", Accepted: "100ms to 1m",
			Description: "Time without a byte on an engine's stream after which the stream is resumed on a new connection. Engines send a keep-alive every 250 ms.",
			parse:       durationParser(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.StallTimeout })},
		{Name: "stuck_timeout", Default: "60s", Unit: "duration", Accepted: "above `stall_timeout`, at most 24h",
			Description: "Time without a token after which a stream is ended as stuck, unless the route sets `stuck_ms`.",
			parse:       durationParser(100*time.Millisecond, 24*time.Hour, func(s *Settings) *time.Duration { return &s.StuckTimeout })},
		{Name: "shutdown_timeout", Default: "0s", Unit: "duration", Accepted: "0s to 24h",
			Description: "Maximum duration of a graceful shutdown. With 0s there is no limit: the shutdown waits for all requests that make progress.",
			parse:       durationParser(0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.ShutdownTimeout })},
		{Name: "timeline_events", Default: "65536", Unit: "events", Accepted: "1 to 10000000",
			Description: "Number of the latest timeline events that are held in memory.",
			parse:       intParser(1, 10_000_000, func(s *Settings) *int { return &s.TimelineEvents })},
		{Name: "lease_duration", Default: "3s", Unit: "duration", Accepted: "1s to 1m",
			Description: "Duration of the lease of a pool. It must be the same on all daemons.",
			parse:       durationParser(time.Second, time.Minute, func(s *Settings) *time.Duration { return &s.LeaseDuration })},
		{Name: "weight_store_bytes_per_second", Default: "0", Unit: "bytes per second", Accepted: "0 to 1024GiB",
			Description: "Maximum total rate at which endpoints load weights from the weight store. With 0 there is no limit.",
			parse:       bytesParser(0, 1024*gib, func(s *Settings) *int64 { return &s.WeightStoreBytesPerSecond })},
	}
}
