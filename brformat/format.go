package brformat

import "fmt"

// Format is a format that crosses builds.
type Format struct {
	Name    string
	Version uint64 // written by this build, and the newest that it reads
	Oldest  uint64 // oldest version that this build reads
	Newer   Newer
}

// Newer is what a reader does with a field, a message or a version that it doesn't know.
type Newer string

// What readers do. Only Refuse has a version in the bytes.
const (
	IgnoreField Newer = "ignores the field"
	DropMessage Newer = "drops the message, and ignores an unknown field"
	DropRecord  Newer = "drops the record, and ignores an unknown field"
	SkipEntry   Newer = "skips the entry, and ignores an unknown field"
	EndTunnel   Newer = "refuses or ends the tunnel, and blames the relay"
	Refuse      Newer = "refuses to start the replica, and leaves the files as they are"
)

// The formats with a version in the bytes.
var (
	LogSegment   = Format{"log segment file", 1, 1, Refuse}
	SnapshotFile = Format{"snapshot file", 1, 1, Refuse}
	LogRecord    = Format{"kind of a record in a log segment", 3, 1, Refuse}
	LogEntry     = Format{"kind of a log entry", 3, 1, Refuse}
	Command      = Format{"command in the log (brcore)", 2, 1, Refuse}
	State        = Format{"state in a snapshot (brcore)", 2, 1, Refuse}
)

// All returns all formats.
func All() []Format {
	return []Format{
		{"frame of a link (brpeer)", 1, 1, DropMessage},
		{"message of a link", 1, 1, DropMessage},
		{"message between replicas (brlog)", 1, 1, DropMessage},
		{"shared record (brgossip)", 1, 1, DropRecord},
		{"tunnel (brtunnel)", 1, 1, EndTunnel},
		LogSegment, SnapshotFile, LogRecord, LogEntry, Command, State,
		{"evidence file", 1, 1, SkipEntry},
	}
}

// Check returns an *UnsupportedError if this build doesn't read a version of f.
func (f Format) Check(version uint64) error {
	if version < f.Oldest || version > f.Version {
		return &UnsupportedError{Format: f, Version: version}
	}
	return nil
}

// UnsupportedError reports data that another build has written and this one doesn't read.
type UnsupportedError struct {
	Format  Format
	Version uint64
}

// Error names the version and those that this build reads.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("brformat: %s: version %d, this build reads %d to %d; run the build that wrote it, see docs/UPGRADE.md",
		e.Format.Name, e.Version, e.Format.Oldest, e.Format.Version)
}
