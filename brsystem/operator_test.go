package brsystem

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brctl"
	"bramleyroute/broperator"
	"bramleyroute/brtimeline"
)

// ctl runs bramleyctl with the operator addresses of the daemons, in this order,
// and returns its standard output, standard error and exit code.
func (c *cluster) ctl(at []*daemon, args ...string) (out, errs string, code int) {
	var addresses []string
	for _, d := range at {
		addresses = append(addresses, d.operator)
	}
	cmd := exec.Command(binaries+"/bramleyctl", args...)
	cmd.Env = append(os.Environ(), "BRAMLEYCTL_ADDRESS="+strings.Join(addresses, ","), "BRAMLEYCTL_KEY="+valueOr(c.key, operatorKey))
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	_ = cmd.Run() // the exit code is returned
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// writeConfig writes the default configuration with the given weight of the
// first customer to a file and returns the file's path.
func (c *cluster) writeConfig(name string, weight int) string {
	c.t.Helper()
	doc := document(nil)
	doc.Customers = slices.Clone(doc.Customers)
	doc.Customers[0].Weight = weight
	b, err := json.Marshal(doc)
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

func fromJSON[T any](t *testing.T, text string) T {
	t.Helper()
	var v T
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatalf("%v in %q", err, text)
	}
	return v
}

// Guards against two changes that are both accepted with the same expected
// revision, a conflict error without the current revision, a command that is
// executed again when it is resent with its ID through another daemon after a
// restart, and a request's timeline that lacks a process or is out of order.
func TestOperators(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	c.addFake("engine-1")
	out, errs, code := c.ctl(c.daemons, "config", "get", "-o", "json")
	if code != brctl.ExitOK {
		t.Fatalf("config get: exit code %d, %s; want success", code, errs)
	}
	before := fromJSON[broperator.Config](t, out)

	ids := []string{"operator-1-command", "operator-2-command"}
	apply := func(i int, at ...*daemon) (string, string, int) {
		return c.ctl(at, "config", "apply", c.writeConfig(ids[i], 2+i), "--expected-revision="+number(before.Revision), "--command-id="+ids[i], "-o", "json")
	}
	var outs, failures [2]string
	var codes [2]int
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() { outs[i], failures[i], codes[i] = apply(i, c.daemons[i+1]) })
	}
	wg.Wait()
	winner := slices.Index(codes[:], brctl.ExitOK)
	if winner < 0 || codes[1-winner] != brctl.ExitConflict {
		t.Fatalf("exit codes %v, want one 0 and one 3; standard error %q", codes, failures)
	}
	accepted := fromJSON[broperator.Accepted](t, outs[winner])
	now, _, _ := c.ctl(c.daemons, "config", "get", "-o", "json")
	after := fromJSON[broperator.Config](t, now)
	if after.Revision != accepted.Revision || after.Document.Customers[slices.IndexFunc(after.Document.Customers, isTrust)].Weight != 2+winner {
		t.Errorf("configuration %+v, want revision and weight of the accepted change %+v", after, accepted)
	}
	if !strings.Contains(failures[1-winner], number(after.Revision)) {
		t.Errorf("error of the refused change %q, want it to name the current revision %d", failures[1-winner], after.Revision)
	}

	// The daemon that accepted the change is restarted, and both commands are resent
	// through another daemon and through the restarted one.
	restarted := c.daemons[winner+1]
	restarted.signal(syscall.SIGTERM)
	restarted.waitEnd(20 * time.Second)
	restarted.start()
	c.waitReady(restarted)
	for i := range ids {
		for _, at := range []*daemon{c.daemons[3], restarted} {
			o, e, code := apply(i, at)
			if code != codes[i] || o != outs[i] || !strings.Contains(e, lastLine(failures[i])) {
				t.Errorf("command %s resent through %s: exit code %d, output %q, error %q; want those of the first time: %d, %q, %q", ids[i], at.id, code, o, e, codes[i], outs[i], failures[i])
			}
		}
	}
	// Events of the restarted daemon from before the restart are in its timeline file.
	out, errs, code = c.ctl([]*daemon{c.daemons[3]}, "timeline", "--command-id="+ids[winner], "--files")
	if code != brctl.ExitOK || !strings.Contains(out, restarted.id) || !strings.Contains(out, "command_committed") {
		t.Errorf("timeline with files: exit code %d, %s, %s; want success and the event command_committed of the restarted daemon", code, out, errs)
	}
	c.checkTimeline(testContext(t))
}

func isTrust(x brconfig.Customer) bool { return x.Name == "trust" }

func number(n uint64) string {
	b, _ := json.Marshal(n) // encoding a number can't fail
	return string(b)
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}

// checkTimeline sends a request through an entry that isn't the pool's
// scheduler, reads the request's timeline through a third daemon, and checks
// the events and their order.
func (c *cluster) checkTimeline(ctx context.Context) {
	c.t.Helper()
	owner := c.owner(model)
	var others []*daemon
	for _, d := range c.daemons {
		if d != owner {
			others = append(others, d)
		}
	}
	id := newID()
	if a := complete(ctx, others[0].caller, call{id: id}); !a.matches(id, 0, 8) {
		c.t.Fatalf("request: %+v, want a complete response", a)
	}
	out, errs, code := c.ctl(others[1:], "timeline", "--request-id="+id, "-o", "json")
	if code != brctl.ExitOK || strings.Contains(errs, "warning") {
		c.t.Fatalf("timeline: exit code %d, %s; want success without a warning", code, errs)
	}
	type step struct {
		process string
		kind    brtimeline.Kind
	}
	var got []step
	for _, e := range fromJSON[broperator.Timeline](c.t, out).Events {
		got = append(got, step{e.Process, e.Kind})
	}
	entry := others[0].id
	want := []step{{entry, brtimeline.RequestReceived}, {owner.id, brtimeline.RequestQueued}, {owner.id, brtimeline.RequestGranted},
		{entry, brtimeline.RequestGranted}, {entry, brtimeline.DispatchBegun}, {entry, brtimeline.FirstToken}, {entry, brtimeline.RequestEnded}}
	if !slices.Equal(got, want) {
		c.t.Errorf("timeline %v, want %v", got, want)
	}
}
