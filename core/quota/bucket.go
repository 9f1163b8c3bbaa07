package quota

import (
	"time"

	"chicorymast/core/ident"
)

// Bucket is a token bucket that fills at a rate up to a burst.
type Bucket struct {
	rate    float64
	burst   float64
	tokens  float64
	updated time.Time
}

// NewBucket returns a bucket that holds a number of tokens, at most the burst.
func NewBucket(now time.Time, rate ident.Rate, burst ident.Burst, tokens float64) Bucket {
	return Bucket{rate: float64(rate), burst: float64(burst), tokens: min(tokens, float64(burst)), updated: now}
}

// Take removes n tokens. It reports false, and removes none, if fewer are there.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.fill(now, 0)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Wait returns the time until the bucket holds n tokens.
func (b *Bucket) Wait(now time.Time, n float64) time.Duration {
	b.fill(now, 0)
	if b.tokens >= n {
		return 0
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}

// Adjust changes the rate and the burst from now on.
func (b *Bucket) Adjust(now time.Time, rate ident.Rate, burst ident.Burst) {
	b.fill(now, 0)
	b.rate, b.burst = float64(rate), float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// fill adds the tokens accrued since the last update. Reserved tokens count
// against the burst.
func (b *Bucket) fill(now time.Time, reserved float64) {
	if now.After(b.updated) {
		b.tokens += b.rate * now.Sub(b.updated).Seconds()
		b.updated = now
	}
	b.tokens = min(b.tokens, max(0, b.burst-reserved))
}
