package brprefix_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"bramleyroute/brprefix"
)

// Guards against a block hash that ignores the text before the block. It would
// report cache hits for prompts that share only a later block.
func TestHashesCoverTheWholePrefix(t *testing.T) {
	a := strings.Repeat("a ", 64) + strings.Repeat("c ", 70)
	b := strings.Repeat("b ", 64) + strings.Repeat("c\n", 70)
	na, ha := brprefix.Hashes(a, 10)
	nb, hb := brprefix.Hashes(b, 10)
	if na != 134 || nb != 134 || len(ha) != 2 || len(hb) != 2 {
		t.Fatalf("tokens %d, %d, hashes %d, %d; want 134 tokens and 2 hashes", na, nb, len(ha), len(hb))
	}
	if ha[1] == hb[1] {
		t.Error("hash of the second block doesn't depend on the first block")
	}
	if _, h := brprefix.Hashes(a, 1); !slices.Equal(h, ha[:1]) {
		t.Errorf("with limit 1: hashes %v, want %v", h, ha[:1])
	}
}

func Example() {
	system := strings.Repeat("rule ", 64)
	_, a := brprefix.Hashes(system+"first question", 100)
	_, b := brprefix.Hashes(system+"second question", 100)
	fmt.Println(brprefix.Tokens("ask the host"), len(a), a[0] == b[0])
	// Output: 3 1 true
}
