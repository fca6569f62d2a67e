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

var update = flag.Bool("update", false, "write the reference page")

const page = "../docs/reference/settings.md"

// least holds the settings without which no daemon starts.
func least(more ...string) map[string]string {
	m := map[string]string{
		"BRAMLEYROUTE_DAEMON_ID": "d1", "BRAMLEYROUTE_REGION": "gauteng", "BRAMLEYROUTE_FAILURE_DOMAIN": "fd1",
		"BRAMLEYROUTE_ADVERTISED_PEER_ADDRESS": "10.0.0.1:8081", "BRAMLEYROUTE_CONTROL_PEERS": "d1=10.0.0.1:8081, d2=10.0.0.2:8081",
		"BRAMLEYROUTE_PEER_KEYS": "peer-key-0123456789", "BRAMLEYROUTE_OPERATOR_KEYS": "operator-key-012345",
	}
	for i := 0; i < len(more); i += 2 {
		m[EnvironmentPrefix+strings.ToUpper(more[i])] = more[i+1]
	}
	return m
}

// Guards against a default that is not the stated one and a value that is lost
// between its text and the struct.
func TestDefaults(t *testing.T) {
	got, err := FromEnvironment(least())
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		DaemonID: "d1", Roles: []brwire.Role{"entry", "scheduler"}, Region: "gauteng", FailureDomain: "fd1",
		CallerAddress: "0.0.0.0:8080", PeerAddress: "0.0.0.0:8081", OperatorAddress: "127.0.0.1:8082", AdvertisedPeerAddress: "10.0.0.1:8081",
		ControlPeers: []ControlPeer{{"d1", "10.0.0.1:8081"}, {"d2", "10.0.0.2:8081"}},
		PeerKeys:     []string{"peer-key-0123456789"}, OperatorKeys: []string{"operator-key-012345"}, LogLevel: "info",
		MaxBodyBytes: 4 << 20, EntryBufferRequests: 10000, EntryBufferBytes: 64 << 20, StallTimeout: time.Second,
		StuckTimeout: time.Minute, TimelineEvents: 65536, LeaseDuration: 3 * time.Second,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a wrong setting that starts a daemon, a check that stops at the
// first problem, and a key in a message.
func TestProblems(t *testing.T) {
	tests := []struct {
		name string
		env  map[string]string
		want []string // names of the settings
	}{
		{"nothing given", nil, []string{"daemon_id", "region", "failure_domain", "control_peers", "peer_keys", "operator_keys", "advertised_peer_address"}},
		{"several at once", least("roles", "entry,cook", "stall_timeout", "1", "max_body_bytes", "4MB", "log_level", "loud"), []string{"roles", "log_level", "max_body_bytes", "stall_timeout"}},
		{"control without folder", least("roles", "control"), []string{"data_dir"}},
		{"control of an unlisted daemon", least("roles", "control", "daemon_id", "d9", "data_dir", "/d"), []string{"control_peers"}},
		{"control", least("roles", "control", "data_dir", "/d"), nil},
		{"control peer without id", least("control_peers", "=10.0.0.1:1"), []string{"control_peers"}},
		{"short key", least("peer_keys", "tooshort"), []string{"peer_keys"}},
		{"three keys", least("operator_keys", "operator-key-012345,operator-key-012346,operator-key-012347"), []string{"operator_keys"}},
		{"host name", least("caller_address", "localhost:80"), []string{"caller_address"}},
		{"same listener", least("operator_address", "0.0.0.0:8080"), []string{"operator_address"}},
		{"advertises any address", least("advertised_peer_address", "0.0.0.0:1"), []string{"advertised_peer_address"}},
		{"repeated replica", least("control_peers", "d1=10.0.0.1:1,d1=10.0.0.2:1"), []string{"control_peers"}},
		{"limits", least("entry_buffer_bytes", "1MiB", "stuck_timeout", "1s", "lease_duration", "10ms"), []string{"lease_duration", "entry_buffer_bytes", "stuck_timeout"}},
		{"misspelt variable", least("statl_timeout", "1s"), []string{"BRAMLEYROUTE_STATL_TIMEOUT"}},
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
			t.Errorf("%s: the message shows a key: %v", c.name, err)
		}
	}
}

// Guards against a flag that loses to its environment variable .
func TestFlags(t *testing.T) {
	for k, v := range least("data_dir", "/from/env", "region", "from-env") {
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
		t.Errorf("settings %+v do not follow flag, variable, default", s)
	}
	if all := strings.Join(flags.Lines(), "\n"); strings.Contains(all, "peer-key") || !strings.Contains(all, "peer_keys=(1 keys)") {
		t.Errorf("the lines for the log show keys: %s", all)
	}
}

// Guards against a reference page that differs from the table.
func TestReferencePage(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), Reference()); diff != "" {
		t.Errorf("run go test ./brsetting -update: %s", diff)
	}
}
