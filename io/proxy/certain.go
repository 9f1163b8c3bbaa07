package proxy

import (
	"context"
	"math"
	"net/http"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/fresh"
)

// refuseIfCertain returns the refusal of a check against the configuration. One that rests
// on the absence of something stands only if the configuration was confirmed shortly
// before; otherwise the check is repeated once it is confirmed, or the request is refused
// without a statement about what exists.
func (p *Proxy) refuseIfCertain(r *http.Request, check func() *fault.Refusal) *fault.Refusal {
	for waited := false; ; waited = true {
		// Read before the check: a confirmation during it may be that of a newer configuration.
		confirmed := p.opt.Board.Freshness.Read()
		refusal := check()
		if refusal == nil || !refusal.Reason.RestsOnAbsence() {
			return refusal
		}
		switch v := fresh.Judge(confirmed.Age(p.opt.Clock.Now()), p.callerTimeLeft(r), waited).(type) {
		case fresh.Certain:
			return refusal
		case fresh.Recheck:
			p.awaitConfirmation(r.Context(), v.Within)
		case fresh.Uncertain:
			return p.unconfirmed(confirmed, refusal)
		}
	}
}

// unlessUnconfirmed returns the refusal of a check that can't be repeated, or one without
// a statement about the configuration if that may be out of date.
func (p *Proxy) unlessUnconfirmed(refusal *fault.Refusal) *fault.Refusal {
	confirmed := p.opt.Board.Freshness.Read()
	if !refusal.Reason.RestsOnAbsence() || confirmed.Age(p.opt.Clock.Now()) <= fresh.MaxCertainAge {
		return refusal
	}
	return p.unconfirmed(confirmed, refusal)
}

func (p *Proxy) unconfirmed(confirmed *board.Freshness, refusal *fault.Refusal) *fault.Refusal {
	age := confirmed.Age(p.opt.Clock.Now()).Round(100 * time.Millisecond)
	return fault.Refuse(fault.ReasonConfigurationUnconfirmed, "%s, but the configuration was last confirmed %s ago", refusal.Detail, age)
}

// callerTimeLeft returns how long the caller of a request waits, as far as it says so.
func (p *Proxy) callerTimeLeft(r *http.Request) time.Duration {
	if left, ok := p.opt.Dialect.TimeLeft(r.Header); ok {
		return left
	}
	return math.MaxInt64
}

// awaitConfirmation waits until the configuration is confirmed, for a limited time.
func (p *Proxy) awaitConfirmation(ctx context.Context, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		changed := p.opt.Board.Freshness.Changed()
		if p.opt.Board.Freshness.Read().Age(p.opt.Clock.Now()) <= fresh.MaxCertainAge {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
