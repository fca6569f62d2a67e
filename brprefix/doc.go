// Package brprefix counts tokens and hashes prompt prefixes in the way that
// entries, schedulers and engines agree on: a token is a word, and each block of
// brwire.PrefixBlockTokens words has one hash over the whole prefix up to its end.
package brprefix
