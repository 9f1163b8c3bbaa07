package quota

import (
	"maps"
	"time"

	"chicorymast/core/ident"
)

// State is what one owner hands to the next. Times are spans from now.
type State struct {
	Tokens        float64                  `json:"tokens"`
	Lent          []TimedAmount            `json:"lent,omitempty"`
	Borrowed      []TimedAmount            `json:"borrowed,omitempty"`
	Leased        map[ident.VM]TimedAmount `json:"out,omitempty"`
	LastSequences map[ident.VM]uint64      `json:"seen,omitempty"`
	Immediate     []TimedAmount            `json:"spending,omitempty"`
	// IdleMs is for how long nothing may be given yet.
	IdleMs int64 `json:"idle_ms,omitempty"`
}

// TimedAmount is an amount that ends after a while.
type TimedAmount struct {
	Peer        ident.DataCentre `json:"with,omitempty"`
	Amount      float64          `json:"amount"`
	Burst       float64          `json:"burst,omitempty"`
	RemainingMs int64            `json:"left_ms"`
}

// Yield ends this owner and returns its state.
func (o *Owner) Yield(now time.Time) State {
	o.advance(now)
	s := State{Tokens: o.tokens, Lent: spans(now, o.lent), Borrowed: spans(now, o.borrowed), Leased: map[ident.VM]TimedAmount{}, LastSequences: maps.Clone(o.seen)}
	s.IdleMs = max(0, ceilMs(o.idleUntil.Sub(now)))
	for vm, h := range o.out {
		s.Leased[vm] = TimedAmount{Amount: h.tokens, RemainingMs: ceilMs(h.until.Sub(now))}
	}
	for _, h := range o.spending {
		// The next owner counts them as kept back for as long as they may take.
		s.Immediate = append(s.Immediate, TimedAmount{Amount: h.tokens, RemainingMs: ceilMs(h.until.Sub(now))})
	}
	o.tokens = 0
	o.base = 0
	return s
}

// Resume returns an owner that goes on from another one's state. Borrowed
// shares are counted from now, which is later than they were yielded, so
// they lose the margin for the way again.
func Resume(now time.Time, rate ident.Rate, burst ident.Burst, base float64, s State) *Owner {
	o := NewOwner(now.Add(time.Duration(s.IdleMs)*time.Millisecond), rate, burst, base)
	o.tokens = s.Tokens
	for _, l := range s.Lent {
		o.lent = append(o.lent, loan{with: l.Peer, share: l.Amount, burst: l.Burst, until: now.Add(time.Duration(l.RemainingMs) * time.Millisecond)})
	}
	for _, b := range s.Borrowed {
		o.borrowed = append(o.borrowed, loan{with: b.Peer, share: b.Amount, burst: b.Burst, until: now.Add(shorten(b.RemainingMs))})
	}
	for vm, h := range s.Leased {
		o.out[vm] = held{tokens: h.Amount, until: now.Add(time.Duration(h.RemainingMs) * time.Millisecond)}
	}
	for _, h := range s.Immediate {
		o.spending = append(o.spending, held{tokens: h.Amount, until: now.Add(time.Duration(h.RemainingMs) * time.Millisecond)})
	}
	for vm, number := range s.LastSequences {
		o.seen[vm] = number
	}
	o.cap()
	return o
}

func spans(now time.Time, loans []loan) []TimedAmount {
	out := make([]TimedAmount, 0, len(loans))
	for _, l := range loans {
		out = append(out, TimedAmount{Peer: l.with, Amount: l.share, Burst: l.burst, RemainingMs: l.until.Sub(now).Milliseconds()})
	}
	return out
}
