package quota

import (
	"math"
	"time"

	"chicorymast/core/meter"
)

// fetchTime is for how long of its demand a daemon wants to hold tokens.
const fetchTime = 200 * time.Millisecond

// Holder is a daemon's part of a grant: the tokens that it may spend.
type Holder struct {
	tokens float64
	until  time.Time
	demand meter.Meter
	// used is what was spent since the owner was asked last.
	used float64
	// refund counts calls that were charged and have not run.
	refund float64
	// denied is until when asking again is of no use.
	denied time.Time
	// number is that of the newest request.
	number uint64
}

// Take spends one token, if there is one.
func (h *Holder) Take(now time.Time) bool {
	if h.demand == (meter.Meter{}) {
		h.demand = meter.New(holderMemory)
	}
	h.demand.Add(now, 1)
	return h.TakeWaiting(now)
}

// TakeWaiting spends one token for a call that was counted already.
func (h *Holder) TakeWaiting(now time.Time) bool {
	h.expire(now)
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	h.used++
	return true
}

// Refund gives one token back for a call that was charged but has not run. It
// reaches the owner with the next request.
func (h *Holder) Refund() {
	h.refund++
}

// Backoff returns how long it is of no use to ask.
func (h *Holder) Backoff(now time.Time) time.Duration {
	return max(0, h.denied.Sub(now))
}

// RequestLease returns what to ask the owner for when some calls wait for a token
// each. All that is held is handed back with it.
func (h *Holder) RequestLease(now time.Time, waiting int) LeaseRequest {
	h.expire(now)
	h.number = max(h.number+1, uint64(now.UnixMicro()))
	w := LeaseRequest{Sequence: h.number, Immediate: float64(waiting), Prefetch: h.ahead(now), Used: h.used + float64(waiting), Unspent: h.tokens, Refund: h.refund}
	h.tokens, h.used, h.refund = 0, 0, 0
	return w
}

// ahead is how many tokens to have for later calls.
func (h *Holder) ahead(now time.Time) float64 {
	return math.Floor(h.demand.Rate(now) * fetchTime.Seconds())
}

// NeedsPrefetch reports whether it is time to fetch ahead of the demand.
func (h *Holder) NeedsPrefetch(now time.Time) bool {
	h.expire(now)
	return h.ahead(now) >= 1 && h.tokens < h.ahead(now)/2 && !now.Before(h.denied)
}

// Expiring reports whether tokens are held that should be handed back before
// they lapse.
func (h *Holder) Expiring(now time.Time) bool {
	h.expire(now)
	return h.tokens > 0 && h.until.Sub(now) < LeaseTTL/2
}

// Receive takes the answer to a request that was sent at a time. It returns
// how many of the calls that waited may go on.
func (h *Holder) Receive(now, asked time.Time, l Lease) (served int) {
	h.expire(now)
	if l.Sequence != h.number {
		return 0 // an answer to an earlier request
	}
	if l.RetryAfterMs > 0 {
		const longest = 20 * time.Millisecond
		h.denied = now.Add(min(time.Duration(l.RetryAfterMs)*time.Millisecond, longest))
		return 0
	}
	if until := asked.Add(shorten(l.TTLMs)); until.After(now) && l.Prefetched > 0 {
		h.tokens, h.until = l.Prefetched, until
	}
	if now.Sub(asked) > shorten(ImmediateTTL.Milliseconds()) {
		return 0
	}
	return int(l.Immediate)
}

// shorten takes the margin for clocks off a span in milliseconds.
func shorten(ms int64) time.Duration {
	return time.Duration(float64(ms) * (1 - holderMargin) * float64(time.Millisecond))
}

func (h *Holder) expire(now time.Time) {
	if now.After(h.until) {
		h.tokens = 0
	}
}
