package brstate

import (
	"testing"

	"bramleyroute/brtest"
)

// TestFormats guards against commands and snapshots that a control replica of another
// build applies or restores otherwise.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("snapshot_format", snapshotFormat),
		brtest.Value("snapshot_format/evacuations", evacuationFormat),
		brtest.Message[Command]("command"),
		brtest.Message[frame]("snapshot"),
		brtest.Message[View]("view"),
		brtest.Message[Change]("change"),
	)
}
