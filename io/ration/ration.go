// Package ration is the distributed rate limiter for grants. It leases tokens
// from the owner of a grant in this data centre, and is itself the owner of
// some grants.
//
// # Usage
//
//	limiter := ration.New(ration.Options{...})
//	limiter.Register(server)
//	stop := limiter.Start()
//	wait, err := limiter.Charge(ctx, grant)
//
// The owner of a grant is the first VM of the data centre by rendezvous hashing.
// An owner that has lost contact with its relay stops giving out tokens before
// its membership lease expires. A new owner takes over the state of its
// predecessor or, if that is gone, waits until all leases and loans of the
// predecessor have expired.
package ration

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/quota"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

// ErrOwnerUnreachable is returned if the owner of a grant does not respond.
var ErrOwnerUnreachable = errors.New("the owner of the grant can't be reached")

// Options configures a Limiter.
type Options struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Clock      timer.Clock
	Board      *board.Board
	Pool       *wire.Pool
	Config     func() *config.Config
}

// Limiter is one daemon's part of the rate limiter. Its methods are safe for
// concurrent use.
type Limiter struct {
	opt Options

	mu      sync.Mutex
	holders map[ident.Grant]*holder

	ownersMu sync.Mutex
	owners   map[ident.Grant]*ownedGrant
	// view is the current membership of this data centre.
	view view

	// fallbacks holds the buckets of the slack, guarded by ownersMu.
	fallbacks map[ident.Grant]*fallbackOwner

	silent *silentVMs
}

// holder holds the tokens of a grant that this daemon may spend.
type holder struct {
	mu         sync.Mutex
	quota      quota.Holder
	requesting bool
	// queue holds the calls that wait for the owner's next reply.
	queue []chan bool
	// delayed is the number of calls that wait for the grant's bucket to refill.
	delayed int
	// ownerUnreachable is set while the owner does not respond.
	ownerUnreachable bool
	// lastReply is the newest reply, and repliedAt when replyFrom sent it.
	lastReply quota.Reply
	replyFrom ident.VM
	repliedAt time.Time
}

const (
	// requestTimeout limits one request to an owner. It is longer than a round trip
	// between continents.
	requestTimeout = 250 * time.Millisecond
	// leaseTimeout limits the search for an owner that gives tokens. It bounds the
	// time that calls wait for it.
	leaseTimeout = 400 * time.Millisecond
	tickInterval = 250 * time.Millisecond
	// maxDelay is the longest time that a call is delayed while the bucket refills.
	maxDelay = 250 * time.Millisecond
	// maxDelayedCalls is the maximum number of delayed calls of one grant.
	maxDelayedCalls = 32
	// unreachableTime is how long calls are refused at once after no owner could be
	// reached.
	unreachableTime = 250 * time.Millisecond
)

// New returns a Limiter without tokens or owned grants.
func New(opt Options) *Limiter {
	l := &Limiter{
		opt: opt, holders: map[ident.Grant]*holder{},
		owners: map[ident.Grant]*ownedGrant{}, fallbacks: map[ident.Grant]*fallbackOwner{}, silent: newSilentVMs(),
	}
	l.view.memberLeftAt = opt.Clock.Now()
	return l
}

// Register adds the RPC handlers of the limiter to a server.
func (l *Limiter) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodQuotaLease, l.serveLease)
	wire.Handle(s, wire.MethodQuotaLend, l.serveLend)
	wire.Handle(s, wire.MethodQuotaYield, l.serveYield)
}

// Start starts the periodic tasks: following the membership, borrowing for owned
// grants and returning unused tokens.
func (l *Limiter) Start() (stop func()) {
	return l.opt.Clock.Every(tickInterval, func(now time.Time) {
		l.updateView(now)
		l.borrowAll(now)
		l.returnUnused(now)
	})
}

// Charge takes one token of a grant. It returns zero if the call may proceed, or
// the expected time until the next token if the grant is used up. Errors:
// ErrOwnerUnreachable, or the error of ctx.
func (l *Limiter) Charge(ctx context.Context, g ident.Grant) (wait time.Duration, err error) {
	h := l.holder(g)
	now := l.opt.Clock.Now()
	h.mu.Lock()
	if h.quota.Take(now) {
		if h.quota.NeedsPrefetch(now) && !h.requesting {
			l.startRequests(g, h)
		}
		h.mu.Unlock()
		return 0, nil
	}
	return l.waitForToken(ctx, g, h, now)
}

// returnUnused returns unused tokens to their owners before their leases expire.
func (l *Limiter) returnUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for g, h := range l.holders {
		h.mu.Lock()
		if !h.requesting && h.quota.Expiring(now) {
			l.startRequests(g, h)
		}
		h.mu.Unlock()
	}
}

// Refund returns the token of a call that was proved not to have run.
func (l *Limiter) Refund(g ident.Grant) {
	h := l.holder(g)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quota.Refund()
}

// Inputs returns what decisions on a grant stand on.
func (l *Limiter) Inputs(g ident.Grant) quota.Inputs {
	now := l.opt.Clock.Now()
	h := l.holder(g)
	h.mu.Lock()
	i := h.quota.Inputs(now)
	i.LastReply, i.ReplyFrom, i.ReplyAge = h.lastReply, h.replyFrom, now.Sub(h.repliedAt)
	h.mu.Unlock()
	i.OwnerDataCentre = l.ownerDataCentre(g)
	i.Owner, _ = l.first(ownerKey(g), i.OwnerDataCentre)
	return i
}

// waitForToken waits for a token for a call. The holder must be locked; it is
// unlocked on return. If the grant is used up, the call is delayed up to maxDelay,
// since tokens accrue and other daemons may return unused ones.
func (l *Limiter) waitForToken(ctx context.Context, g ident.Grant, h *holder, start time.Time) (time.Duration, error) {
	defer h.mu.Unlock()
	for now := start; ; now = l.opt.Clock.Now() {
		if !now.Equal(start) && h.quota.TakeWaiting(now) {
			return 0, nil
		}
		if h.ownerUnreachable && now.Before(h.repliedAt.Add(unreachableTime)) {
			return 0, ErrOwnerUnreachable
		}
		backoff := h.quota.Backoff(now)
		if backoff > 0 {
			tooLong := now.Add(backoff).Sub(start) > maxDelay || h.delayed >= maxDelayedCalls
			if tooLong && h.ownerUnreachable {
				return 0, ErrOwnerUnreachable
			}
			if tooLong || !h.sleep(ctx, backoff) {
				return backoff, ctx.Err()
			}
			continue
		}
		served, err := l.enqueue(ctx, g, h)
		if served || err != nil {
			return 0, err
		}
	}
}

// enqueue waits for the next reply of the owner and reports whether it included
// a token for the call. The holder must be locked; it is unlocked meanwhile.
func (l *Limiter) enqueue(ctx context.Context, g ident.Grant, h *holder) (served bool, err error) {
	granted := make(chan bool, 1)
	h.queue = append(h.queue, granted)
	if !h.requesting {
		l.startRequests(g, h)
	}
	h.mu.Unlock()
	defer h.mu.Lock()
	select {
	case served = <-granted:
		return served, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// sleep unlocks the holder and waits for d. It reports false if ctx ended first.
func (h *holder) sleep(ctx context.Context, d time.Duration) bool {
	h.delayed++
	h.mu.Unlock()
	ok := timer.Sleep(ctx, d)
	h.mu.Lock()
	h.delayed--
	return ok
}

func (l *Limiter) holder(g ident.Grant) *holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holders[g]
	if h == nil {
		h = &holder{}
		l.holders[g] = h
	}
	return h
}

// startRequests starts a goroutine that requests tokens for all queued calls, and
// again for those queued in the meantime. The holder must be locked.
func (l *Limiter) startRequests(g ident.Grant, h *holder) {
	h.requesting = true
	go func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for first := true; first || len(h.queue) > 0; first = false {
			l.requestLease(g, h)
		}
		h.requesting = false
	}()
}

// requestLease requests tokens for the calls in the queue. The holder must be
// locked; it is unlocked while the request is in progress.
func (l *Limiter) requestLease(g ident.Grant, h *holder) {
	sentAt := l.opt.Clock.Now()
	queue := h.queue
	h.queue = nil
	req := h.quota.RequestLease(sentAt, len(queue))
	h.mu.Unlock()
	a := l.leaseFromOwner(wire.QuotaLeaseRequest{VM: l.opt.VM, Grant: g, Want: req})
	lease, ok := a.lease, a.leased()
	if !ok {
		lease = quota.Lease{Sequence: req.Sequence, RetryAfterMs: tickInterval.Milliseconds()}
	}
	h.mu.Lock()
	h.ownerUnreachable = !ok
	h.lastReply, h.replyFrom, h.repliedAt = a.reply, a.from, l.opt.Clock.Now()
	served := h.quota.Receive(l.opt.Clock.Now(), sentAt, lease)
	for i, granted := range queue {
		granted <- i < served
	}
}

// leaseAnswer is the result of a request for a lease.
type leaseAnswer struct {
	lease quota.Lease
	reply quota.Reply
	from  ident.VM
}

// leased reports whether the owner has replied.
func (a leaseAnswer) leased() bool {
	return a.reply == quota.ReplyGranted || a.reply == quota.ReplyDenied
}

// leaseFromOwner requests a lease from the grant's owner in this data centre. If that
// one does not reply, the owners in other data centres are asked, which give tokens
// from their own shares, until one has tokens for waiting calls. A grant that is too
// small to be divided has one owner in the fleet, and the fallback owner for one call
// at a time while that one does not reply.
func (l *Limiter) leaseFromOwner(q wire.QuotaLeaseRequest) (best leaseAnswer) {
	const retryDelay = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		asked := false
		for i, dc := range l.lenders(q.Grant) {
			a := l.leaseFrom(ctx, dc, ownerKey(q.Grant), q)
			if a.reply == quota.ReplyGranted || (i == 0 && a.leased()) {
				return a
			}
			asked = asked || a.reply == quota.ReplyNotOwner
			if !best.leased() {
				best = a
			}
			// The tokens returned with the first request may have been received.
			q.Want.Unspent, q.Want.Refund = 0, 0
		}
		if best.leased() {
			return best
		}
		if a, ok := l.leaseFallback(ctx, q); ok {
			return a
		}
		if !asked {
			return best
		}
		// VMs may disagree on the owner for a short time after a membership change.
		timer.Sleep(ctx, retryDelay)
	}
	return best
}

// lenders lists the data centres whose owners to ask, in order.
func (l *Limiter) lenders(g ident.Grant) []ident.DataCentre {
	intent := l.opt.Board.Config.Read().State.Intent
	if home, single := intent.GrantHome(g); single {
		return []ident.DataCentre{home}
	}
	list := []ident.DataCentre{l.opt.DataCentre}
	for dc := range intent.DataCentres {
		if dc != l.opt.DataCentre {
			list = append(list, dc)
		}
	}
	return list
}

// leaseFrom requests a lease from the first VM of a data centre for a rendezvous key.
func (l *Limiter) leaseFrom(ctx context.Context, dc ident.DataCentre, key string, q wire.QuotaLeaseRequest) leaseAnswer {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	members := l.opt.Board.Members.Read()
	vm, ok := l.first(key, dc)
	if !ok {
		return leaseAnswer{reply: quota.ReplyNoOwner}
	}
	if !l.silent.mayAsk(l.opt.Clock.Now(), vm) {
		return leaseAnswer{reply: quota.ReplyUnreachable, from: vm}
	}
	reply, err := l.requestFrom(ctx, members.ByVM[vm], q)
	l.silent.record(l.opt.Clock.Now(), vm, err)
	a := leaseAnswer{lease: reply.Lease, reply: quota.ReplyGranted, from: vm}
	switch {
	case err != nil:
		a.reply = quota.ReplyUnreachable
	case !reply.Owner:
		a.reply = quota.ReplyNotOwner
	case reply.Lease.RetryAfterMs > 0:
		a.reply = quota.ReplyDenied
	}
	return a
}

func (l *Limiter) requestFrom(ctx context.Context, e member.Entry, q wire.QuotaLeaseRequest) (wire.QuotaLeaseReply, error) {
	if e.VM == l.opt.VM {
		return l.serveLease(ctx, q)
	}
	return wire.Call[wire.QuotaLeaseReply](ctx, l.opt.Pool, e.Addresses.Control, wire.MethodQuotaLease, q)
}

// ownerDataCentre returns the data centre whose owner to ask: this one, except for
// grants that are too small to be divided and have one owner in the fleet.
func (l *Limiter) ownerDataCentre(g ident.Grant) ident.DataCentre {
	if home, single := l.opt.Board.Config.Read().State.Intent.GrantHome(g); single {
		return home
	}
	return l.opt.DataCentre
}

func ownerKey(g ident.Grant) string {
	return "grant/" + string(g)
}
