package brquarantine_test

import (
	"fmt"
	"time"

	"bramleyroute/brquarantine"
)

// Two daemons each see some of the crashes under one part of their prompts.
func ExampleState() {
	now := time.Now()
	request := func(id string, parts ...string) brquarantine.Request {
		return brquarantine.Request{ID: id, Parts: parts}
	}
	a, b := brquarantine.New("a"), brquarantine.New("b")
	a.RunProgressed(now, request("1", "system"))

	changes := a.RunLost(now, request("2", "system", "report-7"), "engine-1")
	changes = append(changes, a.RunLost(now, request("3", "system", "report-7"), "engine-2")...)
	for _, c := range changes { // sent to the other daemon
		b.Merge(now, c.Subject, c.Evidence, 0)
	}
	b.RunLost(now, request("4", "report-7"), "engine-3")

	_, _, held := b.Check(now, request("5", "system", "report-8"))
	fmt.Println(held)
	subject, pause, held := b.Check(now, request("6", "system", "report-7"))
	fmt.Println(held, subject, pause >= 5*time.Second)
	// Output:
	// false
	// true part/report-7 true
}
