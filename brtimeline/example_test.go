package brtimeline_test

import (
	"fmt"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brtimeline"
)

func ExampleMerge() {
	wall := brclock.NewManual(time.Unix(100, 0))
	entry, _ := brtimeline.NewRecorder(brtimeline.Options{Process: "entry", Clock: brtimeline.NewClock(wall, 0)})
	// The wall clock of the scheduler is 1 s behind that of the entry.
	behind := brclock.NewManual(time.Unix(99, 0))
	scheduler, _ := brtimeline.NewRecorder(brtimeline.Options{Process: "scheduler", Clock: brtimeline.NewClock(behind, 0)})

	sent := entry.Record(brtimeline.Event{Kind: brtimeline.RequestReceived, RequestID: "r1"})
	if _, err := scheduler.Clock().Receive(sent); err != nil {
		fmt.Println(err)
	}
	scheduler.Record(brtimeline.Event{Kind: brtimeline.RequestGranted, RequestID: "r1"})

	all := brtimeline.Merge(scheduler.Events(brtimeline.Filter{}), entry.Events(brtimeline.Filter{RequestID: "r1"}))
	for _, e := range all {
		fmt.Println(e.Process, e.Kind)
	}
	// Output:
	// entry request_received
	// scheduler request_granted
}
