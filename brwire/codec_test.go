package brwire

import (
	"testing"
	"time"

	"bramleyroute/brerror"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against a field that is lost in encoding or decoding, and against accepting
// trailing bytes.
func TestRoundTrip(t *testing.T) {
	want := Refuse{RequestID: "r1", Epoch: 3, Error: *brerror.New(brerror.Overloaded, "queue full").WithRetryAfter(time.Second)}
	b, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode[Refuse](b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(brerror.Error{})); diff != "" {
		t.Error(diff)
	}
	if _, err := Decode[Refuse](append(b, 0)); err == nil {
		t.Error("Decode accepted a trailing byte")
	}
}

// Guards against a malformed peer message that crashes the decoder.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(Submit{RequestID: "r", PrefixHashes: []uint64{1, 2}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = Decode[Submit](b)
		_, _ = Decode[JoinReply](b)
		_, _ = Decode[Announce](b)
		_, _ = Decode[Heartbeat](b)
	})
}
