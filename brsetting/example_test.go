package brsetting_test

import (
	"fmt"

	"bramleyroute/brsetting"
)

func ExampleFromEnvironment() {
	_, err := brsetting.FromEnvironment(map[string]string{
		"BRAMLEYROUTE_DAEMON_ID":      "entry-1",
		"BRAMLEYROUTE_REGION":         "quito",
		"BRAMLEYROUTE_FAILURE_DOMAIN": "a",
		"BRAMLEYROUTE_PEER_ADDRESS":   "10.0.0.1:8081",
		"BRAMLEYROUTE_CONTROL_PEERS":  "entry-1=10.0.0.1:8081",
		"BRAMLEYROUTE_PEER_KEYS":      "first-key-of-peers",
		"BRAMLEYROUTE_STALL_TIMEOUT":  "fast",
	})
	fmt.Println(err)
	// Output:
	// settings: operator_keys: has 0 keys, not 1 to 2; stall_timeout: "fast" is not a duration such as 250ms or 3s
}
