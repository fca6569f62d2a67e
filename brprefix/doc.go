// Package brprefix counts tokens and hashes prompt prefixes. Entries, schedulers
// and engines must use the same rules: a token is a word, and each block of
// brwire.PrefixBlockTokens words has one hash over the whole prefix up to its end.
package brprefix
