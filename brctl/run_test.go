package brctl

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

const (
	testKey       = "operator-key-0001"
	referencePage = "../docs/reference/commands.md"
)

var testTime = time.Date(2026, 5, 4, 16, 0, 0, 0, time.UTC)

// startStub starts a server that responds like a daemon and returns its
// address. A configuration change with an expected revision other than 7 is a
// conflict. If losesReplies is set, configuration changes fail with no_quorum,
// so that their outcome is unknown.
func startStub(t *testing.T, losesReplies bool) string {
	m := http.NewServeMux()
	keys := brpeer.Keys{testKey}
	handleFixed(m, keys, "GET "+broperator.PathStatuses, broperator.Statuses{Missing: []string{"vm3"}, Daemons: []broperator.Status{
		{DaemonID: "vm1", Roles: []brwire.Role{"entry", "control"}, FailureDomain: "a", Ready: true, Confirmation: "confirmed", Revision: 7, ConfirmationAgeMS: 120, Held: 2, Running: 3,
			Replica: &broperator.Replica{ID: "vm1", Leader: "vm1"}, OwnedPools: []string{"model-a@local"}},
		{DaemonID: "vm2", Roles: []brwire.Role{"entry"}, FailureDomain: "b", Draining: true, Confirmation: "unconfirmed", Revision: 6, ConfirmationAgeMS: 4200},
	}})
	handleFixed(m, keys, "GET "+broperator.PathMembers, []broperator.Member{{State: "confirmed", Revision: 7, Daemon: brwire.Daemon{ID: "vm1", Roles: []brwire.Role{"entry"}, PeerAddress: "10.0.0.1:8081", CallerAddress: "10.0.0.1:8080", Region: "local", FailureDomain: "a"}}})
	handleFixed(m, keys, "GET "+broperator.PathPools, []broperator.Pool{{Name: "model-a@local", Owner: "vm1", Epoch: 3, Reachable: true, Queued: [5]int{0, 0, 0, 9, 0}, Running: 4, Outstanding: 900, Completed: [5]int{5, 0, 0, 1, 0},
		Endpoints: []broperator.Endpoint{{ID: "engine-1", Address: "10.0.1.1:9000", Version: "v1", State: "in_use", OutstandingTokens: 900, CapacityTokens: 65536}}}})
	handleFixed(m, keys, "GET "+broperator.PathConfig, broperator.Config{Revision: 7, Document: brconfig.Document{Models: []brconfig.Model{{Name: "model-a", Kind: "engine"}}}})
	handleFixed(m, keys, "POST "+broperator.PathConfigCheck, broperator.Problems{Problems: []broperator.Problem{{Field: "models[0].kind", Message: `"motor" is not engine or service`}}, Diff: []string{"model model-a: kind engine -> motor"}})
	handleFixed(m, keys, "GET "+broperator.PathHistory, []broperator.HistoryEntry{{Revision: 7, At: testTime, CommandID: "c1", Diff: []string{"model model-a: added", "template visits: added"}}})
	handleFixed(m, keys, "GET "+broperator.PathRollouts, []broperator.Rollout{
		{ID: "rollout-1", Model: "model-a", From: "v1", To: "v2", FinishBy: testTime, SharePerMille: 50},
		{ID: "rollout-0", Model: "model-b", From: "v1", To: "v2", FinishBy: testTime, Outcome: "taken_back", Reason: "errors on route draft", EndedAt: testTime},
	})
	handleFixed(m, keys, "POST "+broperator.PathDrain, broperator.Empty{})
	handleFixed(m, keys, "GET "+broperator.PathEvacuations, []broperator.Evacuation{{Domain: "a", Revision: 8}, {Domain: "c", Revision: 12}})
	broperator.Handle(m, keys, "POST "+broperator.PathEvacuations, func(_ context.Context, c broperator.ChangeEvacuation) (broperator.Accepted, error) {
		if c.Withdraw != (c.Domain == "a") {
			return broperator.Accepted{}, brerror.New(brerror.InvalidRequest, "unexpected change %+v", c)
		}
		return broperator.Accepted{CommandID: c.CommandID, Revision: 13}, nil
	})
	handleFixed(m, keys, "POST "+broperator.PathTimeline, broperator.Timeline{Truncated: []string{"vm2"}, Events: []brtimeline.Event{
		{Stamp: brtimeline.Stamp{Wall: testTime.UnixNano()}, Process: "vm1", Kind: brtimeline.RequestReceived, RequestID: "r1", Tier: 1},
		{Stamp: brtimeline.Stamp{Wall: testTime.UnixNano(), Logical: 1}, Process: "vm2", Kind: brtimeline.OrderSent, EndpointID: "engine-1", Detail: "load_version v2"},
	}})
	broperator.Handle(m, keys, "PUT "+broperator.PathConfig, func(_ context.Context, p broperator.PutConfig) (broperator.Accepted, error) {
		switch {
		case losesReplies:
			return broperator.Accepted{}, brerror.New(brerror.NoQuorum, "no reply to command %s", p.CommandID)
		case p.ExpectedRevision != 7:
			return broperator.Accepted{}, brerror.New(brerror.RevisionConflict, "configuration has revision 7, expected %d", p.ExpectedRevision).WithField("expected_revision")
		}
		return broperator.Accepted{CommandID: p.CommandID, Revision: 8}, nil
	})
	broperator.Handle(m, keys, "POST "+broperator.PathRollouts, func(_ context.Context, s broperator.StartRollout) (broperator.Accepted, error) {
		return broperator.Accepted{CommandID: s.CommandID, Revision: 9}, nil
	})
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func handleFixed[T any](m *http.ServeMux, keys brpeer.Keys, pattern string, v T) {
	mux := m
	broperator.Handle(mux, keys, pattern, func(context.Context, any) (T, error) { return v, nil })
}

func run(in string, args ...string) (out, errs string, code int) {
	var o, e bytes.Buffer
	now := testTime
	a := New(Options{In: strings.NewReader(in), Out: &o, Errors: &e, Now: func() time.Time { return now }, NewID: func() string { return "new-id" },
		Pause: func(_ context.Context, d time.Duration) error { now = now.Add(d); return nil }})
	code = a.Run(context.Background(), args)
	return o.String(), e.String(), code
}

// Guards against unnoticed changes of output that people and scripts read, exit
// codes that differ from the documented ones, a command that is sent before its
// ID is printed, and an unknown outcome that is reported as known.
func TestOutput(t *testing.T) {
	good, lossy := startStub(t, false), startStub(t, true)
	const closed = "127.0.0.1:1" // no daemon listens there
	doc := `{"models":[{"name":"model-a","kind":"motor"}]}`
	tests := []struct {
		name    string
		address string
		in      string
		args    []string
		code    int
	}{
		{"status", good, "", []string{"status"}, ExitOK},
		{"status_json", good, "", []string{"status", "-o", "json"}, ExitOK},
		{"members", closed + "," + good, "", []string{"members"}, ExitOK},
		{"pools", good, "", []string{"pools"}, ExitOK},
		{"drain", good, "", []string{"drain", "vm2"}, ExitOK},
		{"config_get", good, "", []string{"config", "get"}, ExitOK},
		{"config_check", good, doc, []string{"config", "check", "-"}, ExitInvalid},
		{"config_check_field", good, `{"modles":[]}`, []string{"config", "check", "-"}, ExitInvalid},
		{"config_check_offline", closed, `{"models":[{"name":"model-a","kind":"engine"}]}`, []string{"config", "check", "-", "--offline"}, ExitWarnings},
		{"config_check_clean", closed, `{}`, []string{"config", "check", "-", "--offline", "-o", "json"}, ExitOK},
		{"config_check_unavailable", closed, `{}`, []string{"config", "check", "-"}, ExitUnavailable},
		{"config_check_both", closed, doc, []string{"config", "check", "-"}, ExitInvalid},
		{"config_diff", good, doc, []string{"config", "diff", "-"}, ExitOK},
		{"config_history", good, "", []string{"config", "history"}, ExitOK},
		{"apply", good, doc, []string{"config", "apply", "-", "--expected-revision=7"}, ExitOK},
		{"apply_conflict", good, doc, []string{"config", "apply", "-", "--expected-revision=9"}, ExitConflict},
		{"apply_unknown", lossy + "," + closed, doc, []string{"config", "apply", "-", "--expected-revision=7"}, ExitUnknown},
		{"apply_resent", lossy + "," + good, doc, []string{"config", "apply", "-", "--expected-revision=7", "--command-id=first-id"}, ExitOK},
		{"apply_unavailable", closed, doc, []string{"config", "apply", "-", "--expected-revision=7"}, ExitUnavailable},
		{"wrong_key", good, "", []string{"status", "--key=wrong"}, ExitFailed},
		{"usage", good, "", []string{"config", "apply", "-"}, ExitUsage},
		{"rollout_start", good, "", []string{"rollout", "start", "model-a", "--from=v1", "--to=v2", "--finish-by=2026-05-04T18:00:00+02:00"}, ExitOK},
		{"rollout_time", good, "", []string{"rollout", "start", "model-a", "--from=v1", "--to=v2", "--finish-by=noon"}, ExitUsage},
		{"rollout_status", good, "", []string{"rollout", "status"}, ExitOK},
		{"rollout_wait", good, "", []string{"rollout", "wait", "rollout-0"}, ExitFailed},
		{"rollout_wait_limit", good, "", []string{"rollout", "wait", "rollout-1", "--limit=1m"}, ExitUnavailable},
		{"timeline", good, "", []string{"timeline", "--request-id=r1", "--last=10m"}, ExitOK},
		{"orders", good, "", []string{"orders"}, ExitOK},
		{"evacuation_order", good, "", []string{"evacuation", "order", "b"}, ExitOK},
		{"evacuation_withdraw", good, "", []string{"evacuation", "withdraw", "a"}, ExitOK},
		{"evacuation_list", good, "", []string{"evacuation", "list"}, ExitOK},
	}
	golden := goldie.New(t)
	t.Setenv("BRAMLEYCTL_KEY", testKey)
	addressReplacer := strings.NewReplacer(good, "GOOD", lossy, "LOSSY")
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			out, errs, code := run(c.in, append([]string{"--address=" + c.address}, c.args...)...)
			if code != c.code {
				t.Errorf("got exit code %d, want %d", code, c.code)
			}
			golden.Assert(t, c.name, []byte(addressReplacer.Replace(fmt.Sprintf("%s--- standard error\n%s--- exit code %d\n", out, errs, code))))
		})
	}
}

// Guards against a reference page that differs from the command line. The flag
// -update, which goldie defines, writes the page.
func TestReference(t *testing.T) {
	got := New(Options{In: os.Stdin, Out: os.Stdout, Errors: os.Stderr, Now: time.Now, NewID: func() string { return "" },
		Pause: func(context.Context, time.Duration) error { return nil }}).Reference()
	if f := flag.Lookup("update"); f != nil && f.Value.String() == "true" {
		if err := os.WriteFile(referencePage, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("reference page is out of date; run go test ./brctl -run TestReference -update (-want +got):\n%s", diff)
	}
}
