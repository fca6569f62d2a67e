package brcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"bramleyroute/brconfig"
	"bramleyroute/brcontrol"
	"bramleyroute/brstate"
)

// Document returns the findings for a brconfig.Document in JSON. Without an Error, the
// document is valid for daemons of this build.
func Document(data []byte) []Finding {
	doc, err := brconfig.Parse(data)
	if err != nil {
		return parseFindings(data, err)
	}
	c := &documentChecker{doc: doc, findings: []Finding{}}
	for _, p := range brconfig.Check(doc) {
		c.add(Error, p.Path, "%s", p.Message)
	}
	c.checkSize()
	c.checkUse()
	c.checkLimits()
	places := FindPlaces(data)
	for i, f := range c.findings {
		c.findings[i].Line = places.Line(f.Path)
	}
	Report{Findings: c.findings}.Sort()
	return c.findings
}

// parseFindings returns the findings for an error of brconfig.Parse.
func parseFindings(data []byte, err error) []Finding {
	var parse *brconfig.ParseError
	if !errors.As(err, &parse) {
		return []Finding{{Severity: Error, Message: err.Error()}}
	}
	var findings []Finding
	places := FindPlaces(data)
	for _, p := range parse.Problems {
		findings = append(findings, Finding{Severity: Error, Path: p.Path, Line: places.Line(p.Path), Message: p.Message})
	}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch err := json.Unmarshal(data, new(brconfig.Document)); {
	case errors.As(err, &syntax):
		findings[0].Line = LineAt(data, syntax.Offset)
	case errors.As(err, &kind):
		findings[0].Line = LineAt(data, kind.Offset)
	}
	return findings
}

type documentChecker struct {
	doc      brconfig.Document
	findings []Finding
}

func (c *documentChecker) add(s Severity, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...)})
}

// commandID has the length of the IDs that bramleyctl sends.
const commandID = "00000000-0000-0000-0000-000000000000"

func (c *documentChecker) checkSize() {
	data, err := brstate.Command{ID: commandID, PutConfiguration: &brstate.PutConfiguration{Document: &c.doc}}.Encode()
	switch {
	case err != nil:
		c.add(Error, "", "%v", err)
	case len(data) > brcontrol.MaxProposalBytes:
		c.add(Error, "", "%d bytes when it is proposed, control replicas accept at most %d", len(data), brcontrol.MaxProposalBytes)
	}
}

// checkUse finds what no request can use.
func (c *documentChecker) checkUse() {
	templates, models := map[string]bool{}, map[string]bool{}
	for i, customer := range c.doc.Customers {
		templates[customer.Template] = true
		for j, p := range customer.Parameters {
			if p == (brconfig.Parameters{Route: p.Route}) {
				c.add(Warning, fmt.Sprintf("customers[%d].parameters[%d]", i, j), "the parameters for route %q replace nothing", p.Route)
			}
		}
	}
	for i, t := range c.doc.Templates {
		if !templates[t.Name] {
			c.add(Warning, fmt.Sprintf("templates[%d]", i), "no customer uses template %q", t.Name)
		}
		for _, r := range t.Routes {
			models[r.Model] = true
		}
	}
	for i, m := range c.doc.Models {
		if !models[m.Name] {
			c.add(Warning, fmt.Sprintf("models[%d]", i), "no route leads to model %q", m.Name)
		}
	}
}

// checkLimits finds limits that contradict each other.
func (c *documentChecker) checkLimits() {
	for i, t := range c.doc.Templates {
		for j, r := range t.Routes {
			if r.StuckMS > 0 && r.StuckMS < r.TokenMS {
				c.add(Warning, fmt.Sprintf("templates[%d].routes[%d].stuck_ms", i, j),
					"streams end after %d ms without a token, before the target of %d ms between tokens", r.StuckMS, r.TokenMS)
			}
		}
		for j, m := range t.Moves {
			if !slices.ContainsFunc(t.Routes, func(r brconfig.Route) bool { return r.Model == m.Model }) {
				c.add(Warning, fmt.Sprintf("templates[%d].moves[%d]", i, j), "no route of template %q leads to model %q, which moves", t.Name, m.Model)
			}
		}
	}
}

// WithoutProblems returns a copy of r without the errors that have a path, which are those
// of brconfig.Check.
func (r Report) WithoutProblems() Report {
	r.Findings = slices.DeleteFunc(slices.Clone(r.Findings), func(f Finding) bool { return f.Severity == Error && f.Path != "" })
	return r
}

// DocumentDifferences returns the changes from document d to document e.
func DocumentDifferences(d, e brconfig.Document) []Change {
	var changes []Change
	for _, line := range brconfig.Diff(d, e.Normalized()).Lines(d) {
		subject, what, _ := strings.Cut(line, ": ")
		changes = append(changes, Change{Subject: subject, Action: what})
	}
	return changes
}
