package brdispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"bramleyroute/brengine"
)

// Chunk is one event of a stream. Its slices are valid only during the call of
// Request.Chunk.
type Chunk struct {
	Raw          []byte // the event's data: a brengine.Chunk as JSON
	Text         []byte // text of the first choice: contents of a JSON string, escaped
	FinishReason []byte // of the first choice; set only in the last chunk
	Version      []byte
	Offset       int // index of the first token
	Tokens       int
	Usage        brengine.Usage // set only in the last chunk

	id []byte
}

var errMalformed = errors.New("malformed chunk")

// scanner parses one JSON value without allocating memory. It checks only the
// structure that is needed to find the members of a chunk.
type scanner struct {
	data []byte
	pos  int
}

// parseChunk parses data into c. It returns an error if the JSON is malformed, or if
// id, offset or tokens is missing.
func parseChunk(data []byte, c *Chunk) error {
	*c = Chunk{Raw: data, Offset: -1, Tokens: -1}
	s := scanner{data: data}
	err := s.object(func(key []byte) error {
		var err error
		switch string(key) {
		case "id":
			c.id, err = s.rawString()
		case "version":
			c.Version, err = s.rawString()
		case "offset":
			c.Offset, err = s.integer()
		case "tokens":
			c.Tokens, err = s.integer()
		case "choices":
			err = s.choices(c)
		case "usage":
			err = s.usage(c)
		default:
			err = s.skipValue(0)
		}
		return err
	})
	if err != nil {
		return err
	}
	s.skipSpace()
	if s.pos != len(s.data) {
		return fmt.Errorf("%w: unexpected data after the JSON object", errMalformed)
	}
	if c.Offset < 0 || c.Tokens < 0 || c.id == nil {
		return fmt.Errorf("%w: id, offset or tokens is missing", errMalformed)
	}
	return nil
}

// choices parses the first element of the array of choices.
func (s *scanner) choices(c *Chunk) error {
	n := 0
	c.Text, c.FinishReason = nil, nil // of duplicate members, the last one counts
	return s.array(func() error {
		n++
		if n > 1 {
			return s.skipValue(0)
		}
		return s.object(func(key []byte) error {
			var err error
			switch string(key) {
			case "text":
				c.Text, err = s.rawString()
			case "finish_reason":
				if s.literal("null") {
					return nil
				}
				c.FinishReason, err = s.rawString()
			default:
				err = s.skipValue(0)
			}
			return err
		})
	})
}

// usage parses a usage object. It may allocate memory, since only one chunk of a
// stream has one.
func (s *scanner) usage(c *Chunk) error {
	s.skipSpace()
	start := s.pos
	if err := s.skipValue(0); err != nil {
		return err
	}
	return json.Unmarshal(s.data[start:s.pos], &c.Usage)
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// consume skips white space and, if b follows, b. It reports whether b followed.
func (s *scanner) consume(b byte) bool {
	s.skipSpace()
	if s.pos < len(s.data) && s.data[s.pos] == b {
		s.pos++
		return true
	}
	return false
}

// literal skips white space and, if l follows, l. It reports whether l followed.
func (s *scanner) literal(l string) bool {
	s.skipSpace()
	if bytes.HasPrefix(s.data[s.pos:], []byte(l)) {
		s.pos += len(l)
		return true
	}
	return false
}

// object parses an object and calls member for each key; member must parse the value.
func (s *scanner) object(member func(key []byte) error) error {
	if !s.consume('{') {
		return errMalformed
	}
	if s.consume('}') {
		return nil
	}
	for {
		key, err := s.rawString()
		if err != nil {
			return err
		}
		if !s.consume(':') {
			return errMalformed
		}
		if err := member(key); err != nil {
			return err
		}
		if s.consume('}') {
			return nil
		}
		if !s.consume(',') {
			return errMalformed
		}
	}
}

// array parses an array and calls element for each element; element must parse it.
func (s *scanner) array(element func() error) error {
	if !s.consume('[') {
		return errMalformed
	}
	if s.consume(']') {
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if s.consume(']') {
			return nil
		}
		if !s.consume(',') {
			return errMalformed
		}
	}
}

// rawString parses a string and returns its contents, still escaped.
func (s *scanner) rawString() ([]byte, error) {
	if !s.consume('"') {
		return nil, errMalformed
	}
	start := s.pos
	for s.pos < len(s.data) {
		switch b := s.data[s.pos]; {
		case b == '"':
			s.pos++
			return s.data[start : s.pos-1 : s.pos-1], nil
		case b == '\\':
			s.pos += 2
		case b < ' ':
			return nil, errMalformed
		default:
			s.pos++
		}
	}
	return nil, errMalformed
}

// integer parses a non-negative integer of at most ten digits.
func (s *scanner) integer() (int, error) {
	s.skipSpace()
	start, n := s.pos, 0
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' && s.pos-start < 10 {
		n = n*10 + int(s.data[s.pos]-'0')
		s.pos++
	}
	if s.pos == start {
		return 0, errMalformed
	}
	return n, nil
}

// maxNesting is the maximum depth of nested values that skipValue accepts.
const maxNesting = 16

// skipValue skips a value of any type. depth is its level of nesting.
func (s *scanner) skipValue(depth int) error {
	if depth > maxNesting {
		return fmt.Errorf("%w: nested too deeply", errMalformed)
	}
	s.skipSpace()
	if s.pos == len(s.data) {
		return errMalformed
	}
	switch s.data[s.pos] {
	case '{':
		return s.object(func([]byte) error { return s.skipValue(depth + 1) })
	case '[':
		return s.array(func() error { return s.skipValue(depth + 1) })
	case '"':
		_, err := s.rawString()
		return err
	}
	start := s.pos
	for s.pos < len(s.data) && !bytes.ContainsRune([]byte(",]} \t\r\n"), rune(s.data[s.pos])) {
		s.pos++
	}
	if s.pos == start {
		return errMalformed
	}
	return nil
}
