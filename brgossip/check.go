package brgossip

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"bramleyroute/brwire"
)

const (
	// maxKeyBytes is the maximum length of a key in bytes.
	maxKeyBytes = 512
	// maxValueBytes is the maximum size of a value in bytes. A message of one record
	// with such a value stays within brwire.MaxMessage.
	maxValueBytes = brwire.MaxMessage - maxKeyBytes - 16<<10
)

// Check returns an error if r isn't a record that all daemons can decode, keep and remove
// again. A message with a key that isn't UTF-8 can't be decoded: it would close the link
// to each daemon that receives it, and again after each reconnection.
func (r Record) Check() error {
	kind, _, ok := strings.Cut(r.Key, "/")
	switch {
	case len(r.Key) > maxKeyBytes:
		return fmt.Errorf("brgossip: key of %d bytes, want at most %d", len(r.Key), maxKeyBytes)
	case !ok || kind == "":
		return fmt.Errorf("brgossip: key %q has no kind", r.Key)
	case !utf8.ValidString(r.Key):
		return fmt.Errorf("brgossip: key %q is not UTF-8", r.Key)
	case len(r.Value) > maxValueBytes:
		return fmt.Errorf("brgossip: value of %d bytes, want at most %d", len(r.Value), maxValueBytes)
	case r.Age < 0 || r.Lifetime < 0:
		return errors.New("brgossip: age or lifetime is negative")
	}
	return nil
}
