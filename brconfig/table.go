package brconfig

import (
	"slices"
	"strings"
	"time"
)

// Defaults of fields that are 0.
const (
	DefaultStuckMS         = 60_000
	DefaultMaxTokens       = 4096
	DefaultWeight          = 1
	DefaultHeadroomPercent = 20
	DefaultQueueTokens     = 2_000_000
)

// ResolvedRoute is a route as it applies to one customer: the template's route with
// the customer's parameters and the defaults.
type ResolvedRoute struct {
	Customer        string
	Weight          int
	HasStuckTimeout bool // whether the template sets StuckMS; otherwise Route.StuckMS is DefaultStuckMS
	Route           Route
	Model           Model
	Move            *Move // move of the route's model, with the customer's own date; nil if the template has none
}

// Table is a compiled document. It is immutable and safe for concurrent use.
type Table struct {
	revision uint64
	byKey    map[string]Customer
	routes   map[routeKey]ResolvedRoute
	models   map[string]Model
	moves    []Move
}

type routeKey struct{ customer, name string }

// Compile builds the lookup table of d. If Check finds problems, Compile returns a
// *ParseError with all of them.
func Compile(d Document, revision uint64) (*Table, error) {
	if ps := Check(d); len(ps) > 0 {
		return nil, &ParseError{Problems: ps}
	}
	t := &Table{revision: revision, byKey: map[string]Customer{}, routes: map[routeKey]ResolvedRoute{}, models: map[string]Model{}, moves: Moves(d)}
	for _, m := range d.Models {
		t.models[m.Name] = m.withDefaults()
	}
	templates := templatesByName(d)
	for _, c := range d.Customers {
		for _, k := range c.Keys {
			t.byKey[k] = c
		}
		t.addRoutes(c, templates[c.Template])
	}
	return t, nil
}

// Revision returns the revision that was passed to Compile.
func (t *Table) Revision() uint64 { return t.revision }

// Customer returns the customer to which a bearer key belongs, and whether there is
// one. The customer's slices must not be modified.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}

// Route returns the route of a customer with the given name or, if there is none,
// the first route of the customer's template that uses the model of that name. The
// second result reports whether a route was found.
func (t *Table) Route(customer, routeOrModel string) (ResolvedRoute, bool) {
	r, ok := t.routes[routeKey{customer, routeOrModel}]
	return r, ok
}

// Model returns the limits of a model or a plain service with the defaults applied,
// and whether the document defines it.
func (t *Table) Model(name string) (Model, bool) {
	m, ok := t.models[name]
	return m, ok
}

// Moves returns the result of the function Moves for the document. It must not be
// modified.
func (t *Table) Moves() []Move { return t.moves }

// Moves returns the version changes of d, one per model, sorted by model. FinishBy
// is the earliest date of all customers whose template moves the model. A template
// without customers contributes its own date.
func Moves(d Document) []Move {
	byModel := map[string]Move{}
	add := func(m Move, finishBy time.Time) {
		m.FinishBy = finishBy.UTC()
		if o, ok := byModel[m.Model]; !ok || m.FinishBy.Before(o.FinishBy) {
			byModel[m.Model] = m
		}
	}
	hasCustomers := map[string]bool{}
	templates := templatesByName(d)
	for _, c := range d.Customers {
		hasCustomers[c.Template] = true
		for _, m := range templates[c.Template].Moves {
			add(m, c.moveBy(m, templates[c.Template]))
		}
	}
	for _, t := range d.Templates {
		for _, m := range t.Moves {
			if !hasCustomers[t.Name] {
				add(m, m.FinishBy)
			}
		}
	}
	moves := make([]Move, 0, len(byModel))
	for _, m := range byModel {
		moves = append(moves, m)
	}
	slices.SortFunc(moves, func(a, b Move) int { return strings.Compare(a.Model, b.Model) })
	return moves
}

// With returns r with the values of p that are not nil.
func (r Route) With(p Parameters) Route {
	override(&r.Tier, p.Tier)
	override(&r.FirstTokenMS, p.FirstTokenMS)
	override(&r.TokenMS, p.TokenMS)
	override(&r.DeadlineMS, p.DeadlineMS)
	override(&r.NonIdempotent, p.NonIdempotent)
	return r
}

// moveBy returns the earliest date by which the move m of the template t must finish
// for c. The customer's own dates replace the template's date, even if they are
// later.
func (c Customer) moveBy(m Move, t Template) time.Time {
	var by time.Time
	for _, p := range c.Parameters {
		r, ok := t.route(p.Route)
		if ok && r.Model == m.Model && p.MoveBy != nil && (by.IsZero() || p.MoveBy.Before(by)) {
			by = *p.MoveBy
		}
	}
	if by.IsZero() {
		return m.FinishBy
	}
	return by
}

func (t *Table) addRoutes(c Customer, template Template) {
	parameters := map[string]Parameters{}
	for _, p := range c.Parameters {
		parameters[p.Route] = p
	}
	for _, r := range template.Routes {
		resolved := ResolvedRoute{Customer: c.Name, Weight: orDefault(c.Weight, DefaultWeight), Model: t.models[r.Model]}
		resolved.Route = r.With(parameters[r.Name])
		resolved.HasStuckTimeout = r.StuckMS != 0
		resolved.Route.StuckMS = orDefault(r.StuckMS, DefaultStuckMS)
		resolved.Route.MaxTokens = orDefault(r.MaxTokens, DefaultMaxTokens)
		if m, ok := template.move(r.Model); ok {
			m.FinishBy = c.moveBy(m, template)
			resolved.Move = &m
		}
		t.routes[routeKey{c.Name, r.Name}] = resolved
	}
	// A route's name takes precedence over a model of the same name.
	for _, r := range template.Routes {
		if _, ok := t.routes[routeKey{c.Name, r.Model}]; !ok {
			t.routes[routeKey{c.Name, r.Model}] = t.routes[routeKey{c.Name, r.Name}]
		}
	}
}

func (m Model) withDefaults() Model {
	m.HeadroomPercent = orDefault(m.HeadroomPercent, DefaultHeadroomPercent)
	m.QueueTokens = orDefault(m.QueueTokens, DefaultQueueTokens)
	return m
}

func templatesByName(d Document) map[string]Template {
	byName := make(map[string]Template, len(d.Templates))
	for _, t := range d.Templates {
		byName[t.Name] = t
	}
	return byName
}

func orDefault(v, defaultValue int) int {
	if v == 0 {
		return defaultValue
	}
	return v
}

func override[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}
