package ration

import (
	"context"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/quota"
	"chicorymast/core/rendez"
	"chicorymast/io/wire"
)

// owned is a grant that this VM owns in its data centre.
type owned struct {
	core *quota.Owner
	// borrowing is set while a loan is requested from other data centres.
	borrowing bool
	// shortAt is when tokens were last requested from other data centres.
	shortAt time.Time
}

// view holds the members of this data centre and when one last left.
type view struct {
	vms     []ident.VM
	changed time.Time
}

const (
	// fence is how long an owner still gives out tokens after it has lost
	// contact with its relay. It is shorter than the membership lease, so that
	// it ends before another VM can regard this one as gone.
	fence = member.DefaultLease - 500*time.Millisecond
	// settle is how long a new owner waits after a member has left. By then all
	// leases and loans of its predecessor have expired.
	settle = fence + quota.LoanTTL - member.DefaultLease + 500*time.Millisecond
)

// followView updates the view of this data centre's members.
func (r *Limiter) followView(now time.Time) {
	vms := slices.Sorted(slices.Values(r.opt.Board.Members.Read().ByDataCentre[r.opt.DataCentre]))
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	if lost(r.view.vms, vms) {
		r.view.changed = now
	}
	r.view.vms = vms
	r.forgetIdle(now)
}

// lost reports whether a VM of the old view is missing in the new one.
func lost(old, next []ident.VM) bool {
	return slices.ContainsFunc(old, func(vm ident.VM) bool { return !slices.Contains(next, vm) })
}

func (r *Limiter) forgetIdle(now time.Time) {
	for g, o := range r.owners {
		if !o.borrowing && o.core.Idle(now) && o.core.Full(now) && now.Sub(r.view.changed) > settle+o.core.FillTime() {
			delete(r.owners, g)
		}
	}
}

// mayOwn reports whether this VM is the owner of the grant in its own view of the
// membership and has recent contact with its relay.
func (r *Limiter) mayOwn(now time.Time, g ident.Grant) bool {
	if now.Sub(r.opt.Board.RelayContact.Read().At) > fence {
		return false
	}
	first, ok := rendez.First(ownerKey(g), r.opt.Board.Members.Read().ByDataCentre[r.opt.DataCentre])
	return ok && first == r.opt.VM
}

func (r *Limiter) lease(ctx context.Context, q wire.QuotaLeaseRequest) (wire.QuotaLeaseReply, error) {
	if !r.mayOwn(r.opt.Clock.Now(), q.Grant) || !r.takeOver(ctx, q.Grant) {
		return wire.QuotaLeaseReply{}, nil
	}
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	o := r.owners[q.Grant]
	if o == nil {
		return wire.QuotaLeaseReply{}, nil
	}
	r.adjust(q.Grant, o)
	now := r.opt.Clock.Now()
	l := o.core.Lease(now, q.VM, q.Want)
	if l.RetryAfterMs > 0 && q.Want.Immediate > 0 {
		r.borrowTokens(now, q.Grant, o)
	}
	return wire.QuotaLeaseReply{Owner: true, Lease: l}, nil
}

// adjust applies the configuration to an owned grant. The mutex must be held.
func (r *Limiter) adjust(g ident.Grant, o *owned) {
	spec, base := r.terms(g)
	o.core.Adjust(r.opt.Clock.Now(), spec.rate, spec.burst, base)
}

type terms struct {
	rate  ident.Rate
	burst ident.Burst
}

func (r *Limiter) terms(g ident.Grant) (terms, float64) {
	in := r.opt.Board.Config.Read().State.Intent
	spec := in.Grant(g)
	base := in.Share(r.opt.DataCentre)
	if home, single := in.GrantHome(g); single {
		base = 0
		if home == r.opt.DataCentre {
			base = 1
		}
	}
	return terms{rate: spec.Rate, burst: spec.Burst}, base
}

// takeOver makes this VM the owner of a grant, with the state of its predecessor
// if there is one. It reports false if the predecessor exists but does not respond.
func (r *Limiter) takeOver(ctx context.Context, g ident.Grant) bool {
	r.ownMu.Lock()
	_, have := r.owners[g]
	r.ownMu.Unlock()
	if have {
		return true
	}
	before, ok := r.askBefore(ctx, g)
	if !ok {
		return false
	}
	now := r.opt.Clock.Now()
	t, base := r.terms(g)
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	if r.owners[g] != nil {
		return true
	}
	if before != nil {
		r.owners[g] = &owned{core: quota.Resume(now, t.rate, t.burst, base, *before)}
		return true
	}
	r.owners[g] = &owned{core: quota.NewOwner(r.view.changed.Add(settle), t.rate, t.burst, base)}
	return true
}

// askBefore requests the state of the grant from its predecessor, which is the VM
// that would own the grant without this one. It reports false on failure.
func (r *Limiter) askBefore(ctx context.Context, g ident.Grant) (state *quota.State, ok bool) {
	members := r.opt.Board.Members.Read()
	order := rendez.Top(ownerKey(g), members.ByDataCentre[r.opt.DataCentre], 2)
	if len(order) < 2 {
		return nil, true
	}
	q := wire.QuotaYieldRequest{VM: r.opt.VM, Grant: g}
	reply, err := wire.Call[wire.QuotaYieldReply](ctx, r.opt.Pool, members.ByVM[order[1]].Addresses.Control, wire.MethodQuotaYield, q)
	return reply.State, err == nil
}

// yield gives up a grant and returns its state to the new owner.
func (r *Limiter) yield(_ context.Context, q wire.QuotaYieldRequest) (wire.QuotaYieldReply, error) {
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	o := r.owners[q.Grant]
	if o == nil {
		return wire.QuotaYieldReply{}, nil
	}
	delete(r.owners, q.Grant)
	s := o.core.Yield(r.opt.Clock.Now())
	return wire.QuotaYieldReply{State: &s}, nil
}

func (r *Limiter) lend(ctx context.Context, q wire.QuotaLendRequest) (wire.QuotaLendReply, error) {
	now := r.opt.Clock.Now()
	if !r.mayOwn(now, q.Grant) || !r.takeOver(ctx, q.Grant) {
		return wire.QuotaLendReply{}, nil
	}
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	o := r.owners[q.Grant]
	if o == nil {
		return wire.QuotaLendReply{}, nil
	}
	r.adjust(q.Grant, o)
	return wire.QuotaLendReply{Loan: o.core.Lend(r.opt.Clock.Now(), q.DataCentre, q.Want)}, nil
}
