package brcheck

import (
	"cmp"
	"fmt"
	"slices"

	"bramleyroute/brpolicy"
)

// Change is a difference by meaning between two configurations. It holds no keys.
type Change struct {
	Subject string `json:"subject"`         // such as route "r"
	Field   string `json:"field,omitempty"` // empty if the whole subject is added or dropped
	Action  string `json:"action"`          // added, dropped, moved, changed, raised or lowered
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

// Values of Change.Action.
const (
	added   = "added"
	dropped = "dropped"
	moved   = "moved"
	changed = "changed"
	raised  = "raised"
	lowered = "lowered"
)

// String returns the change for people.
func (c Change) String() string {
	text := c.Subject
	if c.Field != "" {
		text += ": " + c.Field
	}
	text += " " + c.Action
	if c.From != "" || c.To != "" {
		text += fmt.Sprintf(" from %s to %s", cmp.Or(c.From, "none"), cmp.Or(c.To, "none"))
	}
	return text
}

// Differences returns the changes from policy p to policy q. Routes, services and customers
// are the same if they have the same name.
func Differences(p, q brpolicy.Policy) []Change {
	var d differ
	pair(&d, "route", p.Routes, q.Routes, func(r brpolicy.Route) string { return r.Name }, d.route)
	pair(&d, "service", p.Services, q.Services, func(s brpolicy.Service) string { return s.Name }, d.service)
	pair(&d, "customer", p.Customers, q.Customers, func(c brpolicy.Customer) string { return c.Name }, d.customer)
	d.subject = "limits"
	ordered(&d, "header bytes", p.Limits.HeaderBytes, q.Limits.HeaderBytes)
	ordered(&d, "body bytes", p.Limits.BodyBytes, q.Limits.BodyBytes)
	ordered(&d, "header timeout", p.Limits.HeaderTimeout, q.Limits.HeaderTimeout)
	ordered(&d, "idle timeout", p.Limits.IdleTimeout, q.Limits.IdleTimeout)
	return d.changes
}

type differ struct {
	subject string
	changes []Change
}

func (d *differ) add(action, field, from, to string) {
	d.changes = append(d.changes, Change{Subject: d.subject, Field: field, Action: action, From: from, To: to})
}

// pair compares the elements of a and b that have the same name, the nth with the nth if
// several have it, and adds those without a counterpart as dropped or added.
func pair[T any](d *differ, kind string, a, b []T, name func(T) string, compare func(T, T)) {
	inB := map[string][]T{}
	for _, e := range b {
		inB[name(e)] = append(inB[name(e)], e)
	}
	matched := map[string]int{}
	for _, e := range a {
		n := name(e)
		d.subject = fmt.Sprintf("%s %q", kind, n)
		if others := inB[n]; matched[n] < len(others) {
			compare(e, others[matched[n]])
			matched[n]++
			continue
		}
		d.add(dropped, "", "", "")
	}
	for _, e := range b {
		n := name(e)
		if matched[n] > 0 {
			matched[n]--
			continue
		}
		d.subject = fmt.Sprintf("%s %q", kind, n)
		d.add(added, "", "", "")
	}
}

func ordered[T cmp.Ordered](d *differ, field string, from, to T) {
	switch {
	case from < to:
		d.add(raised, field, fmt.Sprint(from), fmt.Sprint(to))
	case from > to:
		d.add(lowered, field, fmt.Sprint(from), fmt.Sprint(to))
	}
}

func equal[T comparable](d *differ, field string, from, to T) {
	if from != to {
		d.add(changed, field, fmt.Sprint(from), fmt.Sprint(to))
	}
}

func (d *differ) route(a, b brpolicy.Route) {
	if from, to := a.Host+a.Prefix, b.Host+b.Prefix; from != to {
		d.add(moved, "", from, to)
	}
	if from, to := targetsText(a.Targets), targetsText(b.Targets); from != to {
		action := changed
		if !sameServices(a.Targets, b.Targets) {
			action = moved
		}
		d.add(action, "services", from, to)
	}
	equal(d, "retry mode", modeText(a.RetryMode), modeText(b.RetryMode))
	equal(d, "stream of events", a.Stream, b.Stream)
	ordered(d, "timeout", a.Timeout, b.Timeout)
	ordered(d, "first byte target", a.FirstByteTarget, b.FirstByteTarget)
	ordered(d, "event interval target", a.EventIntervalTarget, b.EventIntervalTarget)
	ordered(d, "rank (0 is the most urgent)", a.Rank, b.Rank)
	ordered(d, "attempts", a.MaxAttempts, b.MaxAttempts)
	equal(d, "requests without a key", a.Anonymous, b.Anonymous)
}

func modeText(m brpolicy.RetryMode) string {
	switch m {
	case brpolicy.SafeToRetry:
		return "safe to retry"
	case brpolicy.Resumable:
		return "resumable"
	default:
		return "never retry"
	}
}

func targetsText(targets []brpolicy.Target) string {
	text := ""
	for _, t := range sortedTargets(targets) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s (weight %d)", t.Service, t.Weight)
	}
	return text
}

func sameServices(a, b []brpolicy.Target) bool {
	return slices.EqualFunc(sortedTargets(a), sortedTargets(b), func(x, y brpolicy.Target) bool { return x.Service == y.Service })
}

func sortedTargets(targets []brpolicy.Target) []brpolicy.Target {
	return slices.SortedStableFunc(slices.Values(targets), func(a, b brpolicy.Target) int { return cmp.Compare(a.Service, b.Service) })
}

func (d *differ) service(a, b brpolicy.Service) {
	equal(d, "health path", a.HealthPath, b.HealthPath)
	ordered(d, "connections", a.MaxConnections, b.MaxConnections)
	ordered(d, "rate of a cold endpoint", a.ColdRate, b.ColdRate)
	ordered(d, "cold start", a.ColdStart, b.ColdStart)
	equal(d, "engine", a.Engine != nil, b.Engine != nil)
	if a.Engine == nil || b.Engine == nil {
		return
	}
	ordered(d, "slots", a.Engine.Slots, b.Engine.Slots)
	ordered(d, "KV cache capacity", a.Engine.KVCapacity, b.Engine.KVCapacity)
	ordered(d, "tokens per event", a.Engine.TokensPerEvent, b.Engine.TokensPerEvent)
}

func (d *differ) customer(a, b brpolicy.Customer) {
	if n := missing(a.Keys, b.Keys); n > 0 {
		d.add(dropped, fmt.Sprintf("%d of %d keys", n, len(a.Keys)), "", "")
	}
	if n := missing(b.Keys, a.Keys); n > 0 {
		d.add(added, fmt.Sprintf("%d of %d keys", n, len(b.Keys)), "", "")
	}
	ordered(d, "rank (0 is the highest)", a.Rank, b.Rank)
	equal(d, "quota in tokens", a.QuotaInTokens, b.QuotaInTokens)
	ordered(d, "quota per second", a.Rate, b.Rate)
	ordered(d, "burst", a.Burst, b.Burst)
	ordered(d, "tokens of a usual request", a.DefaultTokens, b.DefaultTokens)
}

// missing returns the number of keys that others lacks.
func missing(keys, others []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
