package brevent

import (
	"bytes"
	"mime"
	"net/http"
)

// MediaType is the media type of event streams.
const MediaType = "text/event-stream"

// MaxSeparatorBytes is the size in bytes of the longest separator of two events.
const MaxSeparatorBytes = 4

// IsStream reports whether the header of a response says that its body is an event
// stream.
func IsStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == MediaType
}

// LastEnd returns the index after the last whole event in b, or 0. An event ends with
// an empty line; lines end with LF, CRLF or CR.
func LastEnd(b []byte) int {
	for end := len(b); end > 0; end-- {
		line := trimLineEnd(b[:end])
		if len(line) < end && len(trimLineEnd(line)) < len(line) {
			return end
		}
	}
	return 0
}

// trimLineEnd returns b without the line end that it ends with, if there is one.
func trimLineEnd(b []byte) []byte {
	n := len(b)
	switch {
	case bytes.HasSuffix(b, []byte("\r\n")):
		return b[:n-2]
	case n > 0 && isLineEnd(b[n-1]):
		return b[:n-1]
	}
	return b
}

func isLineEnd(c byte) bool { return c == '\n' || c == '\r' }

// Count returns the number of whole events in b, which begins at the start of an event.
func Count(b []byte) int {
	n := 0
	lineEmpty, inEvent := true, false
	for i, c := range b {
		switch {
		case c == '\n' && i > 0 && b[i-1] == '\r': // second byte of a line end
		case isLineEnd(c):
			if lineEmpty && inEvent {
				n++
				inEvent = false
			}
			lineEmpty = true
		default:
			lineEmpty, inEvent = false, true
		}
	}
	return n
}

// FirstID returns the ID of the first event in b that has one, or the empty string. b
// begins at the start of an event and ends after a whole event.
func FirstID(b []byte) string {
	for len(b) > 0 {
		line := b
		if i := bytes.IndexAny(b, "\r\n"); i >= 0 {
			line, b = b[:i], b[i+1:]
		} else {
			b = nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// LastID returns the ID of the last event in b that has one, or the empty string. b
// ends after a whole event.
func LastID(b []byte) string {
	for len(b) > 0 {
		i := bytes.LastIndexAny(bytes.TrimRight(b, "\r\n"), "\r\n") + 1
		line := bytes.TrimSpace(b[i:])
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		b = b[:i]
	}
	return ""
}
