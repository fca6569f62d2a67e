package brcheck

import (
	"fmt"
	"net"
	"strings"
	"time"

	"bramleyroute/brpolicy"
)

// Situation holds what a check of limits compares with. Zero values are unknown.
type Situation struct {
	GracePeriod time.Duration // between the request to stop a daemon and its end
	BufferBytes int64         // memory of a daemon for the bodies of all unfinished requests
}

// Policy returns the findings for a policy: the faults for which a daemon refuses it, and
// then what it accepts although it has no effect or contradicts itself.
func Policy(p brpolicy.Policy, s Situation) []Finding {
	c := &policyChecker{policy: p, situation: s}
	for _, f := range p.Faults() {
		c.findings = append(c.findings, Finding{Severity: Error, Path: f.Path, Message: f.Message})
	}
	c.checkServices()
	for i, r := range p.Routes {
		c.checkMatch(i, r)
		c.checkRouteLimits(fmt.Sprintf("routes[%d]", i), r)
	}
	c.checkCustomers()
	c.checkBodyLimit()
	return c.findings
}

type policyChecker struct {
	policy    brpolicy.Policy
	situation Situation
	findings  []Finding
}

func (c *policyChecker) warn(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Warning, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *policyChecker) checkServices() {
	named := map[string]bool{}
	for _, r := range c.policy.Routes {
		for _, t := range r.Targets {
			named[t.Service] = true
		}
	}
	seen := map[string]bool{}
	for i, s := range c.policy.Services {
		path := fmt.Sprintf("services[%d]", i)
		if !named[s.Name] {
			c.warn(path, "no route leads to service %q", s.Name)
		}
		if seen[s.Name] {
			c.warn(path+".name", "service %q is defined twice; only the last definition is used", s.Name)
		}
		seen[s.Name] = true
	}
}

// checkMatch finds routes that can't match a request. A route never hides another one,
// because the longest prefix of a host matches and two routes with the same prefix are
// refused.
func (c *policyChecker) checkMatch(i int, r brpolicy.Route) {
	path := fmt.Sprintf("routes[%d]", i)
	switch _, _, err := net.SplitHostPort(r.Host); {
	case r.Host == "":
		c.warn(path+".host", "route %q has no host, so it matches only requests without one", r.Name)
	case err == nil:
		c.warn(path+".host", "route %q never matches, because host %q has a port and requests are matched without it", r.Name, r.Host)
	case strings.ContainsFunc(r.Host, func(c rune) bool { return c <= ' ' || c == '/' }):
		c.warn(path+".host", "route %q never matches, because %q isn't a host", r.Name, r.Host)
	}
	// The prefix is compared with the path as it is sent, up to the query.
	if strings.ContainsFunc(r.Prefix, func(c rune) bool { return c <= ' ' || c == '?' || c == 0x7f }) {
		c.warn(path+".prefix", "route %q never matches, because a path can't contain %q", r.Name, r.Prefix)
	}
	for j, t := range r.Targets {
		if t.Weight == 0 {
			c.warn(fmt.Sprintf("%s.targets[%d].weight", path, j), "route %q gives no traffic to service %q", r.Name, t.Service)
		}
	}
	for _, other := range c.policy.Routes[:i] {
		if other.Name == r.Name {
			c.warn(path+".name", "another route is also named %q; logs and metrics don't tell them apart", r.Name)
			return
		}
	}
}

func (c *policyChecker) checkRouteLimits(path string, r brpolicy.Route) {
	if r.FirstByteTarget > r.Timeout {
		c.warn(path+".first_byte_target", "route %q: target %v for the first byte is beyond the timeout %v", r.Name, r.FirstByteTarget, r.Timeout)
	}
	if r.EventIntervalTarget > r.Timeout {
		c.warn(path+".event_interval_target", "route %q: target %v between events is beyond the timeout %v", r.Name, r.EventIntervalTarget, r.Timeout)
	}
	if grace := c.situation.GracePeriod; grace > 0 && r.Timeout > grace {
		c.warn(path+".timeout", "route %q: timeout %v is beyond the grace period %v, so a stop can end requests early", r.Name, r.Timeout, grace)
	}
	if r.RetryMode == brpolicy.NeverRetry && r.MaxAttempts > 1 {
		c.findings = append(c.findings, Finding{Severity: Note, Path: path + ".max_attempts", Message: fmt.Sprintf(
			"route %q isn't idempotent: of its %d attempts, those after the first are only made if the request certainly hasn't run", r.Name, r.MaxAttempts)})
	}
}

func (c *policyChecker) checkCustomers() {
	seen := map[string]bool{}
	for i, customer := range c.policy.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		if seen[customer.Name] {
			c.warn(path+".name", "customer %q is defined twice; only the last quota is used", customer.Name)
		}
		seen[customer.Name] = true
		if len(customer.Keys) == 0 {
			c.warn(path, "customer %q has no key, so no request is from it", customer.Name)
		}
		keys := map[string]bool{}
		for j, k := range customer.Keys {
			switch {
			case k == "":
				c.warn(fmt.Sprintf("%s.keys[%d]", path, j), "customer %q: an empty key never matches", customer.Name)
			case keys[k]:
				c.warn(fmt.Sprintf("%s.keys[%d]", path, j), "customer %q: the key is given twice", customer.Name)
			}
			keys[k] = true
		}
		c.checkQuota(path, customer)
	}
}

// checkQuota relies on brquota: a rate of 0 or less is no limit, and a request is admitted
// while the bucket holds at least one unit.
func (c *policyChecker) checkQuota(path string, customer brpolicy.Customer) {
	switch {
	case customer.Rate < 0:
		c.warn(path+".rate", "customer %q: a negative rate is no limit", customer.Name)
	case customer.Rate == 0 && customer.Burst != 0:
		c.warn(path+".burst", "customer %q: a burst without a rate is no limit", customer.Name)
	case customer.Rate > 0 && customer.Burst < 1:
		c.warn(path+".burst", "customer %q: a burst of %v, below 1, leaves every request refused", customer.Name, customer.Burst)
	case customer.Rate > 0 && customer.QuotaInTokens && customer.Burst < customer.DefaultTokens:
		c.warn(path+".burst", "customer %q: a burst of %v tokens is less than the %v tokens of a usual request", customer.Name, customer.Burst, customer.DefaultTokens)
	}
}

func (c *policyChecker) checkBodyLimit() {
	if buffer := c.situation.BufferBytes; buffer > 0 && c.policy.Limits.BodyBytes > buffer {
		c.warn("limits.body_bytes", "bodies of up to %d bytes are allowed, but a daemon has only %d bytes for all of them", c.policy.Limits.BodyBytes, buffer)
	}
}
