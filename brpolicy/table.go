package brpolicy

import (
	"strings"
)

// Table is a compiled policy with lookups by request. It is immutable. The zero
// value has no routes.
type Table struct {
	policy    Policy
	hosts     map[string]map[string]*Route // by host and prefix
	customers map[string]*Customer         // by key
	services  map[string]*Service
}

// Compile returns the table of a policy, which must be valid according to Check.
func Compile(p Policy) *Table {
	t := &Table{
		policy:    p,
		hosts:     map[string]map[string]*Route{},
		customers: map[string]*Customer{},
		services:  map[string]*Service{},
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	for i := range p.Customers {
		for _, k := range p.Customers[i].Keys {
			t.customers[k] = &p.Customers[i]
		}
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Policy returns the policy that the table was compiled from.
func (t *Table) Policy() Policy { return t.policy }

// Route returns the route of the host whose prefix is the longest match of path, or
// nil if there is none.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Customer returns the customer that a key belongs to, or nil if the key is unknown.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService selects a service of the route with a probability proportional to its
// weight. The argument must be uniformly distributed in [0, 1). PickService panics if
// random is 1 or greater.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := int(random * float64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	panic("brpolicy: random value out of range")
}
