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

// Change carries the items of a document that differ from another document. It
// holds whole templates, customers and models, so that applying it needs no
// merging inside of an item.
type Change struct {
	Templates        []Template `json:"templates,omitempty" cbor:"templates,omitempty"` // new or replaced
	Customers        []Customer `json:"customers,omitempty" cbor:"customers,omitempty"`
	Models           []Model    `json:"models,omitempty" cbor:"models,omitempty"`
	RemovedTemplates []string   `json:"removed_templates,omitempty" cbor:"removed_templates,omitempty"` // names
	RemovedCustomers []string   `json:"removed_customers,omitempty" cbor:"removed_customers,omitempty"`
	RemovedModels    []string   `json:"removed_models,omitempty" cbor:"removed_models,omitempty"`
}

// Empty reports whether c changes nothing.
func (c Change) Empty() bool {
	return len(c.Templates)+len(c.Customers)+len(c.Models)+len(c.RemovedTemplates)+len(c.RemovedCustomers)+len(c.RemovedModels) == 0
}

// Diff returns the change that leads from old to new, sorted by name.
func Diff(old, new Document) Change {
	var c Change
	c.Templates, c.RemovedTemplates = diffItems(old.Templates, new.Templates)
	c.Customers, c.RemovedCustomers = diffItems(old.Customers, new.Customers)
	c.Models, c.RemovedModels = diffItems(old.Models, new.Models)
	return c
}

// With returns d with c applied and the items sorted by name; the order of
// items in a document has no meaning. Times of c become UTC, so that the result
// does not depend on the local time zone. Removing an absent item does nothing.
// d is not modified.
func (d Document) With(c Change) Document {
	return Document{
		Templates: withItems(d.Templates, c.Templates, c.RemovedTemplates),
		Customers: withItems(d.Customers, c.Customers, c.RemovedCustomers),
		Models:    withItems(d.Models, c.Models, c.RemovedModels),
	}
}

// Normalized returns d with the items sorted by name and the times in UTC. Of
// items with the same name only the last is kept, so d is checked before.
func (d Document) Normalized() Document {
	return Document{}.With(Change{Templates: d.Templates, Customers: d.Customers, Models: d.Models})
}

// Lines returns one line per difference that c makes to old, sorted by kind and
// name, such as "customer trust-north: keys, weight". Bearer keys are not shown.
func (c Change) Lines(old Document) []string {
	var lines []string
	lines = append(lines, diffLines("model", old.Models, c.Models, c.RemovedModels)...)
	lines = append(lines, diffLines("template", old.Templates, c.Templates, c.RemovedTemplates)...)
	return append(lines, diffLines("customer", old.Customers, c.Customers, c.RemovedCustomers)...)
}

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
		if o, ok := before[name]; !ok || !sameItem(o, after[name]) {
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

func withItems[T item[T]](old, changed []T, removed []string) []T {
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

// sameItem compares the JSON forms, which ignore the difference of nil and
// empty slices and of equal times in different locations of one offset. Equal
// items, most of a document, are told without encoding them.
func sameItem[T any](a, b T) bool {
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

// fieldDiffs describes the top-level fields that differ; scalars with both values.
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

// mustJSON encodes an item; items hold nothing that JSON can't express but
// years outside of 0 to 9999, which Parse can't produce either.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("brconfig: encode item: " + err.Error())
	}
	return b
}
