package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/meter"
)

const (
	// LeaseTTL is how long a daemon may spend leased tokens.
	LeaseTTL = time.Second
	// ImmediateTTL is how long tokens for waiting calls are valid; a reply that
	// arrives later can't be used for them.
	ImmediateTTL = 50 * time.Millisecond
	// LoanTTL is how long one data centre may use the share of another: enough
	// for two attempts to renew the loan, and no more, since a new owner has to
	// wait until the loans of its predecessor have ended.
	LoanTTL = time.Second
	// TokenLoanTTL is how long tokens for waiting calls are lent.
	TokenLoanTTL = 500 * time.Millisecond
	// clockMargin is the share of a TTL that its receiver does not use, since
	// clocks run at different speeds.
	clockMargin = 0.1
	// ownerDemandWindow is the averaging time of an owner's demand. It is longer
	// than a loan; otherwise a data centre would lend in a quiet moment what it
	// needs in the next.
	ownerDemandWindow = 10 * time.Second
	// holderDemandWindow is the averaging time of a daemon's demand.
	holderDemandWindow = time.Second
	// borrowHeadroom is the multiple of its demand that an owner tries to hold,
	// lendHeadroom the multiple that it keeps when others ask. The difference
	// prevents shares from being lent back and forth.
	borrowHeadroom = 1.15
	lendHeadroom   = 1.8
	// epsilon is the value up to which shares count as zero.
	epsilon = 1e-9
)

// Owner holds the share of a grant that belongs to one data centre and divides
// it among the daemons there. The shares of all data centres add up to one; a
// share is lent for a limited time and returns when the loan expires.
type Owner struct {
	rate, burst float64
	// base is the data centre's own share, from 0 to 1.
	base float64
	// tokens are the tokens in the bucket; leased tokens are in leased.
	tokens   float64
	updated  time.Time
	lent     []loan
	borrowed []loan
	leased   map[ident.VM]reservation
	// lastSequences holds the newest request number of each daemon.
	lastSequences map[ident.VM]uint64
	// immediate are the tokens sent to waiting calls, oldest first.
	immediate []reservation
	demand    meter.Meter
	// idleUntil is the end of the waiting time after a takeover.
	idleUntil time.Time
}

type loan struct {
	peer    ident.DataCentre
	share   float64
	burst   float64
	expires time.Time
}

// reservation is a number of leased tokens that count against the burst until
// they expire.
type reservation struct {
	tokens  float64
	expires time.Time
}

// NewOwner returns an owner that gives nothing before idleUntil, the time by
// which all leases and loans of earlier owners have expired. Its bucket is empty
// at that time and fills from then on.
func NewOwner(idleUntil time.Time, rate ident.Rate, burst ident.Burst, base float64) *Owner {
	return &Owner{
		rate: float64(rate), burst: float64(burst), base: base, updated: idleUntil,
		leased: map[ident.VM]reservation{}, lastSequences: map[ident.VM]uint64{}, idleUntil: idleUntil,
		demand: meter.New(ownerDemandWindow),
	}
}

// Adjust applies a changed configuration of the grant.
func (o *Owner) Adjust(now time.Time, rate ident.Rate, burst ident.Burst, base float64) {
	if o.rate == float64(rate) && o.burst == float64(burst) && o.base == base {
		return
	}
	o.advance(now)
	o.rate, o.burst, o.base = float64(rate), float64(burst), base
	o.cap()
}

// Lease gives tokens to a daemon and takes back those that it has not spent.
func (o *Owner) Lease(now time.Time, to ident.VM, req LeaseRequest) Lease {
	l := o.give(now, to, req)
	l.Sequence = req.Sequence
	return l
}

func (o *Owner) give(now time.Time, to ident.VM, req LeaseRequest) Lease {
	o.advance(now)
	if req.Sequence <= o.lastSequences[to] {
		return Lease{RetryAfterMs: 1}
	}
	o.lastSequences[to] = req.Sequence
	o.takeBack(to, req.Unspent)
	if !now.Before(o.idleUntil) {
		o.tokens += max(0, req.Refund)
		o.cap()
	}
	o.demand.Add(now, req.Used)
	if now.Before(o.idleUntil) && o.tokens < 1 {
		// Before idleUntil, the bucket can only hold tokens borrowed from other
		// data centres.
		return Lease{RetryAfterMs: ceilMs(o.idleUntil.Sub(now))}
	}
	if req.Immediate+req.Prefetch < 1 {
		return Lease{}
	}
	immediate := math.Floor(min(req.Immediate, o.tokens))
	if immediate < 1 && req.Immediate >= 1 {
		return Lease{RetryAfterMs: o.retryAfterMs()}
	}
	o.tokens -= immediate
	if immediate > 0 {
		o.immediate = append(o.immediate, reservation{tokens: immediate, expires: now.Add(ImmediateTTL)})
	}
	l := Lease{Immediate: immediate}
	expires := o.leaseEnd(now)
	// A daemon prefetches at most a quarter of the remaining tokens; the rest
	// stays available to other daemons.
	if prefetched := math.Floor(min(req.Prefetch, o.tokens/4)); prefetched >= 1 && expires.After(now) {
		o.tokens -= prefetched
		o.leased[to] = reservation{tokens: prefetched, expires: expires}
		l.Prefetched, l.TTLMs = prefetched, expires.Sub(now).Milliseconds()
	}
	return l
}

// leaseEnd returns the expiry time of a new lease, which must not outlast a
// borrowed share that backs it.
func (o *Owner) leaseEnd(now time.Time) time.Time {
	end := now.Add(LeaseTTL)
	for _, b := range o.borrowed {
		if b.expires.Before(end) {
			end = b.expires
		}
	}
	return end
}

func (o *Owner) takeBack(from ident.VM, unspent float64) {
	lease, ok := o.leased[from]
	if !ok {
		return
	}
	returned := min(max(unspent, 0), lease.tokens)
	delete(o.leased, from)
	o.tokens += returned
	o.cap()
}

// retryAfterMs returns the time until the bucket holds one token.
func (o *Owner) retryAfterMs() int64 {
	fillRate := o.Share() * o.rate
	if fillRate <= 0 {
		return LoanTTL.Milliseconds()
	}
	missing := max(0, 1-o.tokens)
	return max(1, int64(math.Ceil(missing/fillRate*1000)))
}

// Lend grants a request of another data centre as far as the demand here
// permits: a share of the rate with its part of the burst, or else tokens and an
// equal amount of the burst.
func (o *Owner) Lend(now time.Time, to ident.DataCentre, req LoanRequest) Loan {
	o.advance(now)
	if now.Before(o.idleUntil) {
		return Loan{}
	}
	l := o.spareShare(now, req.Share)
	if l.Share == 0 {
		l = o.spareTokens(req.Tokens)
	}
	if l.Burst <= epsilon {
		return Loan{}
	}
	o.tokens -= l.Tokens
	expires := now.Add(time.Duration(l.TTLMs) * time.Millisecond)
	o.lent = append(o.lent, loan{peer: to, share: l.Share, burst: l.Burst, expires: expires})
	o.cap()
	return l
}

func (o *Owner) spareShare(now time.Time, requested float64) Loan {
	own := o.ownShare()
	spare := min(requested, own, o.Share()-o.demandShare(now, lendHeadroom))
	if spare <= epsilon {
		return Loan{}
	}
	part := spare / o.Share()
	return Loan{Share: spare, Burst: min(o.ownBurst(), o.Burst()*part), Tokens: o.tokens * part, TTLMs: LoanTTL.Milliseconds()}
}

// spareTokens lends at most half of the tokens in the bucket.
func (o *Owner) spareTokens(requested float64) Loan {
	n := math.Floor(min(requested, o.tokens/2, o.ownBurst()))
	if n < 1 {
		return Loan{}
	}
	return Loan{Burst: n, Tokens: n, TTLMs: TokenLoanTTL.Milliseconds()}
}

// Borrow receives a loan that was requested at the time sent.
func (o *Owner) Borrow(now, sent time.Time, from ident.DataCentre, l Loan) {
	o.advance(now)
	expires := sent.Add(usableTTL(l.TTLMs))
	if l.Burst <= 0 || !expires.After(now) {
		return
	}
	o.borrowed = append(o.borrowed, loan{peer: from, share: l.Share, burst: l.Burst, expires: expires})
	o.tokens += l.Tokens
	o.cap()
}

// MissingShare returns the share that the demand needs beyond what is held.
// Loans that expire within half of LoanTTL are not counted as held.
func (o *Owner) MissingShare(now time.Time) float64 {
	o.advance(now)
	lasting := o.ownShare()
	for _, b := range o.borrowed {
		if b.expires.Sub(now) > LoanTTL/2 {
			lasting += b.share
		}
	}
	return max(0, o.demandShare(now, borrowHeadroom)-lasting)
}

// Share returns the share of the grant that is currently held.
func (o *Owner) Share() float64 {
	share := o.ownShare()
	for _, b := range o.borrowed {
		share += b.share
	}
	return share
}

// Burst returns the part of the burst that is currently held, in calls.
func (o *Owner) Burst() float64 {
	burst := o.ownBurst()
	for _, b := range o.borrowed {
		burst += b.burst
	}
	return burst
}

func (o *Owner) ownBurst() float64 {
	burst := o.base * o.burst
	for _, l := range o.lent {
		burst -= l.burst
	}
	return max(0, burst)
}

// Outstanding returns the number of tokens that daemons hold.
func (o *Owner) Outstanding() float64 {
	sum := 0.0
	for _, r := range o.leased {
		sum += r.tokens
	}
	for _, r := range o.immediate {
		sum += r.tokens
	}
	return sum
}

// Full reports whether the bucket is full.
func (o *Owner) Full(now time.Time) bool {
	o.advance(now)
	return o.tokens >= o.Burst()-epsilon
}

// FillTime returns how long an empty bucket takes to fill.
func (o *Owner) FillTime() time.Duration {
	return time.Duration(o.burst / o.rate * float64(time.Second))
}

// Idle reports whether there is no recent demand and nothing is lent, borrowed
// or leased.
func (o *Owner) Idle(now time.Time) bool {
	o.advance(now)
	return o.demand.Rate(now) < epsilon && len(o.lent)+len(o.borrowed)+len(o.leased)+len(o.immediate) == 0
}

func (o *Owner) ownShare() float64 {
	share := o.base
	for _, l := range o.lent {
		share -= l.share
	}
	return max(0, share)
}

// demandShare returns the demand here, multiplied by headroom, as a share of the
// rate of the whole grant.
func (o *Owner) demandShare(now time.Time, headroom float64) float64 {
	return min(1, headroom*o.demand.Rate(now)/o.rate)
}

// advance brings the state up to date: tokens accrue, and each loan and lease
// that has expired ends at its own expiry time.
func (o *Owner) advance(now time.Time) {
	for {
		end, found := o.nextExpiry()
		if !found || end.After(now) {
			break
		}
		o.accrue(end)
		o.removeExpired(end)
		o.cap()
	}
	o.accrue(now)
}

func (o *Owner) nextExpiry() (end time.Time, found bool) {
	consider := func(t time.Time) {
		if !found || t.Before(end) {
			end, found = t, true
		}
	}
	for _, l := range slices.Concat(o.lent, o.borrowed) {
		consider(l.expires)
	}
	for _, r := range o.leased {
		consider(r.expires)
	}
	if len(o.immediate) > 0 {
		consider(o.immediate[0].expires)
	}
	return end, found
}

func (o *Owner) removeExpired(t time.Time) {
	expired := func(l loan) bool { return !l.expires.After(t) }
	o.lent = slices.DeleteFunc(o.lent, expired)
	o.borrowed = slices.DeleteFunc(o.borrowed, expired)
	o.immediate = slices.DeleteFunc(o.immediate, func(r reservation) bool { return !r.expires.After(t) })
	maps.DeleteFunc(o.leased, func(_ ident.VM, r reservation) bool { return !r.expires.After(t) })
}

func (o *Owner) accrue(now time.Time) {
	if now.After(o.updated) {
		o.tokens += o.Share() * o.rate * now.Sub(o.updated).Seconds()
		o.updated = now
	}
	o.cap()
}

// cap limits the sum of tokens in the bucket and outstanding tokens to the held
// part of the burst.
func (o *Owner) cap() {
	o.tokens = max(0, min(o.tokens, o.Burst()-o.Outstanding()))
}

func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
