// Package ration is the distributed rate limiter for grants. It leases tokens
// from the owner of a grant in this data centre, and is itself the owner of
// some grants.
//
// # Usage
//
//	r := ration.New(ration.Options{...})
//	r.Register(server)
//	stop := r.Start()
//	wait, err := r.Charge(ctx, grant)
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

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/quota"
	"chicorymast/core/rendez"
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
}

// Limiter is the part of one daemon. Its methods are safe for concurrent use.
type Limiter struct {
	opt Options

	mu      sync.Mutex
	holders map[ident.Grant]*holder

	ownMu  sync.Mutex
	owners map[ident.Grant]*owned
	// view is the current membership of this data centre.
	view view
}

// holder holds the tokens of a grant that this daemon may spend.
type holder struct {
	mu     sync.Mutex
	core   quota.Holder
	asking bool
	// queue holds the calls that wait for the owner's next reply.
	queue []chan bool
	// delayed is the number of calls that wait for the grant's bucket to refill.
	delayed int
	// lost is set while the owner does not respond.
	lost bool
}

const (
	askTimeout = 500 * time.Millisecond
	tickTime   = 250 * time.Millisecond
	// patience is the longest time that a call waits for a token.
	patience = 250 * time.Millisecond
	// mostDelayed is the maximum number of delayed calls of one grant.
	mostDelayed = 32
)

// New returns a Limiter without tokens or owned grants.
func New(opt Options) *Limiter {
	r := &Limiter{opt: opt, holders: map[ident.Grant]*holder{}, owners: map[ident.Grant]*owned{}}
	r.view.changed = opt.Clock.Now()
	return r
}

// Register adds the RPC handlers of the limiter to a server.
func (r *Limiter) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodQuotaLease, r.lease)
	wire.Handle(s, wire.MethodQuotaLend, r.lend)
	wire.Handle(s, wire.MethodQuotaYield, r.yield)
}

// Start starts the periodic tasks: following the membership, borrowing for owned
// grants and returning unused tokens.
func (r *Limiter) Start() (stop func()) {
	return r.opt.Clock.Every(tickTime, func(now time.Time) {
		r.followView(now)
		r.borrowAll(now)
		r.handBack(now)
	})
}

// Charge takes one token of a grant. It returns zero if the call may proceed, or
// the expected time until the next token if the grant is used up. Errors:
// ErrOwnerUnreachable, or the error of ctx.
func (r *Limiter) Charge(ctx context.Context, g ident.Grant) (wait time.Duration, err error) {
	h := r.holder(g)
	now := r.opt.Clock.Now()
	h.mu.Lock()
	if h.core.Take(now) {
		if h.core.NeedsPrefetch(now) && !h.asking {
			r.startAsking(g, h)
		}
		h.mu.Unlock()
		return 0, nil
	}
	return r.await(ctx, g, h, now)
}

// handBack returns unused tokens to their owners before their leases expire.
func (r *Limiter) handBack(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for g, h := range r.holders {
		h.mu.Lock()
		if !h.asking && h.core.Expiring(now) {
			r.startAsking(g, h)
		}
		h.mu.Unlock()
	}
}

// Refund returns the token of a call that was proved not to have run.
func (r *Limiter) Refund(g ident.Grant) {
	h := r.holder(g)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Refund()
}

// await waits for a token for a call. The holder must be locked; it is unlocked
// on return. If the grant is used up, the call is delayed up to patience, since
// tokens accrue and other daemons may return unused ones.
func (r *Limiter) await(ctx context.Context, g ident.Grant, h *holder, began time.Time) (time.Duration, error) {
	defer h.mu.Unlock()
	for now := began; ; now = r.opt.Clock.Now() {
		if !now.Equal(began) && h.core.TakeWaiting(now) {
			return 0, nil
		}
		denied := h.core.Backoff(now)
		if denied > 0 {
			late := now.Add(denied).Sub(began) > patience || h.delayed >= mostDelayed
			if late && h.lost {
				return 0, ErrOwnerUnreachable
			}
			if late || !h.pause(ctx, denied) {
				return denied, ctx.Err()
			}
			continue
		}
		served, err := r.joinQueue(ctx, g, h)
		if served || err != nil {
			return 0, err
		}
	}
}

// joinQueue waits for the next reply of the owner and reports whether it included
// a token for the call. The holder must be locked; it is unlocked meanwhile.
func (r *Limiter) joinQueue(ctx context.Context, g ident.Grant, h *holder) (served bool, err error) {
	place := make(chan bool, 1)
	h.queue = append(h.queue, place)
	if !h.asking {
		r.startAsking(g, h)
	}
	h.mu.Unlock()
	defer h.mu.Lock()
	select {
	case served = <-place:
		return served, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// pause unlocks the holder and waits for d. It reports false if ctx ended first.
func (h *holder) pause(ctx context.Context, d time.Duration) bool {
	h.delayed++
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	ok := true
	select {
	case <-t.C:
	case <-ctx.Done():
		ok = false
	}
	h.mu.Lock()
	h.delayed--
	return ok
}

func (r *Limiter) holder(g ident.Grant) *holder {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.holders[g]
	if h == nil {
		h = &holder{}
		r.holders[g] = h
	}
	return h
}

// startAsking starts a goroutine that requests tokens for all queued calls, and
// again for those queued in the meantime. The holder must be locked.
func (r *Limiter) startAsking(g ident.Grant, h *holder) {
	h.asking = true
	go func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for first := true; first || len(h.queue) > 0; first = false {
			r.ask(g, h)
		}
		h.asking = false
	}()
}

// ask requests tokens for the calls in the queue. The holder must be locked; it is
// unlocked while the request is in progress.
func (r *Limiter) ask(g ident.Grant, h *holder) {
	asked := r.opt.Clock.Now()
	queue := h.queue
	h.queue = nil
	want := h.core.RequestLease(asked, len(queue))
	h.mu.Unlock()
	l, ok := r.askOwner(wire.QuotaLeaseRequest{VM: r.opt.VM, Grant: g, Want: want})
	if !ok {
		l = quota.Lease{Sequence: want.Sequence, RetryAfterMs: tickTime.Milliseconds()}
	}
	h.mu.Lock()
	h.lost = !ok
	served := h.core.Receive(r.opt.Clock.Now(), asked, l)
	for i, place := range queue {
		place <- i < served
	}
}

// askOwner requests a lease from the grant's owner and, if the owner in this data
// centre does not respond, from owners in other data centres, which give tokens
// from their own shares.
func (r *Limiter) askOwner(q wire.QuotaLeaseRequest) (quota.Lease, bool) {
	const tries = 3
	const pause = 20 * time.Millisecond
	home := r.ownerDataCentre(q.Grant)
	for range tries {
		reply, err := r.askIn(home, q)
		if err == nil && reply.Owner {
			return reply.Lease, true
		}
		// The tokens returned with the first request may have been received.
		q.Want.Unspent, q.Want.Refund = 0, 0
		if home == r.opt.DataCentre {
			if l, ok := r.askElsewhere(q); ok {
				return l, true
			}
		}
		// VMs may disagree on the owner for a short time after a membership change.
		time.Sleep(pause)
	}
	return quota.Lease{}, false
}

// askElsewhere requests a lease from the owners in other data centres, one after
// the other, until one grants tokens for waiting calls.
func (r *Limiter) askElsewhere(q wire.QuotaLeaseRequest) (quota.Lease, bool) {
	for dc := range r.opt.Board.Config.Read().State.Intent.DataCentres {
		if dc == r.opt.DataCentre {
			continue
		}
		reply, err := r.askIn(dc, q)
		if err == nil && reply.Owner && reply.Lease.Immediate > 0 {
			return reply.Lease, true
		}
	}
	return quota.Lease{}, false
}

func (r *Limiter) askIn(dc ident.DataCentre, q wire.QuotaLeaseRequest) (wire.QuotaLeaseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	members := r.opt.Board.Members.Read()
	vm, ok := rendez.First(ownerKey(q.Grant), members.ByDataCentre[dc])
	if !ok {
		return wire.QuotaLeaseReply{}, nil
	}
	if vm == r.opt.VM {
		return r.lease(ctx, q)
	}
	return wire.Call[wire.QuotaLeaseReply](ctx, r.opt.Pool, members.ByVM[vm].Addresses.Control, wire.MethodQuotaLease, q)
}

// ownerDataCentre returns the data centre whose owner to ask: this one, except for
// grants that are too small to be divided and have one owner in the fleet.
func (r *Limiter) ownerDataCentre(g ident.Grant) ident.DataCentre {
	if home, single := r.opt.Board.Config.Read().State.Intent.GrantHome(g); single {
		return home
	}
	return r.opt.DataCentre
}

func ownerKey(g ident.Grant) string {
	return "grant/" + string(g)
}
