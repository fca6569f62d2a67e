package brsystem

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"bramleyroute/brconfig"
	"bramleyroute/brctl"
	"bramleyroute/brengine"
	"bramleyroute/broperator"
	"bramleyroute/brsetting"
	"bramleyroute/brtest"
	"bramleyroute/brwire"
)

const examplesDir = "../docs/examples/"

// Guards against example settings that the daemon refuses, a placement of the
// control replicas that loses its majority with one failure domain, and an
// example configuration under which some route isn't served.
func TestExamples(t *testing.T) {
	for _, x := range []struct {
		name                   string
		vms, controls, domains int
	}{{"trust", 11, 5, 4}, {"barajas", 10, 3, 3}} {
		t.Run(x.name, func(t *testing.T) {
			c, all := startExample(t, x.name)
			perDomain, controls := map[string]int{}, 0
			for _, s := range all {
				perDomain[s.FailureDomain] += 0
				if s.HasRole(brwire.RoleControl) {
					perDomain[s.FailureDomain]++
					controls++
				}
			}
			if len(all) != x.vms || controls != x.controls || len(perDomain) != x.domains {
				t.Errorf("%d VMs, %d of them with the control role, in %d failure domains; want the figures of the example", len(all), controls, len(perDomain))
			}
			for domain, n := range perDomain {
				if (controls-n)*2 <= controls {
					t.Errorf("without failure domain %s %d of %d control replicas remain, want a majority", domain, controls-n, controls)
				}
			}
			c.serveExample(x.name, all[0])
		})
	}
}

var addressPattern = regexp.MustCompile(`\b\d+\.\d+\.\d+\.\d+:\d+\b`)

// startExample starts a daemon for every VM of an example. It replaces the
// addresses by free ones on loopback and the data directory by one of the test.
func startExample(t *testing.T, name string) (*cluster, []brsetting.Settings) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts whole processes")
	}
	c := &cluster{t: t, dir: t.TempDir()}
	files, err := filepath.Glob(examplesDir + name + "/vms/*.env")
	if err != nil || len(files) == 0 {
		t.Fatalf("no settings files of example %s: %v", name, err)
	}
	local := map[string]string{}
	var all []brsetting.Settings
	for _, f := range files {
		env := map[string]string{}
		for _, from := range []string{examplesDir + name + "/common.env", f} {
			for line := range strings.Lines(readText(t, from)) {
				if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok && !strings.HasPrefix(k, "#") {
					env[k] = addressPattern.ReplaceAllStringFunc(v, func(a string) string {
						if local[a] == "" {
							local[a] = brtest.FreeAddress(t)
						}
						return local[a]
					})
				}
			}
		}
		s, err := brsetting.FromEnvironment(env)
		if err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		d := &daemon{id: s.DaemonID, peer: s.PeerAddress, caller: s.CallerAddress, operator: s.OperatorAddress}
		d.process = c.newProcess(d.id, binaries+"/bramleyroute")
		if s.DataDir != "" {
			env["BRAMLEYROUTE_DATA_DIR"] = filepath.Join(c.dir, d.id)
		}
		for k, v := range env {
			d.env = append(d.env, k+"="+v)
		}
		c.daemons, c.key, all = append(c.daemons, d), s.OperatorKeys[0], append(all, s)
	}
	for _, d := range c.daemons {
		d.start()
	}
	t.Cleanup(c.close)
	for _, d := range c.daemons {
		c.waitReady(d)
	}
	return c, all
}

func readText(t *testing.T, file string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// serveExample applies the example configuration as the operations page
// describes, starts two endpoints of each model, and sends one request of each
// route for each customer, through the entries in turn.
func (c *cluster) serveExample(name string, s brsetting.Settings) {
	file := examplesDir + name + "/configuration.json"
	doc, err := brconfig.Parse([]byte(readText(c.t, file)))
	if err != nil {
		c.t.Fatal(err)
	}
	c.eventually("configuration accepted", func() bool {
		_, errs, code := c.ctl(c.daemons, "config", "apply", file, "--expected-revision=0", "--command-id=first-configuration")
		if code != brctl.ExitOK && code != brctl.ExitUnavailable && code != brctl.ExitUnknown {
			c.t.Fatalf("config apply: exit code %d, %s; want success or a retriable failure", code, errs)
		}
		return code == brctl.ExitOK
	})
	var ids []string
	for _, m := range doc.Models {
		for _, n := range []string{"-1", "-2"} {
			ids = append(ids, m.Name+n)
			c.startEndpoint(m, m.Name+n, s)
		}
	}
	c.eventually("endpoints in use", func() bool {
		out, _, code := c.ctl(c.daemons, "pools", "-o", "json")
		used := 0
		if code == brctl.ExitOK {
			for _, p := range fromJSON[[]broperator.Pool](c.t, out) {
				for _, e := range p.Endpoints {
					if e.State == "in_use" && slices.Contains(ids, e.ID) {
						used++
					}
				}
			}
		}
		return used == len(ids)
	})
	ctx := testContext(c.t)
	n := 0
	for _, customer := range doc.Customers {
		for _, r := range doc.Templates[0].Routes {
			at := c.daemons[n%len(c.daemons)]
			n++
			if a := requestRoute(ctx, c.t, at, doc, r, customer.Keys[0]); a.status != http.StatusOK || !a.finished {
				c.t.Errorf("route %s of customer %s through %s: %+v, want a complete response", r.Name, customer.Name, at.id, a)
			}
		}
	}
	c.t.Logf("%d VMs served %d requests", len(c.daemons), n)
}

// startEndpoint starts a fake endpoint of a model without a proxy.
func (c *cluster) startEndpoint(m brconfig.Model, id string, s brsetting.Settings) {
	f := &fake{id: id, address: brtest.FreeAddress(c.t)}
	args := []string{binaries + "/brfake", "--id=" + id, "--listen=" + f.address, "--kind=" + m.Kind, "--model=" + m.Name,
		"--region=" + s.Region, "--failure-domain=" + s.FailureDomain, "--key=" + s.EndpointKeys[0]}
	for _, d := range c.daemons {
		args = append(args, "--daemon="+d.peer)
	}
	f.process = c.newProcess(id, args...)
	f.start()
	c.fakes = append(c.fakes, f)
}

// requestRoute sends one request of a route through an entry.
func requestRoute(ctx context.Context, t *testing.T, at *daemon, doc brconfig.Document, r brconfig.Route, key string) response {
	t.Helper()
	isModel := func(m brconfig.Model) bool { return m.Name == r.Model }
	path, body := brengine.PathServices+r.Model+"/calls", []byte(`{"visit":"1"}`)
	if doc.Models[slices.IndexFunc(doc.Models, isModel)].Kind == string(brwire.KindEngine) {
		var err error
		path = brengine.PathCompletions
		if body, err = json.Marshal(brengine.Completion{Model: r.Model, Route: r.Name, Prompt: "a short text", MaxTokens: 8, Stream: true}); err != nil {
			t.Fatal(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+at.caller+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(brengine.HeaderRoute, r.Name)
	return send(req, call{key: key})
}
