package brlimit

import "time"

// Bucket is a token bucket for one share of a limit. The zero value is empty and gets no
// tokens.
type Bucket struct {
	share  Share
	tokens float64 // at updated
	// updated is the time of the last change of the other fields.
	updated time.Time
}

// Rate returns the number of tokens that b gets per second.
func (b *Bucket) Rate() float64 { return b.share.Rate }

// SetShare changes how many tokens b gets and holds. It keeps those that it has.
func (b *Bucket) SetShare(now time.Time, s Share) {
	b.tokens = b.Tokens(now)
	b.share, b.updated = s, now
}

// Fill adds tokens up to the burst of the share.
func (b *Bucket) Fill(now time.Time, tokens float64) {
	b.tokens = min(b.share.Burst, b.Tokens(now)+tokens)
	b.updated = now
}

// Tokens returns the number of tokens at the time now, at most the burst of the share. It
// is negative while more were taken than there were.
func (b *Bucket) Tokens(now time.Time) float64 {
	gained := b.share.Rate * max(0, now.Sub(b.updated).Seconds())
	return min(b.share.Burst, b.tokens+gained)
}

// Take takes a token, whether b has one or not.
func (b *Bucket) Take(now time.Time) {
	b.tokens = b.Tokens(now) - 1
	b.updated = now
}
