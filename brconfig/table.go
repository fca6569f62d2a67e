package brconfig

import (
	"slices"
	"strings"
	"time"
)

// Values that stand in for fields that are 0.
const (
	DefaultStuckMS         = 60_000
	DefaultMaxTokens       = 4096
	DefaultWeight          = 1
	DefaultHeadroomPercent = 20
	DefaultQueueTokens     = 2_000_000
)

// Resolved is a route as it applies to one customer: the template's values, the
// customer's parameters and the defaults.
type Resolved struct {
	Customer string
	Weight   int
	StuckSet bool // the template states StuckMS; otherwise it is DefaultStuckMS
	Route    Route
	Model    Model
	Move     *Move // of the route's model, with the customer's own date; nil when the model doesn't move
}

// Table is a compiled document. It is immutable and safe for concurrent use.
type Table struct {
	revision uint64
	byKey    map[string]Customer
	routes   map[routeKey]Resolved
	models   map[string]Model
	moves    []Move
}

type routeKey struct{ customer, name string }

// Compile builds the lookup table of d. The error of a document with problems
// is a *ParseError that holds them all.
func Compile(d Document, revision uint64) (*Table, error) {
	if ps := Check(d); len(ps) > 0 {
		return nil, &ParseError{Problems: ps}
	}
	t := &Table{revision: revision, byKey: map[string]Customer{}, routes: map[routeKey]Resolved{}, models: map[string]Model{}, moves: Moves(d)}
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

// Revision returns the revision that the table was compiled for.
func (t *Table) Revision() uint64 { return t.revision }

// Customer returns the customer that a bearer key belongs to. The customer's
// slices must not be modified.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}

// Route returns the route of a customer by the route's name or else by its
// model. When several routes of the template use the model, the first of them
// in the template's order is returned.
func (t *Table) Route(customer, routeOrModel string) (Resolved, bool) {
	r, ok := t.routes[routeKey{customer, routeOrModel}]
	return r, ok
}

// Model returns the limits of a model or a plain service, defaults applied.
func (t *Table) Model(name string) (Model, bool) {
	m, ok := t.models[name]
	return m, ok
}

// Moves returns what Moves returned for the document. The result must not be
// modified.
func (t *Table) Moves() []Move { return t.moves }

// Moves returns the version changes that d asks for, one per model, sorted by
// model. FinishBy is the earliest date over the customers whose template moves
// the model; a template without customers counts with its own date.
func Moves(d Document) []Move {
	byModel := map[string]Move{}
	add := func(m Move, by time.Time) {
		m.FinishBy = by.UTC()
		if o, ok := byModel[m.Model]; !ok || m.FinishBy.Before(o.FinishBy) {
			byModel[m.Model] = m
		}
	}
	used := map[string]bool{}
	templates := templatesByName(d)
	for _, c := range d.Customers {
		used[c.Template] = true
		for _, m := range templates[c.Template].Moves {
			add(m, c.moveBy(m, templates[c.Template]))
		}
	}
	for _, t := range d.Templates {
		for _, m := range t.Moves {
			if !used[t.Name] {
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

// With returns r with the parameters that p states.
func (r Route) With(p Parameters) Route {
	set(&r.Tier, p.Tier)
	set(&r.FirstTokenMS, p.FirstTokenMS)
	set(&r.TokenMS, p.TokenMS)
	set(&r.DeadlineMS, p.DeadlineMS)
	set(&r.NonIdempotent, p.NonIdempotent)
	return r
}

// moveBy returns the earliest date by which a model must have moved for c: a
// customer's own dates replace the template's, also with a later one.
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

func (t *Table) addRoutes(c Customer, tp Template) {
	parameters := map[string]Parameters{}
	for _, p := range c.Parameters {
		parameters[p.Route] = p
	}
	for _, r := range tp.Routes {
		rv := Resolved{Customer: c.Name, Weight: orDefault(c.Weight, DefaultWeight), Model: t.models[r.Model]}
		rv.Route = r.With(parameters[r.Name])
		rv.StuckSet = r.StuckMS != 0
		rv.Route.StuckMS = orDefault(r.StuckMS, DefaultStuckMS)
		rv.Route.MaxTokens = orDefault(r.MaxTokens, DefaultMaxTokens)
		if m, ok := tp.move(r.Model); ok {
			m.FinishBy = c.moveBy(m, tp)
			rv.Move = &m
		}
		t.routes[routeKey{c.Name, r.Name}] = rv
	}
	// A route's name takes precedence over a model of the same name.
	for _, r := range tp.Routes {
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

func orDefault(v, standard int) int {
	if v == 0 {
		return standard
	}
	return v
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}
