package brsetting

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"bramleyroute/brwire"
	"github.com/alecthomas/kingpin/v2"
	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the reference page")

const referencePage = "../docs/reference/settings.md"

// minimalEnv returns environment variables with the required settings and with
// overrides, which are pairs of a setting's name and value.
func minimalEnv(overrides ...string) map[string]string {
	m := map[string]string{
		"BRAMLEYROUTE_DAEMON_ID": "d1", "BRAMLEYROUTE_REGION": "gauteng", "BRAMLEYROUTE_FAILURE_DOMAIN": "fd1",
		"BRAMLEYROUTE_ADVERTISED_PEER_ADDRESS": "10.0.0.1:8081", "BRAMLEYROUTE_CONTROL_PEERS": "d1=10.0.0.1:8081, d2=10.0.0.2:8081",
		"BRAMLEYROUTE_PEER_KEYS": "peer-key-0123456789", "BRAMLEYROUTE_OPERATOR_KEYS": "operator-key-012345",
	}
	for i := 0; i < len(overrides); i += 2 {
		m[EnvironmentPrefix+strings.ToUpper(overrides[i])] = overrides[i+1]
	}
	return m
}

// TestDefaults guards against a default that differs from the documented one and
// against a value that is stored in the wrong field.
func TestDefaults(t *testing.T) {
	got, err := FromEnvironment(minimalEnv())
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		DaemonID: "d1", Roles: []brwire.Role{"entry", "scheduler"}, Region: "gauteng", FailureDomain: "fd1",
		CallerAddress: "0.0.0.0:8080", PeerAddress: "0.0.0.0:8081", OperatorAddress: "127.0.0.1:8082", AdvertisedPeerAddress: "10.0.0.1:8081",
		ControlPeers: []ControlPeer{{"d1", "10.0.0.1:8081"}, {"d2", "10.0.0.2:8081"}},
		PeerKeys:     []string{"peer-key-0123456789"}, OperatorKeys: []string{"operator-key-012345"}, LogLevel: "info",
		MaxBodyBytes: 4 << 20, EntryBufferRequests: 10000, EntryBufferBytes: 64 << 20, MaxConnections: 20000, StallTimeout: time.Second,
		StuckTimeout: time.Minute, TimelineEvents: 65536, LeaseDuration: 3 * time.Second,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestProblems guards against starting a daemon with an invalid setting, against a
// check that stops at the first problem, and against keys in error messages.
func TestProblems(t *testing.T) {
	tests := []struct {
		name string
		env  map[string]string
		want []string // names of the settings
	}{
		{"no settings at all", nil, []string{"daemon_id", "region", "failure_domain", "control_peers", "peer_keys", "operator_keys", "advertised_peer_address"}},
		{"several problems", minimalEnv("roles", "entry,cook", "stall_timeout", "1", "max_body_bytes", "4MB", "log_level", "loud"), []string{"roles", "log_level", "max_body_bytes", "stall_timeout"}},
		{"control without data directory", minimalEnv("roles", "control"), []string{"data_dir"}},
		{"control of an unlisted daemon", minimalEnv("roles", "control", "daemon_id", "d9", "data_dir", "/d"), []string{"control_peers"}},
		{"control", minimalEnv("roles", "control", "data_dir", "/d"), nil},
		{"control peer without ID", minimalEnv("control_peers", "=10.0.0.1:1"), []string{"control_peers"}},
		{"short key", minimalEnv("peer_keys", "tooshort"), []string{"peer_keys"}},
		{"three keys", minimalEnv("operator_keys", "operator-key-012345,operator-key-012346,operator-key-012347"), []string{"operator_keys"}},
		{"host name", minimalEnv("caller_address", "localhost:80"), []string{"caller_address"}},
		{"same listener", minimalEnv("operator_address", "0.0.0.0:8080"), []string{"operator_address"}},
		{"unspecified advertised address", minimalEnv("advertised_peer_address", "0.0.0.0:1"), []string{"advertised_peer_address"}},
		{"repeated control peer", minimalEnv("control_peers", "d1=10.0.0.1:1,d1=10.0.0.2:1"), []string{"control_peers"}},
		{"limits", minimalEnv("entry_buffer_bytes", "1MiB", "stuck_timeout", "1s", "lease_duration", "10ms"), []string{"lease_duration", "entry_buffer_bytes", "stuck_timeout"}},
		{"misspelt variable", minimalEnv("statl_timeout", "1s"), []string{"BRAMLEYROUTE_STATL_TIMEOUT"}},
	}
	for _, c := range tests {
		_, err := FromEnvironment(c.env)
		var got []string
		if problems, ok := err.(Problems); ok {
			for _, p := range problems {
				got = append(got, p.Name)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
		if err != nil && strings.Contains(err.Error(), "tooshort") {
			t.Errorf("%s: the error message contains a key: %v", c.name, err)
		}
	}
}

// TestFlags guards against an environment variable that takes precedence over its
// flag.
func TestFlags(t *testing.T) {
	for k, v := range minimalEnv("data_dir", "/from/env", "region", "from-env") {
		t.Setenv(k, v)
	}
	app := kingpin.New("test", "")
	flags := Register(app)
	if _, err := app.Parse([]string{"--data-dir=/from/flag", "--roles=control,scheduler"}); err != nil {
		t.Fatal(err)
	}
	s, err := flags.Settings()
	if err != nil {
		t.Fatal(err)
	}
	if s.DataDir != "/from/flag" || s.Region != "from-env" || len(s.Roles) != 2 {
		t.Errorf("settings %+v: want data_dir and roles of the flags and region of the environment", s)
	}
	if all := strings.Join(flags.Lines(), "\n"); strings.Contains(all, "peer-key") || !strings.Contains(all, "peer_keys=(1 keys)") {
		t.Errorf("lines for the log contain keys or lack the number of keys: %s", all)
	}
}

// TestReferencePage guards against a reference page that differs from the table.
func TestReferencePage(t *testing.T) {
	if *update {
		if err := os.WriteFile(referencePage, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), Reference()); diff != "" {
		t.Errorf("reference page is out of date; run go test ./brsetting -update: %s", diff)
	}
}
