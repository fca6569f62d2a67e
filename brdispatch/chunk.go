package brdispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"bramleyroute/brengine"
)

// Chunk is one event of a stream. Its slices are valid only during the call
// that passes it.
type Chunk struct {
	Raw          []byte // the event's data: a brengine.Chunk as JSON
	Text         []byte // text of the first choice, as the inside of a JSON string
	FinishReason []byte // of the first choice; not empty in the last chunk
	Version      []byte
	Offset       int // index of the first token
	Tokens       int
	Usage        brengine.Usage // in the last chunk

	id []byte
}

var errJSON = errors.New("malformed chunk")

// scanner walks over one JSON value without allocating. It checks only the
// structure that it needs to find the members of a chunk.
type scanner struct {
	data []byte
	pos  int
}

// parseChunk reads the members of a chunk that the client checks.
func parseChunk(data []byte, c *Chunk) error {
	*c = Chunk{Raw: data, Offset: -1, Tokens: -1}
	s := scanner{data: data}
	err := s.object(func(key []byte) error {
		var err error
		switch string(key) {
		case "id":
			c.id, err = s.text()
		case "version":
			c.Version, err = s.text()
		case "offset":
			c.Offset, err = s.integer()
		case "tokens":
			c.Tokens, err = s.integer()
		case "choices":
			err = s.choices(c)
		case "usage":
			err = s.usage(c)
		default:
			err = s.skip(0)
		}
		return err
	})
	if err != nil {
		return err
	}
	s.space()
	if s.pos != len(s.data) {
		return fmt.Errorf("%w: trailing bytes", errJSON)
	}
	if c.Offset < 0 || c.Tokens < 0 || c.id == nil {
		return fmt.Errorf("%w: id, offset or tokens missing", errJSON)
	}
	return nil
}

func (s *scanner) choices(c *Chunk) error {
	n := 0
	c.Text, c.FinishReason = nil, nil // the last of repeated members counts
	return s.array(func() error {
		n++
		if n > 1 {
			return s.skip(0)
		}
		return s.object(func(key []byte) error {
			var err error
			switch string(key) {
			case "text":
				c.Text, err = s.text()
			case "finish_reason":
				if s.literal("null") {
					return nil
				}
				c.FinishReason, err = s.text()
			default:
				err = s.skip(0)
			}
			return err
		})
	})
}

// usage is in one chunk of a stream, so it may allocate.
func (s *scanner) usage(c *Chunk) error {
	s.space()
	start := s.pos
	if err := s.skip(0); err != nil {
		return err
	}
	return json.Unmarshal(s.data[start:s.pos], &c.Usage)
}

func (s *scanner) space() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

func (s *scanner) take(b byte) bool {
	s.space()
	if s.pos < len(s.data) && s.data[s.pos] == b {
		s.pos++
		return true
	}
	return false
}

func (s *scanner) literal(l string) bool {
	s.space()
	if bytes.HasPrefix(s.data[s.pos:], []byte(l)) {
		s.pos += len(l)
		return true
	}
	return false
}

func (s *scanner) object(member func(key []byte) error) error {
	if !s.take('{') {
		return errJSON
	}
	if s.take('}') {
		return nil
	}
	for {
		key, err := s.text()
		if err != nil {
			return err
		}
		if !s.take(':') {
			return errJSON
		}
		if err := member(key); err != nil {
			return err
		}
		if s.take('}') {
			return nil
		}
		if !s.take(',') {
			return errJSON
		}
	}
}

func (s *scanner) array(element func() error) error {
	if !s.take('[') {
		return errJSON
	}
	if s.take(']') {
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if s.take(']') {
			return nil
		}
		if !s.take(',') {
			return errJSON
		}
	}
}

// text returns the inside of a string, with its escapes.
func (s *scanner) text() ([]byte, error) {
	if !s.take('"') {
		return nil, errJSON
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
			return nil, errJSON
		default:
			s.pos++
		}
	}
	return nil, errJSON
}

func (s *scanner) integer() (int, error) {
	s.space()
	start, n := s.pos, 0
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' && s.pos-start < 10 {
		n = n*10 + int(s.data[s.pos]-'0')
		s.pos++
	}
	if s.pos == start {
		return 0, errJSON
	}
	return n, nil
}

const maxNesting = 16

// skip passes over any value.
func (s *scanner) skip(depth int) error {
	if depth > maxNesting {
		return fmt.Errorf("%w: nested too deeply", errJSON)
	}
	s.space()
	if s.pos == len(s.data) {
		return errJSON
	}
	switch s.data[s.pos] {
	case '{':
		return s.object(func([]byte) error { return s.skip(depth + 1) })
	case '[':
		return s.array(func() error { return s.skip(depth + 1) })
	case '"':
		_, err := s.text()
		return err
	}
	start := s.pos
	for s.pos < len(s.data) && !bytes.ContainsRune([]byte(",]} \t\r\n"), rune(s.data[s.pos])) {
		s.pos++
	}
	if s.pos == start {
		return errJSON
	}
	return nil
}
