package brevent

import (
	"net/http"
	"strings"
	"testing"

	"bramleyroute/brheader"

	"github.com/google/go-cmp/cmp"
)

// TestEvents guards against an event that is passed on in part, and against one that is
// held back though it is whole, for each kind of line end.
func TestEvents(t *testing.T) {
	type parsed struct {
		End, Count int
		ID         string // of the last whole event
	}
	for _, test := range []struct {
		body string // with LF as the line end
		want parsed // End with line ends of one byte
	}{
		{"", parsed{}},
		{"\n", parsed{}},
		{"id: 1\nda", parsed{}},
		{"id: 1\ndata: a\n", parsed{}},
		{"id: 1\ndata: a\n\n", parsed{15, 1, "1"}},
		{"id: 1\ndata: a\n\nid: 2\n", parsed{15, 1, "1"}},
		{"id: 1\n\n\nid:2\n\nda", parsed{14, 2, "2"}},
		{"id: 1\n\n: comment\n\n", parsed{18, 2, "1"}},
	} {
		for _, lineEnd := range []string{"\n", "\r", "\r\n"} {
			body := strings.ReplaceAll(test.body, "\n", lineEnd)
			want := test.want
			want.End += strings.Count(test.body[:want.End], "\n") * (len(lineEnd) - 1)
			end := LastEnd([]byte(body))
			got := parsed{End: end, Count: Count([]byte(body)), ID: LastID([]byte(body[:end]))}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%q (-want +got): %s", body, diff)
			}
		}
	}
}

// TestCheckEnd guards against a stream that was broken off and counts as complete.
func TestCheckEnd(t *testing.T) {
	for _, test := range []struct {
		framing brheader.Framing
		events  int
		rest    string
		want    error
	}{
		{brheader.FramedByClose, 1, "", nil},
		{brheader.FramedByClose, 1, "\r\n", nil},
		{brheader.FramedByClose, 0, "", ErrBrokenOff},
		{brheader.FramedByClose, 2, "d", ErrBrokenOff},
		{brheader.FramedByChunks, 0, "", nil},
		{brheader.FramedByChunks, 1, "data: x\n", ErrBrokenOff},
		{brheader.FramedByLength, 0, "\n", nil},
		{brheader.FramedByLength, 0, "id", ErrBrokenOff},
	} {
		if got := CheckEnd(test.framing, test.events, []byte(test.rest)); got != test.want {
			t.Errorf("CheckEnd(%v, %d, %q) = %v, want %v", test.framing, test.events, test.rest, got, test.want)
		}
	}
}

// TestIsStream guards against a stream that is taken for another response because of
// the parameters or the case of its media type.
func TestIsStream(t *testing.T) {
	for value, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "text/plain": false, "": false, "text/event-stream2": false,
	} {
		if got := IsStream(http.Header{"Content-Type": {value}}); got != want {
			t.Errorf("IsStream(%q) = %v, want %v", value, got, want)
		}
	}
}

// TestFirstID guards against an ID that is taken from the data of an event or from a later
// event.
func TestFirstID(t *testing.T) {
	for body, want := range map[string]string{
		"":                                   "",
		":\n\n":                              "",
		"id: 1\ndata: a\n\nid: 2\n\n":        "1",
		"data: id: 7\n\nid:2\r\n\r\nid: 3\n": "2",
		":\r\rdata: a\rid: x y \r\r":         "x y",
	} {
		if got := FirstID([]byte(body)); got != want {
			t.Errorf("FirstID(%q) = %q, want %q", body, got, want)
		}
	}
}
