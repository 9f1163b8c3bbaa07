package quota

import (
	"maps"
	"time"

	"chicorymast/core/ident"
)

// State is what an owner hands over to its successor. Expiry times are given as
// the time that remains.
type State struct {
	Tokens        float64                  `json:"tokens"`
	Lent          []TimedAmount            `json:"lent,omitempty"`
	Borrowed      []TimedAmount            `json:"borrowed,omitempty"`
	Leased        map[ident.VM]TimedAmount `json:"out,omitempty"`
	LastSequences map[ident.VM]uint64      `json:"seen,omitempty"`
	Immediate     []TimedAmount            `json:"spending,omitempty"`
	// IdleMs is the time for which nothing may be given yet.
	IdleMs int64 `json:"idle_ms,omitempty"`
}

// TimedAmount is a share or a number of tokens that expires.
type TimedAmount struct {
	// Peer is the other data centre of a loan.
	Peer        ident.DataCentre `json:"with,omitempty"`
	Amount      float64          `json:"amount"`
	Burst       float64          `json:"burst,omitempty"`
	RemainingMs int64            `json:"left_ms"`
}

// Yield ends this owner and returns its state for the successor.
func (o *Owner) Yield(now time.Time) State {
	o.advance(now)
	s := State{
		Tokens: o.tokens, Lent: timedAmounts(now, o.lent), Borrowed: timedAmounts(now, o.borrowed),
		Leased: map[ident.VM]TimedAmount{}, LastSequences: maps.Clone(o.lastSequences),
	}
	s.IdleMs = max(0, ceilMs(o.idleUntil.Sub(now)))
	for vm, r := range o.leased {
		s.Leased[vm] = TimedAmount{Amount: r.tokens, RemainingMs: ceilMs(r.expires.Sub(now))}
	}
	for _, r := range o.immediate {
		// They may still be spent, so the successor counts them against the burst
		// until they expire.
		s.Immediate = append(s.Immediate, TimedAmount{Amount: r.tokens, RemainingMs: ceilMs(r.expires.Sub(now))})
	}
	o.tokens = 0
	o.base = 0
	return s
}

// Resume returns an owner that continues from the state of its predecessor. The
// remaining time of borrowed shares is counted from now, later than the
// predecessor yielded them, so the clock margin is subtracted again.
func Resume(now time.Time, rate ident.Rate, burst ident.Burst, base float64, s State) *Owner {
	o := NewOwner(now.Add(time.Duration(s.IdleMs)*time.Millisecond), rate, burst, base)
	o.tokens = s.Tokens
	for _, l := range s.Lent {
		o.lent = append(o.lent, loan{peer: l.Peer, share: l.Amount, burst: l.Burst, expires: now.Add(time.Duration(l.RemainingMs) * time.Millisecond)})
	}
	for _, b := range s.Borrowed {
		o.borrowed = append(o.borrowed, loan{peer: b.Peer, share: b.Amount, burst: b.Burst, expires: now.Add(usableTTL(b.RemainingMs))})
	}
	for vm, r := range s.Leased {
		o.leased[vm] = reservation{tokens: r.Amount, expires: now.Add(time.Duration(r.RemainingMs) * time.Millisecond)}
	}
	for _, r := range s.Immediate {
		o.immediate = append(o.immediate, reservation{tokens: r.Amount, expires: now.Add(time.Duration(r.RemainingMs) * time.Millisecond)})
	}
	for vm, sequence := range s.LastSequences {
		o.lastSequences[vm] = sequence
	}
	o.cap()
	return o
}

func timedAmounts(now time.Time, loans []loan) []TimedAmount {
	out := make([]TimedAmount, 0, len(loans))
	for _, l := range loans {
		out = append(out, TimedAmount{Peer: l.peer, Amount: l.share, Burst: l.burst, RemainingMs: l.expires.Sub(now).Milliseconds()})
	}
	return out
}
