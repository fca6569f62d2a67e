package brconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is the difference between two documents. It holds complete templates,
// customers and models, so that applying it replaces whole items and never merges
// the fields of one.
type Change struct {
	Templates        []Template `json:"templates,omitempty" cbor:"templates,omitempty"` // new or replaced
	Customers        []Customer `json:"customers,omitempty" cbor:"customers,omitempty"`
	Models           []Model    `json:"models,omitempty" cbor:"models,omitempty"`
	RemovedTemplates []string   `json:"removed_templates,omitempty" cbor:"removed_templates,omitempty"` // names
	RemovedCustomers []string   `json:"removed_customers,omitempty" cbor:"removed_customers,omitempty"`
	RemovedModels    []string   `json:"removed_models,omitempty" cbor:"removed_models,omitempty"`
}

// Empty reports whether c holds no differences.
func (c Change) Empty() bool {
	return len(c.Templates)+len(c.Customers)+len(c.Models)+len(c.RemovedTemplates)+len(c.RemovedCustomers)+len(c.RemovedModels) == 0
}

// Diff returns the change from old to new. Its items are sorted by name.
func Diff(old, new Document) Change {
	var c Change
	c.Templates, c.RemovedTemplates = diffItems(old.Templates, new.Templates)
	c.Customers, c.RemovedCustomers = diffItems(old.Customers, new.Customers)
	c.Models, c.RemovedModels = diffItems(old.Models, new.Models)
	return c
}

// With returns a copy of d with c applied and the items sorted by name. The order
// of items in a document has no meaning. Times of c are converted to UTC, so that
// the result does not depend on the local time zone. Removing an item that d does
// not have has no effect.
func (d Document) With(c Change) Document {
	return Document{
		Templates: applyItems(d.Templates, c.Templates, c.RemovedTemplates),
		Customers: applyItems(d.Customers, c.Customers, c.RemovedCustomers),
		Models:    applyItems(d.Models, c.Models, c.RemovedModels),
	}
}

// Normalized returns a copy of d with the items sorted by name and the times in
// UTC. Of several items with the same name only the last remains, so d should be
// checked before.
func (d Document) Normalized() Document {
	return Document{}.With(Change{Templates: d.Templates, Customers: d.Customers, Models: d.Models})
}

// Lines returns one line for each item of old that c changes, such as
// "customer trust-north: keys, weight 3 -> 5", grouped by kind and sorted by name.
// The lines do not contain bearer keys.
func (c Change) Lines(old Document) []string {
	var lines []string
	lines = append(lines, diffLines("model", old.Models, c.Models, c.RemovedModels)...)
	lines = append(lines, diffLines("template", old.Templates, c.Templates, c.RemovedTemplates)...)
	return append(lines, diffLines("customer", old.Customers, c.Customers, c.RemovedCustomers)...)
}

// item is a template, customer or model.
type item[T any] interface {
	itemName() string
	inUTC() T
}

func (t Template) itemName() string { return t.Name }
func (c Customer) itemName() string { return c.Name }
func (m Model) itemName() string    { return m.Name }

func (t Template) inUTC() Template {
	t.Moves = slices.Clone(t.Moves)
	for i := range t.Moves {
		t.Moves[i].FinishBy = t.Moves[i].FinishBy.UTC()
	}
	return t
}

func (c Customer) inUTC() Customer {
	c.Parameters = slices.Clone(c.Parameters)
	for i, p := range c.Parameters {
		if p.MoveBy != nil {
			by := p.MoveBy.UTC()
			c.Parameters[i].MoveBy = &by
		}
	}
	return c
}

func (m Model) inUTC() Model { return m }

func diffItems[T item[T]](old, new []T) (changed []T, removed []string) {
	before, after := byName(old), byName(new)
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if o, ok := before[name]; !ok || !equalItems(o, after[name]) {
			changed = append(changed, after[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

func applyItems[T item[T]](old, changed []T, removed []string) []T {
	items := byName(old)
	for _, name := range removed {
		delete(items, name)
	}
	for _, it := range changed {
		items[it.itemName()] = it.inUTC()
	}
	list := make([]T, 0, len(items))
	for _, name := range slices.Sorted(maps.Keys(items)) {
		list = append(list, items[name])
	}
	return list
}

func byName[T item[T]](items []T) map[string]T {
	m := make(map[string]T, len(items))
	for _, it := range items {
		m[it.itemName()] = it
	}
	return m
}

// equalItems reports whether a and b have the same JSON encoding. The encoding does
// not distinguish nil from empty slices, or equal times in different locations with
// the same offset. DeepEqual comes first because most items of two documents are
// equal and then need no encoding.
func equalItems[T any](a, b T) bool {
	return reflect.DeepEqual(a, b) || bytes.Equal(mustJSON(a), mustJSON(b))
}

func diffLines[T item[T]](kind string, old, changed []T, removed []string) []string {
	before := byName(old)
	lines := make([]string, 0, len(changed)+len(removed))
	for _, it := range changed {
		o, ok := before[it.itemName()]
		if !ok {
			lines = append(lines, fmt.Sprintf("%s %s: added", kind, it.itemName()))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s: %s", kind, it.itemName(), strings.Join(fieldDiffs(o, it), ", ")))
	}
	for _, name := range removed {
		lines = append(lines, fmt.Sprintf("%s %s: removed", kind, name))
	}
	slices.Sort(lines)
	return lines
}

// fieldDiffs returns descriptions of the top-level JSON fields that differ, sorted
// by name. The description of a scalar has both values, that of a list or of the
// keys only the name.
func fieldDiffs[T any](old, new T) []string {
	a, b := jsonFields(old), jsonFields(new)
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var diffs []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		x, y := string(a[name]), string(b[name])
		switch {
		case x == y:
		case strings.HasPrefix(x+y, "[") || name == "keys":
			diffs = append(diffs, name)
		default:
			diffs = append(diffs, fmt.Sprintf("%s %s -> %s", name, orNone(x), orNone(y)))
		}
	}
	return diffs
}

func jsonFields(v any) map[string]json.RawMessage {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(mustJSON(v), &m); err != nil {
		panic("brconfig: item is not an object: " + err.Error())
	}
	return m
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// mustJSON encodes an item. It panics if encoding fails, which is possible only for
// times with a year outside of 0 to 9999. Parse does not return such times.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("brconfig: encode item: " + err.Error())
	}
	return b
}
