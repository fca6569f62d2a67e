package brheader

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestEndToEnd guards against forwarding hop-by-hop fields and against a change of the
// argument.
func TestEndToEnd(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-Hop", "x-other"}, "Keep-Alive": {"timeout=3"}, "Transfer-Encoding": {"chunked"},
		"X-Hop": {"1"}, "X-Other": {"2"}, "X-End": {"3", "4"},
	}
	before := in.Clone()
	if diff := cmp.Diff(http.Header{"X-End": {"3", "4"}}, EndToEnd(in)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(before, in); diff != "" {
		t.Error("EndToEnd changed its argument (-before +after):", diff)
	}
	EndToEnd(nil).Set("X-End", "1") // panics if the result is nil
}
