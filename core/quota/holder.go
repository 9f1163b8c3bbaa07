package quota

import (
	"math"
	"time"

	"chicorymast/core/meter"
)

// prefetchTime is how far ahead of its demand a daemon holds tokens.
const prefetchTime = 200 * time.Millisecond

// Holder is a daemon's side of the leases of one grant: the tokens that it may
// spend. The zero value holds no tokens.
type Holder struct {
	tokens  float64
	expires time.Time
	demand  meter.Meter
	// used is the number of tokens spent since the last request to the owner.
	used float64
	// refund is the number of calls that were charged but have not run.
	refund float64
	// backoffUntil is when the next request may be sent after a denied one.
	backoffUntil time.Time
	// sequence is the number of the newest request.
	sequence uint64
}

// Take counts a call as demand and spends a token for it. It reports false if
// there is none.
func (h *Holder) Take(now time.Time) bool {
	if h.demand == (meter.Meter{}) {
		h.demand = meter.New(holderDemandWindow)
	}
	h.demand.Add(now, 1)
	return h.TakeWaiting(now)
}

// TakeWaiting spends a token for a waiting call that Take has already counted
// as demand. It reports false if there is none.
func (h *Holder) TakeWaiting(now time.Time) bool {
	h.expire(now)
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	h.used++
	return true
}

// Refund returns one token for a call that was charged but has not run. The
// owner receives it with the next request.
func (h *Holder) Refund() {
	h.refund++
}

// Backoff returns the time to wait before the next request to the owner.
func (h *Holder) Backoff(now time.Time) time.Duration {
	return max(0, h.backoffUntil.Sub(now))
}

// Inputs returns the holder's part of what decisions on the grant stand on.
func (h *Holder) Inputs(now time.Time) Inputs {
	h.expire(now)
	return Inputs{Tokens: h.tokens, Demand: h.demand.Rate(now), Backoff: h.Backoff(now)}
}

// RequestLease returns the next request to the owner: for a token for each of the
// waiting calls, and for tokens to prefetch. All tokens that are held are
// returned to the owner with the request.
func (h *Holder) RequestLease(now time.Time, waiting int) LeaseRequest {
	h.expire(now)
	h.sequence = max(h.sequence+1, uint64(now.UnixMicro()))
	req := LeaseRequest{
		Sequence: h.sequence, Immediate: float64(waiting), Prefetch: h.prefetch(now),
		Used: h.used + float64(waiting), Unspent: h.tokens, Refund: h.refund,
	}
	h.tokens, h.used, h.refund = 0, 0, 0
	return req
}

// prefetch returns the number of tokens to hold for later calls.
func (h *Holder) prefetch(now time.Time) float64 {
	return math.Floor(h.demand.Rate(now) * prefetchTime.Seconds())
}

// NeedsPrefetch reports whether fewer than half of the tokens to hold for later
// calls are left and the owner may be asked for more.
func (h *Holder) NeedsPrefetch(now time.Time) bool {
	h.expire(now)
	return h.prefetch(now) >= 1 && h.tokens < h.prefetch(now)/2 && !now.Before(h.backoffUntil)
}

// Expiring reports whether tokens are held that should be returned to the owner
// before they expire.
func (h *Holder) Expiring(now time.Time) bool {
	h.expire(now)
	return h.tokens > 0 && h.expires.Sub(now) < LeaseTTL/2
}

// Receive handles the reply to a request that was sent at the time sent. It
// returns the number of waiting calls that may run.
func (h *Holder) Receive(now, sent time.Time, l Lease) (allowed int) {
	h.expire(now)
	if l.Sequence != h.sequence {
		return 0 // a reply to an earlier request
	}
	if l.RetryAfterMs > 0 {
		const maxBackoff = 20 * time.Millisecond
		h.backoffUntil = now.Add(min(time.Duration(l.RetryAfterMs)*time.Millisecond, maxBackoff))
		return 0
	}
	if expires := sent.Add(usableTTL(l.TTLMs)); expires.After(now) && l.Prefetched > 0 {
		h.tokens, h.expires = l.Prefetched, expires
	}
	if now.Sub(sent) > usableTTL(ImmediateTTL.Milliseconds()) {
		return 0
	}
	return int(l.Immediate)
}

// usableTTL returns the part of a TTL in milliseconds that its receiver uses,
// which is shorter by clockMargin.
func usableTTL(ms int64) time.Duration {
	return time.Duration(float64(ms) * (1 - clockMargin) * float64(time.Millisecond))
}

func (h *Holder) expire(now time.Time) {
	if now.After(h.expires) {
		h.tokens = 0
	}
}
