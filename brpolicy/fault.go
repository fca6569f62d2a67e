package brpolicy

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one reason why a policy is invalid.
type Fault struct {
	Path    string // of the field, such as routes[2].targets[0].weight
	Message string
}

// Error returns the message.
func (f *Fault) Error() string { return "brpolicy: " + f.Message }

// maxJoinedFaults limits the error of Check, which daemons log and send to operators.
const maxJoinedFaults = 20

// Check returns an error that joins the first faults of a policy, or nil if it is valid.
func (p Policy) Check() error {
	faults := p.Faults()
	var joined []error
	for _, f := range faults[:min(len(faults), maxJoinedFaults)] {
		joined = append(joined, f)
	}
	if more := len(faults) - len(joined); more > 0 {
		joined = append(joined, fmt.Errorf("brpolicy: %d more faults", more))
	}
	return errors.Join(joined...)
}

// Faults returns all faults of a policy in the order services, routes, customers.
func (p Policy) Faults() []*Fault {
	var c checker
	c.checkServices(p.Services)
	c.checkRoutes(p)
	c.checkKeys(p.Customers)
	return c.faults
}

type checker struct{ faults []*Fault }

// report adds a fault. Formats shorten names to 64 characters, so that a long name in many
// faults doesn't fill the memory.
func (c *checker) report(path, format string, args ...any) {
	c.faults = append(c.faults, &Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkServices(services []Service) {
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		if !(s.ColdRate >= 0) { // true for NaN
			c.report(path+".cold_rate", "service %.64q: rate %v of a cold endpoint is negative", s.Name, s.ColdRate)
		}
		if s.ColdStart < 0 {
			c.report(path+".cold_start", "service %.64q: cold start of %v is negative", s.Name, s.ColdStart)
		}
	}
}

func (c *checker) checkRoutes(p Policy) {
	services := map[string]bool{}
	for _, s := range p.Services {
		services[s.Name] = true
	}
	names := map[string]string{}
	for i, r := range p.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.report(path+".prefix", "route %.64q: prefix %.64q doesn't begin and end with a slash", r.Name, r.Prefix)
		}
		if r.Timeout <= 0 {
			c.report(path+".timeout", "route %.64q: timeout %v isn't positive", r.Name, r.Timeout)
		}
		c.checkTargets(path, r, services)
		key := r.Host + r.Prefix
		if other, ok := names[key]; ok {
			c.report(path+".prefix", "routes %.64q and %.64q have the same host and prefix", other, r.Name)
			continue
		}
		names[key] = r.Name
	}
}

// maxWeight is the largest weight of a service. A float64 holds the sum of all weights of
// a route exactly.
const maxWeight = 1_000_000_000

func (c *checker) checkTargets(path string, r Route, services map[string]bool) {
	traffic := false
	for i, t := range r.Targets {
		target := fmt.Sprintf("%s.targets[%d]", path, i)
		if !services[t.Service] {
			c.report(target+".service", "route %.64q: unknown service %.64q", r.Name, t.Service)
		}
		if t.Weight < 0 {
			c.report(target+".weight", "route %.64q: negative weight of service %.64q", r.Name, t.Service)
		}
		if t.Weight > maxWeight {
			c.report(target+".weight", "route %.64q: weight %d of service %.64q, want at most %d", r.Name, t.Weight, t.Service, maxWeight)
		}
		traffic = traffic || t.Weight != 0
	}
	if !traffic {
		c.report(path+".targets", "route %.64q: weights add up to 0", r.Name)
	}
}

func (c *checker) checkKeys(customers []Customer) {
	owners := map[string]string{}
	for i, customer := range customers {
		for j, k := range customer.Keys {
			if other, ok := owners[k]; ok && other != customer.Name {
				c.report(fmt.Sprintf("customers[%d].keys[%d]", i, j), "customers %.64q and %.64q share a key", other, customer.Name)
			}
			owners[k] = customer.Name
		}
	}
}
