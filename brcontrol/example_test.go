package brcontrol_test

import (
	"context"
	"fmt"
	"log"
	"os"

	"bramleyroute/brcontrol"
)

// A group of one replica needs no listener. In larger groups, the handlers of
// each replica are registered with the mux that its daemon serves.
func Example() {
	dir, err := os.MkdirTemp("", "brcontrol")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	sum := 0
	r, err := brcontrol.Start(brcontrol.Config{
		Dir:  dir,
		Self: brcontrol.Peer{ID: "c1", Address: "127.0.0.1:7001"},
		StateMachine: brcontrol.StateMachine{
			Apply: func(index uint64, data []byte) []byte {
				sum += len(data)
				return fmt.Append(nil, sum)
			},
			Snapshot: func() ([]byte, error) { return fmt.Append(nil, sum), nil },
			Restore:  func(b []byte) error { _, err := fmt.Sscan(string(b), &sum); return err },
		},
		Fatal: func(err error) { log.Fatal(err) },
	})
	if err != nil {
		log.Fatal(err)
	}
	defer r.Close()
	for _, s := range []string{"four", "fifty"} {
		out, err := r.Propose(context.Background(), []byte(s))
		if err != nil {
			log.Fatal(err)
		}
		fmt.Println(string(out))
	}
	// Output:
	// 4
	// 9
}
