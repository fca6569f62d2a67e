package brmemory

import "bramleyroute/brlimit"

// Parts returns the parts of the memory of endpoints that the given daemon may fill while
// little memory is free, by endpoint, leaving out those of which it has none. Each daemon has
// a part of at least one endpoint, and those of an endpoint add up to 1. The daemons must be
// sorted.
func Parts(endpoints, daemons []string, daemon string) map[string]float64 {
	if len(endpoints) == 0 {
		return nil
	}
	each := (len(daemons) + len(endpoints) - 1) / len(endpoints)
	counts := make(map[string]int, len(endpoints))
	for _, id := range endpoints {
		counts[id] = each
	}
	parts := map[string]float64{}
	for id, n := range brlimit.Slots(counts, daemons, daemon) {
		parts[id] = float64(n) / float64(each)
	}
	return parts
}
