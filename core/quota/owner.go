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
	// LeaseTTL is how long a daemon may spend the tokens it was given.
	LeaseTTL = time.Second
	// ImmediateTTL is how long tokens for calls that wait may take to be spent;
	// an answer that comes later is of no use for them.
	ImmediateTTL = 50 * time.Millisecond
	// LoanTTL is how long one data centre may use another's share: two
	// attempts to renew it, and as little as that, since a new owner waits for
	// the loans of the one before it.
	LoanTTL = time.Second
	// TokenLoanTTL is how long tokens that calls wait for are lent.
	TokenLoanTTL = 500 * time.Millisecond
	// holderMargin of a lease's time is kept back by who received it, for
	// clocks that do not run alike.
	holderMargin = 0.1
	// ownerMemory is over how long an owner averages its demand. It is longer
	// than a loan, or a data centre lends away at a quiet moment what it needs
	// in the next.
	ownerMemory = 10 * time.Second
	// holderMemory is over how long a daemon averages its demand.
	holderMemory = time.Second
	// wantRoom is how much above its demand an owner wants to hold, keepRoom
	// how much it keeps when others ask; the gap between them keeps shares
	// from going to and fro.
	wantRoom = 1.15
	keepRoom = 1.8
	// epsilon is what counts as nothing among shares.
	epsilon = 1e-9
)

// Owner holds one data centre's share of a grant and divides it among the
// daemons there. The shares of all data centres add up to one; a share is
// lent for a time and comes back by itself.
type Owner struct {
	rate, burst float64
	// base is the data centre's own share, from 0 to 1.
	base float64
	// tokens are kept here; those leased are in out.
	tokens   float64
	at       time.Time
	lent     []loan
	borrowed []loan
	out      map[ident.VM]held
	// seen is the newest request of each daemon.
	seen map[ident.VM]uint64
	// spending are tokens on their way to calls that wait, oldest first.
	spending []held
	demand   meter.Meter
	// idleUntil is the end of the wait after a takeover.
	idleUntil time.Time
}

type loan struct {
	with  ident.DataCentre
	share float64
	burst float64
	until time.Time
}

type held struct {
	tokens float64
	until  time.Time
}

// NewOwner returns an owner whose bucket is empty at a time by which all that
// any earlier owner gave has ended. It gives nothing before; when the time has
// passed, tokens have accrued since.
func NewOwner(idleUntil time.Time, rate ident.Rate, burst ident.Burst, base float64) *Owner {
	return &Owner{
		rate: float64(rate), burst: float64(burst), base: base, at: idleUntil,
		out: map[ident.VM]held{}, seen: map[ident.VM]uint64{}, idleUntil: idleUntil,
		demand: meter.New(ownerMemory),
	}
}

// Adjust follows a change of the configuration.
func (o *Owner) Adjust(now time.Time, rate ident.Rate, burst ident.Burst, base float64) {
	if o.rate == float64(rate) && o.burst == float64(burst) && o.base == base {
		return
	}
	o.advance(now)
	o.rate, o.burst, o.base = float64(rate), float64(burst), base
	o.cap()
}

// Lease gives tokens to a daemon and takes back what it has not spent.
func (o *Owner) Lease(now time.Time, to ident.VM, w LeaseRequest) Lease {
	l := o.give(now, to, w)
	l.Sequence = w.Sequence
	return l
}

func (o *Owner) give(now time.Time, to ident.VM, w LeaseRequest) Lease {
	o.advance(now)
	if w.Sequence <= o.seen[to] {
		return Lease{RetryAfterMs: 1}
	}
	o.seen[to] = w.Sequence
	o.takeBack(to, w.Unspent)
	if !now.Before(o.idleUntil) {
		o.tokens += max(0, w.Refund)
		o.cap()
	}
	o.demand.Add(now, w.Used)
	if now.Before(o.idleUntil) && o.tokens < 1 {
		// Only tokens that others have lent can lie here before that time.
		return Lease{RetryAfterMs: ceilMs(o.idleUntil.Sub(now))}
	}
	if w.Immediate+w.Prefetch < 1 {
		return Lease{}
	}
	spend := math.Floor(min(w.Immediate, o.tokens))
	if spend < 1 && w.Immediate >= 1 {
		return Lease{RetryAfterMs: o.waitMs()}
	}
	o.tokens -= spend
	if spend > 0 {
		o.spending = append(o.spending, held{tokens: spend, until: now.Add(ImmediateTTL)})
	}
	l := Lease{Immediate: spend}
	until := o.leaseEnd(now)
	// Most of what is left stays for the other daemons.
	if ahead := math.Floor(min(w.Prefetch, o.tokens/4)); ahead >= 1 && until.After(now) {
		o.tokens -= ahead
		o.out[to] = held{tokens: ahead, until: until}
		l.Prefetched, l.TTLMs = ahead, until.Sub(now).Milliseconds()
	}
	return l
}

// leaseEnd keeps leases from outliving a borrowed share that backs them.
func (o *Owner) leaseEnd(now time.Time) time.Time {
	end := now.Add(LeaseTTL)
	for _, b := range o.borrowed {
		if b.until.Before(end) {
			end = b.until
		}
	}
	return end
}

func (o *Owner) takeBack(from ident.VM, unspent float64) {
	had, ok := o.out[from]
	if !ok {
		return
	}
	back := min(max(unspent, 0), had.tokens)
	delete(o.out, from)
	o.tokens += back
	o.cap()
}

func (o *Owner) waitMs() int64 {
	fill := o.Share() * o.rate
	if fill <= 0 {
		return LoanTTL.Milliseconds()
	}
	missing := max(0, 1-o.tokens)
	return max(1, int64(math.Ceil(missing/fill*1000)))
}

// Lend gives another data centre what it asks for, as far as the demand here
// leaves it: a share with its part of the burst, or tokens with room for them.
func (o *Owner) Lend(now time.Time, to ident.DataCentre, want LoanRequest) Loan {
	o.advance(now)
	if now.Before(o.idleUntil) {
		return Loan{}
	}
	l := o.spareShare(now, want.Share)
	if l.Share == 0 {
		l = o.spareTokens(want.Tokens)
	}
	if l.Burst <= epsilon {
		return Loan{}
	}
	o.tokens -= l.Tokens
	until := now.Add(time.Duration(l.TTLMs) * time.Millisecond)
	o.lent = append(o.lent, loan{with: to, share: l.Share, burst: l.Burst, until: until})
	o.cap()
	return l
}

func (o *Owner) spareShare(now time.Time, want float64) Loan {
	own := o.ownShare()
	spare := min(want, own, o.Share()-o.needed(now, keepRoom))
	if spare <= epsilon {
		return Loan{}
	}
	part := spare / o.Share()
	return Loan{Share: spare, Burst: min(o.ownBurst(), o.Burst()*part), Tokens: o.tokens * part, TTLMs: LoanTTL.Milliseconds()}
}

// spareTokens gives at most half of the tokens that lie here.
func (o *Owner) spareTokens(want float64) Loan {
	n := math.Floor(min(want, o.tokens/2, o.ownBurst()))
	if n < 1 {
		return Loan{}
	}
	return Loan{Burst: n, Tokens: n, TTLMs: TokenLoanTTL.Milliseconds()}
}

// Borrow takes a loan that was asked for at a time.
func (o *Owner) Borrow(now, asked time.Time, from ident.DataCentre, l Loan) {
	o.advance(now)
	until := asked.Add(shorten(l.TTLMs))
	if l.Burst <= 0 || !until.After(now) {
		return
	}
	o.borrowed = append(o.borrowed, loan{with: from, share: l.Share, burst: l.Burst, until: until})
	o.tokens += l.Tokens
	o.cap()
}

// MissingShare returns the share that the demand asks for beyond what is held,
// counting loans that end within half a loan's time as ended.
func (o *Owner) MissingShare(now time.Time) float64 {
	o.advance(now)
	lasting := o.ownShare()
	for _, b := range o.borrowed {
		if b.until.Sub(now) > LoanTTL/2 {
			lasting += b.share
		}
	}
	return max(0, o.needed(now, wantRoom)-lasting)
}

// Share returns the share that is held at the moment.
func (o *Owner) Share() float64 {
	share := o.ownShare()
	for _, b := range o.borrowed {
		share += b.share
	}
	return share
}

// Burst returns the part of the burst that is held at the moment, in calls.
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

// Outstanding returns the tokens that daemons hold.
func (o *Owner) Outstanding() float64 {
	sum := 0.0
	for _, h := range o.out {
		sum += h.tokens
	}
	for _, h := range o.spending {
		sum += h.tokens
	}
	return sum
}

// Full reports whether the bucket holds all that it can.
func (o *Owner) Full(now time.Time) bool {
	o.advance(now)
	return o.tokens >= o.Burst()-epsilon
}

// FillTime returns how long an empty bucket takes to fill.
func (o *Owner) FillTime() time.Duration {
	return time.Duration(o.burst / o.rate * float64(time.Second))
}

// Idle reports whether nothing was asked for lately and nothing is lent.
func (o *Owner) Idle(now time.Time) bool {
	o.advance(now)
	return o.demand.Rate(now) < epsilon && len(o.lent)+len(o.borrowed)+len(o.out)+len(o.spending) == 0
}

func (o *Owner) ownShare() float64 {
	share := o.base
	for _, l := range o.lent {
		share -= l.share
	}
	return max(0, share)
}

// needed is the share of the whole rate that the demand here amounts to, with
// some room.
func (o *Owner) needed(now time.Time, room float64) float64 {
	return min(1, room*o.demand.Rate(now)/o.rate)
}

// advance lets time pass: tokens accrue, loans and leases end, each at its
// own moment.
func (o *Owner) advance(now time.Time) {
	for {
		end, found := o.nextEnd()
		if !found || end.After(now) {
			break
		}
		o.accrue(end)
		o.endAt(end)
		o.cap()
	}
	o.accrue(now)
}

func (o *Owner) nextEnd() (end time.Time, found bool) {
	note := func(t time.Time) {
		if !found || t.Before(end) {
			end, found = t, true
		}
	}
	for _, l := range slices.Concat(o.lent, o.borrowed) {
		note(l.until)
	}
	for _, h := range o.out {
		note(h.until)
	}
	if len(o.spending) > 0 {
		note(o.spending[0].until)
	}
	return end, found
}

func (o *Owner) endAt(t time.Time) {
	over := func(l loan) bool { return !l.until.After(t) }
	o.lent = slices.DeleteFunc(o.lent, over)
	o.borrowed = slices.DeleteFunc(o.borrowed, over)
	o.spending = slices.DeleteFunc(o.spending, func(h held) bool { return !h.until.After(t) })
	maps.DeleteFunc(o.out, func(_ ident.VM, h held) bool { return !h.until.After(t) })
}

func (o *Owner) accrue(now time.Time) {
	if now.After(o.at) {
		o.tokens += o.Share() * o.rate * now.Sub(o.at).Seconds()
		o.at = now
	}
	o.cap()
}

// cap holds kept and leased tokens together within the share of the burst.
func (o *Owner) cap() {
	o.tokens = max(0, min(o.tokens, o.Burst()-o.Outstanding()))
}

func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
