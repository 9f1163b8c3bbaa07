package ration

import (
	"context"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/quota"
	"chicorymast/io/wire"
)

// borrowAll borrows from other data centres for all owned grants whose demand
// exceeds the share held here.
func (l *Limiter) borrowAll(now time.Time) {
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	for g, o := range l.owners {
		if o.borrowing || !l.mayOwn(now, ownerKey(g)) {
			continue
		}
		if missing := o.quota.MissingShare(now); missing > 0 {
			o.borrowing = true
			go l.borrow(g, o, quota.LoanRequest{Share: missing})
		}
	}
}

// borrowTokens borrows tokens for waiting calls without waiting for the next tick.
// The mutex must be held.
func (l *Limiter) borrowTokens(now time.Time, g ident.Grant, o *ownedGrant) {
	const minInterval, loanTokens = 15 * time.Millisecond, 2
	if o.borrowing || now.Sub(o.tokensRequestedAt) < minInterval {
		return
	}
	o.borrowing, o.tokensRequestedAt = true, now
	go l.borrow(g, o, quota.LoanRequest{Tokens: loanTokens})
}

func (l *Limiter) borrow(g ident.Grant, o *ownedGrant, req quota.LoanRequest) {
	defer func() {
		l.ownersMu.Lock()
		defer l.ownersMu.Unlock()
		o.borrowing = false
	}()
	intent := l.opt.Board.Config.Read().State.Intent
	for dc := range intent.DataCentres {
		if dc == l.opt.DataCentre {
			continue
		}
		requestedAt := l.opt.Clock.Now()
		loan, err := l.requestLoan(g, dc, req)
		if err != nil || loan.Burst <= 0 {
			continue
		}
		l.ownersMu.Lock()
		o.quota.Borrow(l.opt.Clock.Now(), requestedAt, dc, loan)
		l.ownersMu.Unlock()
		req.Share -= loan.Share
		req.Tokens -= loan.Tokens
		if req.Share <= 0 && req.Tokens <= 0 {
			return
		}
	}
}

func (l *Limiter) requestLoan(g ident.Grant, dc ident.DataCentre, req quota.LoanRequest) (quota.Loan, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	members := l.opt.Board.Members.Read()
	vm, ok := l.first(ownerKey(g), dc)
	if !ok {
		return quota.Loan{}, nil
	}
	q := wire.QuotaLendRequest{DataCentre: l.opt.DataCentre, Grant: g, Want: req}
	reply, err := wire.Call[wire.QuotaLendReply](ctx, l.opt.Pool, members.ByVM[vm].Addresses.Control, wire.MethodQuotaLend, q)
	return reply.Loan, err
}
