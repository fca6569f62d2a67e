package brpeer

import (
	"testing"

	"bramleyroute/brtest"
)

// TestFormats guards against links that a daemon of another build can't open or read.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("path", Path),
		brtest.Value("kinds", []frameKind{frameCall, frameReply, frameError, framePush, framePing}),
		brtest.Message[frame]("frame"),
		brtest.Value("ping", frame{Kind: framePing}),
	)
}
