package brevent

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkRead measures what each read from a stream costs, by the number of events in
// it.
func BenchmarkRead(b *testing.B) {
	for _, events := range []int{1, 10, 100} {
		body := []byte(strings.Repeat("id: 17\ndata: {\"text\":\"three tokens each\"}\n\n", events))
		b.Run(fmt.Sprint(events), func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				if end := LastEnd(body); Count(body[:end]) != events || LastID(body[:end]) != "17" {
					b.Fatal("events not found")
				}
			}
		})
	}
}
