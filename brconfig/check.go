package brconfig

import (
	"fmt"
	"strings"
	"time"
)

// Limits of a document. They limit the encoding of one customer to about 1 KB, and
// a compiled table to a size that every daemon can hold in memory.
const (
	MaxNameBytes = 64
	MaxKeyBytes  = 256
	MaxKeys      = 2 // two, so that the old and the new key are valid while a key is being replaced
	MaxWeight    = 1000
	MaxMS        = 24 * 60 * 60 * 1000 // maximum value of a field in milliseconds: 24 h
	MaxHeadroom  = 90                  // percent; the rest is left to the lower tiers
)

// Problem is one reason why a document is invalid.
type Problem struct {
	Path    string `json:"path" cbor:"path"` // path of the field, such as customers[2].parameters[0].tier
	Message string `json:"message" cbor:"message"`
}

// String returns the path and the message, separated by a colon.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Check returns all problems of d, in the order models, templates, customers. The
// result is empty if d is valid, so that Compile succeeds.
func Check(d Document) []Problem {
	c := &checker{models: map[string]bool{}, templates: map[string]Template{}, keys: map[string]string{}, moves: map[string]Move{}}
	c.checkModels(d.Models)
	c.checkTemplates(d.Templates)
	c.checkCustomers(d.Customers)
	return c.problems
}

type checker struct {
	problems  []Problem
	models    map[string]bool     // names that are defined
	templates map[string]Template // by name
	keys      map[string]string   // bearer key -> path of its first use
	moves     map[string]Move     // by model
}

func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkModels(models []Model) {
	for i, m := range models {
		p := fmt.Sprintf("models[%d]", i)
		c.checkName(p+".name", m.Name)
		if c.models[m.Name] {
			c.report(p+".name", "model %q is defined twice", m.Name)
		}
		c.models[m.Name] = true
		if m.Kind != "engine" && m.Kind != "service" {
			c.report(p+".kind", "must be engine or service, is %q", m.Kind)
		}
		c.checkRange(p+".headroom_percent", m.HeadroomPercent, 0, MaxHeadroom)
		c.checkMin(p+".queue_tokens", m.QueueTokens, 0)
		c.checkMin(p+".outstanding_limit", m.OutstandingLimit, 0)
		if m.WeightBytes < 0 {
			c.report(p+".weight_bytes", "must be at least 0, is %d", m.WeightBytes)
		}
	}
}

func (c *checker) checkTemplates(templates []Template) {
	for i, t := range templates {
		p := fmt.Sprintf("templates[%d]", i)
		c.checkName(p+".name", t.Name)
		if _, ok := c.templates[t.Name]; ok {
			c.report(p+".name", "template %q is defined twice", t.Name)
		}
		c.templates[t.Name] = t
		if len(t.Routes) == 0 {
			c.report(p+".routes", "must name at least one route")
		}
		seen := map[string]bool{}
		for j, r := range t.Routes {
			rp := fmt.Sprintf("%s.routes[%d]", p, j)
			if seen[r.Name] {
				c.report(rp+".name", "route %q is defined twice", r.Name)
			}
			seen[r.Name] = true
			c.checkRoute(rp, r)
		}
		c.checkMoves(p, t)
	}
}

func (c *checker) checkRoute(p string, r Route) {
	c.checkName(p+".name", r.Name)
	if !c.models[r.Model] {
		c.report(p+".model", "no model or service is named %q", r.Model)
	}
	c.checkRange(p+".tier", r.Tier, 1, Tiers)
	c.checkRange(p+".first_token_ms", r.FirstTokenMS, 1, MaxMS)
	c.checkRange(p+".token_ms", r.TokenMS, 0, MaxMS)
	c.checkRange(p+".deadline_ms", r.DeadlineMS, 1, MaxMS)
	c.checkRange(p+".stuck_ms", r.StuckMS, 0, MaxMS)
	c.checkMin(p+".max_tokens", r.MaxTokens, 0)
	c.checkDeadline(p+".deadline_ms", r)
}

func (c *checker) checkDeadline(path string, r Route) {
	if r.DeadlineMS < r.FirstTokenMS {
		c.report(path, "deadline of %d ms is shorter than the first-token target of %d ms", r.DeadlineMS, r.FirstTokenMS)
	}
}

func (c *checker) checkMoves(p string, t Template) {
	seen := map[string]bool{}
	for i, m := range t.Moves {
		mp := fmt.Sprintf("%s.moves[%d]", p, i)
		if !c.models[m.Model] {
			c.report(mp+".model", "no model or service is named %q", m.Model)
		}
		if seen[m.Model] {
			c.report(mp+".model", "model %q moves twice in one template", m.Model)
		}
		seen[m.Model] = true
		c.checkName(mp+".from", m.From)
		c.checkName(mp+".to", m.To)
		if m.From == m.To {
			c.report(mp+".to", "must differ from the version that is moved from")
		}
		c.checkTime(mp+".finish_by", m.FinishBy)
		// A model has at most one rollout at a time, so two templates can't ask for
		// different moves of it.
		if o, ok := c.moves[m.Model]; ok && (o.From != m.From || o.To != m.To) {
			c.report(mp, "another template moves %q from %s to %s", m.Model, o.From, o.To)
		} else if !ok {
			c.moves[m.Model] = m
		}
	}
}

func (c *checker) checkCustomers(customers []Customer) {
	seen := map[string]bool{}
	for i, customer := range customers {
		p := fmt.Sprintf("customers[%d]", i)
		c.checkName(p+".name", customer.Name)
		if seen[customer.Name] {
			c.report(p+".name", "customer %q is defined twice", customer.Name)
		}
		seen[customer.Name] = true
		c.checkKeys(p, customer.Keys)
		c.checkRange(p+".weight", customer.Weight, 0, MaxWeight)
		t, ok := c.templates[customer.Template]
		if !ok {
			c.report(p+".template", "no template is named %q", customer.Template)
			continue
		}
		c.checkParameters(p, customer, t)
	}
}

func (c *checker) checkKeys(p string, keys []string) {
	c.checkRange(p+".keys", len(keys), 1, MaxKeys)
	for i, k := range keys {
		kp := fmt.Sprintf("%s.keys[%d]", p, i)
		switch first, used := c.keys[k]; {
		case k == "" || len(k) > MaxKeyBytes:
			c.report(kp, "must have 1 to %d bytes", MaxKeyBytes)
		case strings.ContainsFunc(k, func(r rune) bool { return r <= ' ' || r > '~' }):
			c.report(kp, "must consist of printable ASCII characters without spaces")
		case used:
			c.report(kp, "key is also used by %s", first)
		default:
			c.keys[k] = kp
		}
	}
}

func (c *checker) checkParameters(p string, customer Customer, t Template) {
	seen := map[string]bool{}
	for i, params := range customer.Parameters {
		ap := fmt.Sprintf("%s.parameters[%d]", p, i)
		if seen[params.Route] {
			c.report(ap+".route", "parameters for route %q are given twice", params.Route)
		}
		seen[params.Route] = true
		r, ok := t.route(params.Route)
		if !ok {
			c.report(ap+".route", "template %q has no route %q", t.Name, params.Route)
			continue
		}
		c.checkOptionalRange(ap+".tier", params.Tier, 1, Tiers)
		c.checkOptionalRange(ap+".first_token_ms", params.FirstTokenMS, 1, MaxMS)
		c.checkOptionalRange(ap+".token_ms", params.TokenMS, 0, MaxMS)
		c.checkOptionalRange(ap+".deadline_ms", params.DeadlineMS, 1, MaxMS)
		if params.FirstTokenMS != nil || params.DeadlineMS != nil {
			c.checkDeadline(ap+".deadline_ms", r.With(params))
		}
		if params.MoveBy == nil {
			continue
		}
		if _, ok := t.move(r.Model); !ok {
			c.report(ap+".move_by", "template %q does not move model %q", t.Name, r.Model)
		}
		c.checkTime(ap+".move_by", *params.MoveBy)
	}
}

// checkName allows only names that are valid in a URL path, in a header field and in
// the name of a pool.
func (c *checker) checkName(path, name string) {
	if name == "" || len(name) > MaxNameBytes {
		c.report(path, "must have 1 to %d bytes", MaxNameBytes)
		return
	}
	for _, r := range name {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-:", r) {
			continue
		}
		c.report(path, "%q may only have letters, digits and the characters . _ - :", name)
		return
	}
}

func (c *checker) checkRange(path string, v, low, high int) {
	if v < low || v > high {
		c.report(path, "must be %d to %d, is %d", low, high, v)
	}
}

func (c *checker) checkMin(path string, v, low int) {
	if v < low {
		c.report(path, "must be at least %d, is %d", low, v)
	}
}

// checkTime limits the year because the JSON encoding of time.Time fails for years
// after 9999.
func (c *checker) checkTime(path string, t time.Time) {
	if y := t.UTC().Year(); y < 2000 || y > 9998 {
		c.report(path, "must be a time in the years 2000 to 9998")
	}
}

func (c *checker) checkOptionalRange(path string, v *int, low, high int) {
	if v != nil {
		c.checkRange(path, *v, low, high)
	}
}

// route returns the route with the given name, and whether t has one.
func (t Template) route(name string) (Route, bool) {
	for _, r := range t.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// move returns the move of the given model, and whether t has one.
func (t Template) move(model string) (Move, bool) {
	for _, m := range t.Moves {
		if m.Model == model {
			return m, true
		}
	}
	return Move{}, false
}
