package brpolicy

import (
	"strings"
	"testing"
	"time"
)

func validPolicy() Policy {
	return Policy{
		Version: 3,
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{"s", 1}}},
			{Name: "ab", Host: "h", Prefix: "/a/b/", Timeout: time.Second, Targets: []Target{{"s", 9}, {"t", 1}}},
			{Name: "root", Host: "other", Prefix: "/", Timeout: time.Second, Targets: []Target{{"t", 1}}},
		},
		Services:  []Service{{Name: "s"}, {Name: "t"}},
		Customers: []Customer{{Name: "c", Keys: []string{"k1", "k2"}}, {Name: "d", Keys: []string{"k3"}}},
	}
}

// TestCheck guards against accepting an invalid policy, which the daemons could not
// apply.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Policy)
		want   string // part of the error; empty for none
	}{
		{"valid", func(*Policy) {}, ""},
		{"unknown service", func(p *Policy) { p.Routes[0].Targets[0].Service = "x" }, "unknown service"},
		{"same place", func(p *Policy) { p.Routes[1].Prefix = "/a/" }, "same host and prefix"},
		{"no weight", func(p *Policy) { p.Routes[1].Targets = []Target{{"s", 0}, {"t", 0}} }, "add up to 0"},
		{"no target", func(p *Policy) { p.Routes[0].Targets = nil }, "add up to 0"},
		{"negative weight", func(p *Policy) { p.Routes[1].Targets[0].Weight = -1 }, "negative"},
		{"no timeout", func(p *Policy) { p.Routes[0].Timeout = 0 }, "timeout"},
		{"shared key", func(p *Policy) { p.Customers[1].Keys = []string{"k2"} }, "share a key"},
		{"prefix without slash", func(p *Policy) { p.Routes[0].Prefix = "/a" }, "slash"},
	} {
		p := validPolicy()
		test.change(&p)
		err := p.Check()
		if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want %q", test.name, err, test.want)
		}
	}
}

// TestManyFaults guards against an error that leaves faults out without saying so, or that
// grows with the lengths of names.
func TestManyFaults(t *testing.T) {
	p := validPolicy()
	p.Routes[0].Name = strings.Repeat("n", 1<<20)
	p.Routes[0].Timeout = 0
	for range maxJoinedFaults {
		p.Routes = append(p.Routes, p.Routes[0])
	}
	err := p.Check()
	if n := len(p.Faults()); n != 2*maxJoinedFaults+1 {
		t.Errorf("%d faults, want a timeout for each route and a prefix for each repeated one", n)
	}
	if text := err.Error(); !strings.Contains(text, "21 more faults") || len(text) > 1<<14 {
		t.Errorf("error of %d bytes ends with %q", len(text), text[max(0, len(text)-100):])
	}
}

// TestRoute guards against matching a request to a route with a shorter prefix than
// the longest match, or to a route of another host.
func TestRoute(t *testing.T) {
	table := Compile(validPolicy())
	for _, test := range []struct{ host, path, want string }{
		{"h", "/a/", "a"},
		{"h", "/a/x", "a"},
		{"h", "/a/b", "a"},
		{"h", "/a/b/", "ab"},
		{"h", "/a/b/c/d", "ab"},
		{"h", "/a", ""},
		{"h", "/", ""},
		{"other", "/", "root"},
		{"other", "/a/b/c", "root"},
		{"none", "/a/", ""},
		{"h", "", ""},
	} {
		got := ""
		if r := table.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("Route(%q, %q) = %q, want %q", test.host, test.path, got, test.want)
		}
	}
	if c := table.Customer("k2"); c == nil || c.Name != "c" {
		t.Errorf("Customer(k2) = %v, want customer c", c)
	}
	if c := table.Customer(""); c != nil {
		t.Errorf("Customer of an empty key = %v, want nil", c)
	}
}

// TestPickServiceFollowsWeights guards against a traffic split that deviates from the
// configured weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := validPolicy().Routes[1]
	got := map[string]int{}
	for i := range 1000 {
		got[r.PickService(float64(i)/1000)]++
	}
	if got["s"] != 900 || got["t"] != 100 {
		t.Errorf("picks %v, want 900 of s and 100 of t", got)
	}
}
