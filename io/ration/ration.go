// Package ration carries the division of rates over the network: it asks the
// owner of a grant in this data centre for tokens, and is that owner for some
// grants itself.
//
// # Usage
//
//	r := ration.New(ration.Options{...})
//	r.Register(server)
//	stop := r.Start()
//	wait, err := r.Charge(ctx, grant)
//
// The owner of a grant is the first of the data centre's VMs in rendezvous
// order. A VM that is out of touch with its relay for as long as a membership
// lease gives nothing; a new owner takes over the state of the one before it,
// or, when that one is gone, waits until all it gave has ended.
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

// ErrOwnerUnreachable is returned when a grant's owner can't be asked.
var ErrOwnerUnreachable = errors.New("the owner of the grant can't be reached")

// Options is what the division of rates needs.
type Options struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Clock      timer.Clock
	Board      *board.Board
	Pool       *wire.Pool
}

// Limiter is one daemon's part.
type Limiter struct {
	opt Options

	mu      sync.Mutex
	holders map[ident.Grant]*holder

	ownMu  sync.Mutex
	owners map[ident.Grant]*owned
	// view follows the membership of this data centre.
	view view
}

// holder is a grant as this daemon spends it.
type holder struct {
	mu     sync.Mutex
	core   quota.Holder
	asking bool
	// queue are the calls that wait for the owner's next answer.
	queue []chan bool
	// delayed counts the calls that wait for the grant to fill.
	delayed int
	// lost is set while the owner does not answer.
	lost bool
}

const (
	askTimeout = 500 * time.Millisecond
	tickTime   = 250 * time.Millisecond
	// patience is how long a call may be delayed by its rate.
	patience = 250 * time.Millisecond
	// mostDelayed calls of a grant may be delayed at once.
	mostDelayed = 32
)

// New returns a part that holds nothing.
func New(opt Options) *Limiter {
	r := &Limiter{opt: opt, holders: map[ident.Grant]*holder{}, owners: map[ident.Grant]*owned{}}
	r.view.changed = opt.Clock.Now()
	return r
}

// Register adds the methods of the division.
func (r *Limiter) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodQuotaLease, r.lease)
	wire.Handle(s, wire.MethodQuotaLend, r.lend)
	wire.Handle(s, wire.MethodQuotaYield, r.yield)
}

// Start begins to borrow for the grants that are owned here.
func (r *Limiter) Start() (stop func()) {
	return r.opt.Clock.Every(tickTime, func(now time.Time) {
		r.followView(now)
		r.borrowAll(now)
		r.handBack(now)
	})
}

// Charge takes one token of a grant. It returns zero when the call may go on,
// or how long to wait when the grant is used up. Errors: ErrUnreachable, or that
// of ctx.
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

// handBack returns tokens that are not used before they lapse.
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

// Refund gives back what a call was charged that was then proved not to have
// run.
func (r *Limiter) Refund(g ident.Grant) {
	h := r.holder(g)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Refund()
}

// await asks the owner on behalf of a call; the holder is locked on entry. A
// grant that is used up for a moment only delays the call a little, since
// other daemons may hand back tokens.
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

// joinQueue waits for the next answer of the owner; the holder is locked.
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

// pause waits without the lock; it reports whether the call is still wanted.
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

// startAsking sends one request for all who wait, and another one for those
// who came meanwhile; the holder is locked.
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

// ask serves the calls that wait at the moment; the holder is locked, but not
// while the owner is asked.
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

// askOwner asks the grant's owner here and, while that one does not answer,
// the owners in other data centres, who give from their own shares.
func (r *Limiter) askOwner(q wire.QuotaLeaseRequest) (quota.Lease, bool) {
	const tries = 3
	const pause = 20 * time.Millisecond
	home := r.ownerDataCentre(q.Grant)
	for range tries {
		reply, err := r.askIn(home, q)
		if err == nil && reply.Owner {
			return reply.Lease, true
		}
		// What was handed back with the first request may have arrived.
		q.Want.Unspent, q.Want.Refund = 0, 0
		if home == r.opt.DataCentre {
			if l, ok := r.askElsewhere(q); ok {
				return l, true
			}
		}
		// Views differ for a moment: ask again with the next one.
		time.Sleep(pause)
	}
	return quota.Lease{}, false
}

// askElsewhere asks the owners in other data centres until one gives.
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

// ownerDataCentre is the own one, except for grants too small to be divided.
func (r *Limiter) ownerDataCentre(g ident.Grant) ident.DataCentre {
	if home, single := r.opt.Board.Config.Read().State.Intent.GrantHome(g); single {
		return home
	}
	return r.opt.DataCentre
}

func ownerKey(g ident.Grant) string {
	return "grant/" + string(g)
}
