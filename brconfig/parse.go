package brconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"
)

// ParseError is the error of a document or change with problems.
type ParseError struct{ Problems []Problem }

// Error returns all problems on one line, separated by semicolons.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "brconfig: " + strings.Join(lines, "; ")
}

// Parse decodes a document from JSON. It returns a *ParseError that lists all
// unknown and repeated fields. Field names are case-sensitive. If the JSON is
// malformed or a value has the wrong type, the *ParseError holds only that problem.
// Parse does not call Check.
func Parse(data []byte) (Document, error) { return parse[Document](data) }

// ParseChange decodes a change from JSON. It is as strict as Parse.
func ParseChange(data []byte) (Change, error) { return parse[Change](data) }

func parse[T any](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, typeError(err)
	}
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data))}
	if err := w.value(reflect.TypeFor[T](), ""); err != nil && !errors.Is(err, io.EOF) {
		return v, &ParseError{Problems: []Problem{{Message: err.Error()}}}
	}
	if len(w.problems) > 0 {
		return v, &ParseError{Problems: w.problems}
	}
	return v, nil
}

func typeError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return &ParseError{Problems: []Problem{{Path: te.Field, Message: fmt.Sprintf("a %s can't hold a JSON %s (byte %d)", te.Type, te.Value, te.Offset)}}}
	}
	return &ParseError{Problems: []Problem{{Path: "document", Message: err.Error()}}}
}

// walker compares the keys of a JSON text with the fields of a Go type and collects
// the unknown and repeated ones. It needs valid JSON.
type walker struct {
	dec      *json.Decoder
	problems []Problem
}

func (w *walker) value(t reflect.Type, path string) error {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	tok, err := w.dec.Token()
	if err != nil {
		return err
	}
	switch tok {
	case json.Delim('{'):
		return w.object(t, path)
	case json.Delim('['):
		return w.array(t, path)
	}
	return nil
}

func (w *walker) object(t reflect.Type, path string) error {
	fields := map[string]reflect.Type{}
	if t != nil && t.Kind() == reflect.Struct && t != reflect.TypeFor[time.Time]() {
		for f := range t.Fields() {
			fields[jsonName(f)] = f.Type
		}
	}
	seen := map[string]bool{}
	for w.dec.More() {
		tok, err := w.dec.Token()
		if err != nil {
			return err
		}
		key := tok.(string) // object keys are strings in valid JSON
		p := strings.TrimPrefix(path+"."+key, ".")
		ft, known := fields[key]
		// Inside an unknown field t is nil, so that only the outermost unknown field
		// is reported.
		if t != nil && !known {
			w.problems = append(w.problems, Problem{Path: p, Message: "unknown field"})
		}
		if seen[key] {
			w.problems = append(w.problems, Problem{Path: p, Message: "field is given twice"})
		}
		seen[key] = true
		if err := w.value(ft, p); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) array(t reflect.Type, path string) error {
	var elem reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		elem = t.Elem()
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.value(elem, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
