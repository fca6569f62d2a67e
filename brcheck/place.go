package brcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Places holds the lines of the values of a JSON document, by path in lower case, because
// encoding/json ignores the case of field names.
type Places map[string]int

// FindPlaces returns the places in a JSON document. If it is malformed, they are those
// before the fault.
func FindPlaces(data []byte) Places {
	f := placeFinder{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1, places: Places{}}
	// An error is reported by the code that decodes the document.
	_ = f.value("", 0)
	return f.places
}

// Line returns the line of the value at path, or that of the innermost value that
// contains it if it is missing.
func (p Places) Line(path string) int {
	path = strings.ToLower(path)
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return p[""]
}

// LineAt returns the line of the byte at offset.
func LineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}

type placeFinder struct {
	data   []byte
	dec    *json.Decoder
	offset int // up to which the lines have been counted
	line   int
	places Places
}

// mark stores the line at which the token that was read last ends. Tokens contain no line
// breaks.
func (f *placeFinder) mark(path string) {
	end := int(f.dec.InputOffset())
	f.line += bytes.Count(f.data[f.offset:end], []byte("\n"))
	f.offset = end
	f.places[strings.ToLower(path)] = f.line
}

// Limits of the depth of values. Places are kept of those that a configuration can have.
// encoding/json decodes no deeper document than maxDepth.
const (
	maxPlaceDepth = 16
	maxDepth      = 10000
)

func (f *placeFinder) value(path string, depth int) error {
	if depth > maxDepth {
		return errors.New("brcheck: document is nested too deeply")
	}
	token, err := f.dec.Token()
	if err != nil {
		return err
	}
	if depth <= maxPlaceDepth {
		f.mark(path)
	}
	switch token {
	case json.Delim('{'):
		return f.object(path, depth)
	case json.Delim('['):
		return f.array(path, depth)
	}
	return nil
}

func (f *placeFinder) object(path string, depth int) error {
	for f.dec.More() {
		token, err := f.dec.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return fmt.Errorf("brcheck: field name is %v", token)
		}
		if err := f.value(member(path, depth, "."+name), depth+1); err != nil {
			return err
		}
	}
	_, err := f.dec.Token()
	return err
}

func (f *placeFinder) array(path string, depth int) error {
	for i := 0; f.dec.More(); i++ {
		if err := f.value(member(path, depth, fmt.Sprintf("[%d]", i)), depth+1); err != nil {
			return err
		}
	}
	_, err := f.dec.Token()
	return err
}

// member returns the path of a value inside the one at path, or path itself if no place is
// kept of that value.
func member(path string, depth int, name string) string {
	if depth >= maxPlaceDepth {
		return path
	}
	return strings.TrimPrefix(path+name, ".")
}
