package ration

import (
	"context"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/quota"
	"chicorymast/core/rendez"
	"chicorymast/io/wire"
)

// borrowAll borrows from other data centres for all owned grants whose demand
// exceeds the share held here.
func (r *Limiter) borrowAll(now time.Time) {
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	for g, o := range r.owners {
		if o.borrowing || !r.mayOwn(now, g) {
			continue
		}
		if want := o.core.MissingShare(now); want > 0 {
			o.borrowing = true
			go r.borrow(g, o, quota.LoanRequest{Share: want})
		}
	}
}

// borrowTokens borrows tokens for waiting calls without waiting for the next tick.
// The mutex must be held.
func (r *Limiter) borrowTokens(now time.Time, g ident.Grant, o *owned) {
	const pause, few = 15 * time.Millisecond, 2
	if o.borrowing || now.Sub(o.shortAt) < pause {
		return
	}
	o.borrowing, o.shortAt = true, now
	go r.borrow(g, o, quota.LoanRequest{Tokens: few})
}

func (r *Limiter) borrow(g ident.Grant, o *owned, want quota.LoanRequest) {
	defer func() {
		r.ownMu.Lock()
		defer r.ownMu.Unlock()
		o.borrowing = false
	}()
	in := r.opt.Board.Config.Read().State.Intent
	for dc := range in.DataCentres {
		if dc == r.opt.DataCentre {
			continue
		}
		asked := r.opt.Clock.Now()
		l, err := r.askLoan(g, dc, want)
		if err != nil || l.Burst <= 0 {
			continue
		}
		r.ownMu.Lock()
		o.core.Borrow(r.opt.Clock.Now(), asked, dc, l)
		r.ownMu.Unlock()
		want.Share -= l.Share
		want.Tokens -= l.Tokens
		if want.Share <= 0 && want.Tokens <= 0 {
			return
		}
	}
}

func (r *Limiter) askLoan(g ident.Grant, dc ident.DataCentre, want quota.LoanRequest) (quota.Loan, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	members := r.opt.Board.Members.Read()
	vm, ok := rendez.First(ownerKey(g), members.ByDataCentre[dc])
	if !ok {
		return quota.Loan{}, nil
	}
	q := wire.QuotaLendRequest{DataCentre: r.opt.DataCentre, Grant: g, Want: want}
	reply, err := wire.Call[wire.QuotaLendReply](ctx, r.opt.Pool, members.ByVM[vm].Addresses.Control, wire.MethodQuotaLend, q)
	return reply.Loan, err
}
