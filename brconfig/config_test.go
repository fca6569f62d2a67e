package brconfig

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func ptr[T any](v T) *T { return &v }

var moveDate = time.Date(2026, 9, 1, 6, 0, 0, 0, time.UTC)

func sampleDocument() Document {
	return Document{
		Models: []Model{{Name: "large", Kind: "engine"}, {Name: "booking", Kind: "service"}},
		Templates: []Template{{Name: "twinning", Routes: []Route{
			{Name: "drafting", Model: "large", Tier: 4, FirstTokenMS: 2000, DeadlineMS: 60_000},
			{Name: "question", Model: "large", Tier: 1, FirstTokenMS: 400, DeadlineMS: 4000},
			{Name: "book", Model: "booking", Tier: 2, FirstTokenMS: 900, DeadlineMS: 9000, NonIdempotent: true},
		}, Moves: []Move{{Model: "large", From: "v1", To: "v2", FinishBy: moveDate}}}},
		Customers: []Customer{
			{Name: "trust-north", Template: "twinning", Keys: []string{"key-north"}, Parameters: []Parameters{{Route: "drafting", Tier: ptr(3), MoveBy: ptr(moveDate.Add(-time.Hour))}}},
			{Name: "trust-south", Template: "twinning", Keys: []string{"key-south"}, Weight: 3},
		},
	}
}

// TestCheckReportsAllProblems guards against a check that stops at the first problem
// or reports a wrong path.
func TestCheckReportsAllProblems(t *testing.T) {
	d := sampleDocument()
	d.Models[1].Kind = "plain"
	d.Templates[0].Routes[1].Tier = 6
	d.Templates[0].Moves[0].To = "v1"
	d.Customers[0].Parameters = append(d.Customers[0].Parameters, Parameters{Route: "question", DeadlineMS: ptr(100)}, Parameters{Route: "gone"})
	d.Customers[1].Keys = []string{"key-north"}
	d.Customers = append(d.Customers, Customer{Name: "new one", Template: "none"})
	var paths []string
	for _, p := range Check(d) {
		paths = append(paths, p.Path)
	}
	want := []string{"models[1].kind", "templates[0].routes[1].tier", "templates[0].moves[0].to",
		"customers[0].parameters[1].deadline_ms", "customers[0].parameters[2].route", "customers[1].keys[0]",
		"customers[2].name", "customers[2].keys", "customers[2].template"}
	if diff := cmp.Diff(want, paths); diff != "" {
		t.Error(diff)
	}
	if ps := Check(sampleDocument()); len(ps) > 0 {
		t.Errorf("sample document has problems: %v", ps)
	}
}

// TestParseNamesUnknownFields guards against silently ignoring misspelt and repeated
// fields.
func TestParseNamesUnknownFields(t *testing.T) {
	_, err := Parse([]byte(`{"customers":[{"name":"a","Weight":2,"parameters":[{"route":"r","teir":1,"tier":2,"tier":3}]}],"extra":{"x":1}}`))
	var pe *ParseError
	if !errors.As(err, &pe) {
		t.Fatalf("Parse returned error %v, want a *ParseError", err)
	}
	want := []Problem{{"customers[0].Weight", "unknown field"}, {"customers[0].parameters[0].teir", "unknown field"},
		{"customers[0].parameters[0].tier", "field is given twice"}, {"extra", "unknown field"}}
	if diff := cmp.Diff(want, pe.Problems); diff != "" {
		t.Error(diff)
	}
	for _, text := range []string{`{"models":[{"headroom_percent":"x"}]}`, `{`, `{} {}`} {
		if _, err := Parse([]byte(text)); !errors.As(err, &pe) {
			t.Errorf("Parse(%s) returned error %v, want a *ParseError", text, err)
		}
	}
	if d, err := Parse(mustJSON(sampleDocument())); err != nil || !cmp.Equal(d, sampleDocument()) {
		t.Errorf("Parse of a valid document: error %v, diff (-want +got):\n%s", err, cmp.Diff(sampleDocument(), d))
	}
}

// TestTable guards against parameters of one customer that affect another, and
// against a lookup by model that returns a route other than the first.
func TestTable(t *testing.T) {
	table, err := Compile(sampleDocument(), 7)
	if err != nil {
		t.Fatal(err)
	}
	north, _ := table.Route("trust-north", "large")
	south, _ := table.Route("trust-south", "drafting")
	if north.Route.Tier != 3 || south.Route.Tier != 4 || north.Route.Name != "drafting" || south.Weight != 3 {
		t.Errorf("parameters or weight of a customer are wrong: north %+v\nsouth %+v", north, south)
	}
	if north.Route.StuckMS != DefaultStuckMS || north.Model.HeadroomPercent != DefaultHeadroomPercent {
		t.Errorf("defaults were not applied: %+v", north)
	}
	if !north.Move.FinishBy.Equal(moveDate.Add(-time.Hour)) || !south.Move.FinishBy.Equal(moveDate) {
		t.Errorf("dates of the move: north %v, south %v; want the own date and the template's", north.Move.FinishBy, south.Move.FinishBy)
	}
	if m := table.Moves(); len(m) != 1 || !m[0].FinishBy.Equal(moveDate.Add(-time.Hour)) {
		t.Errorf("moves are %v, want one with the earliest date", m)
	}
	if c, ok := table.Customer("key-south"); !ok || c.Name != "trust-south" {
		t.Errorf("customer of key-south is %+v, want trust-south", c)
	}
	if _, ok := table.Route("trust-south", "nothing"); ok {
		t.Error("Route found a route that does not exist")
	}
}

// TestWithAppliesDiff guards against a change that loses or adds an item: applying
// Diff(a, b) to a must give b.
func TestWithAppliesDiff(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) Document {
		var d Document
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 6, rapid.ID).Draw(t, "names") {
			name := fmt.Sprint("c", i)
			d.Customers = append(d.Customers, Customer{Name: name, Weight: rapid.IntRange(0, 2).Draw(t, "weight")})
			d.Models = append(d.Models, Model{Name: name, QueueTokens: rapid.IntRange(0, 2).Draw(t, "queue")})
		}
		return d
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := gen.Draw(t, "a"), gen.Draw(t, "b")
		c := Diff(a, b)
		if got, want := a.With(c), b.With(Change{}); !cmp.Equal(got, want) {
			t.Fatal(cmp.Diff(want, got))
		}
		if !Diff(a.With(c), b).Empty() {
			t.Fatal("a difference remains after the change was applied")
		}
	})
}

// TestLines guards against lines that contain a bearer key.
func TestLines(t *testing.T) {
	d := sampleDocument()
	d.Customers = []Customer{{Name: "trust-south", Template: "twinning", Keys: []string{"key-other"}}, {Name: "zulu"}}
	got := Diff(sampleDocument(), d).Lines(sampleDocument())
	want := []string{"customer trust-north: removed", "customer trust-south: keys, weight 3 -> none", "customer zulu: added"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestReference guards against a field that is missing from the reference page and
// against a page that is out of date.
func TestReference(t *testing.T) {
	var paths []string
	for _, f := range Fields() {
		paths = append(paths, f.Path)
	}
	var want []string
	var walk func(reflect.Type, string)
	walk = func(rt reflect.Type, prefix string) {
		for f := range rt.Fields() {
			p := strings.TrimPrefix(prefix+"."+jsonName(f), ".")
			if f.Type.Kind() == reflect.Slice {
				p += "[]"
			}
			want = append(want, p)
			if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
				walk(f.Type.Elem(), p)
			}
		}
	}
	walk(reflect.TypeFor[Document](), "")
	slices.Sort(paths)
	slices.Sort(want)
	if diff := cmp.Diff(want, paths); diff != "" {
		t.Error(diff)
	}
	if err := os.MkdirAll("../docs/reference", 0o755); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs/reference"), goldie.WithNameSuffix(".md")).Assert(t, "configuration", []byte(Reference()))
}

func ExampleCompile() {
	table, err := Compile(sampleDocument(), 12)
	if err != nil {
		fmt.Println(err)
		return
	}
	c, _ := table.Customer("key-north")
	r, _ := table.Route(c.Name, "question")
	fmt.Println(c.Name, r.Route.Name, r.Route.Tier, r.Route.Deadline())
	// Output: trust-north question 1 4s
}
