package brquarantine_test

import (
	"fmt"
	"time"

	"bramleyroute/brquarantine"
)

// Two daemons each see some of the crashes under one part of their prompts.
func ExampleState() {
	now := time.Now()
	parts := []string{"system", "report-7"}
	a, b := brquarantine.New("a"), brquarantine.New("b")
	a.RunProgressed(now, []string{"system"})

	changes := a.RunLost(now, parts, "engine-1")
	changes = append(changes, a.RunLost(now, parts, "engine-2")...)
	for _, c := range changes { // sent to the other daemon
		b.Merge(now, c.Part, c.Evidence, 0)
	}
	b.RunLost(now, []string{"report-7"}, "engine-3")

	part, _ := b.Check(now, []string{"system", "report-8"})
	fmt.Printf("%q\n", part)
	part, pause := b.Check(now, parts)
	fmt.Printf("%q %t\n", part, pause >= 5*time.Second)
	// Output:
	// ""
	// "report-7" true
}
