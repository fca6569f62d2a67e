package brprefix

import (
	"strings"

	"bramleyroute/brwire"
	"github.com/cespare/xxhash/v2"
)

// Tokens returns the number of tokens (words) in text.
func Tokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// Hashes returns the number of tokens in text and the hashes of its first complete
// blocks, at most limit of them. A block's hash is the xxhash of all words up to
// its end, each followed by a space, so texts that differ only in white space have
// equal hashes. Hashes panics if limit is negative.
func Hashes(text string, limit int) (tokens int, hashes []uint64) {
	if limit < 0 {
		panic("brprefix: negative limit")
	}
	var d xxhash.Digest
	d.Reset()
	for w := range strings.FieldsSeq(text) {
		tokens++
		if len(hashes) == limit {
			continue
		}
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if tokens%brwire.PrefixBlockTokens == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return tokens, hashes
}
