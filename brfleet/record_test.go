package brfleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDroppedRecordsOfAnotherBuild guards against a log that another build's records fill,
// and against records that are dropped without a line.
func TestDroppedRecordsOfAnotherBuild(t *testing.T) {
	var d droppedRecords
	start := time.Unix(1, 0)
	var lines []uint64
	for _, after := range []time.Duration{0, 1, 2, droppedInterval - 1, droppedInterval, droppedInterval + 1, 5 * droppedInterval} {
		lines = append(lines, d.add(start.Add(after)))
	}
	if diff := cmp.Diff([]uint64{1, 0, 0, 0, 4, 0, 2}, lines); diff != "" {
		t.Errorf("records by line (-want +got):\n%s", diff)
	}
}
