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

// ownedGrant is a grant that this VM owns in its data centre.
type ownedGrant struct {
	quota *quota.Owner
	// borrowing is set while a loan is requested from other data centres.
	borrowing bool
	// tokensRequestedAt is when tokens were last requested from other data centres.
	tokensRequestedAt time.Time
}

// view holds the members of this data centre and when one last left, which is the
// start of the limiter at first.
type view struct {
	vms          []ident.VM
	memberLeftAt time.Time
}

const (
	// contactTimeout is how long an owner still gives out tokens after it has
	// lost contact with its relay. It is shorter than the membership lease, so
	// that it ends before another VM can regard this one as gone.
	contactTimeout = member.DefaultLease - 500*time.Millisecond
	// takeoverDelay is how long a new owner waits after a member has left. By
	// then all leases and loans of its predecessor have expired.
	takeoverDelay = contactTimeout + quota.LoanTTL - member.DefaultLease + 500*time.Millisecond
)

// updateView updates the view of this data centre's members.
func (l *Limiter) updateView(now time.Time) {
	vms := slices.Sorted(slices.Values(l.opt.Board.Members.Read().ByDataCentre[l.opt.DataCentre]))
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	if memberLeft(l.view.vms, vms) {
		l.view.memberLeftAt = now
	}
	l.view.vms = vms
	l.deleteIdle(now)
	l.deleteIdleFallbacks(now)
}

// memberLeft reports whether a VM of the old view is missing in the new one.
func memberLeft(old, next []ident.VM) bool {
	return slices.ContainsFunc(old, func(vm ident.VM) bool { return !slices.Contains(next, vm) })
}

// deleteIdle deletes owned grants without recent demand, loans or leases once their
// bucket is full and that of a new owner would be full as well. The mutex must be
// held.
func (l *Limiter) deleteIdle(now time.Time) {
	for g, o := range l.owners {
		if !o.borrowing && o.quota.Idle(now) && o.quota.Full(now) && now.Sub(l.view.memberLeftAt) > takeoverDelay+o.quota.FillTime() {
			delete(l.owners, g)
		}
	}
}

// mayOwn reports whether this VM is the first one for a rendezvous key in its own view
// of the membership and has recent contact with its relay.
func (l *Limiter) mayOwn(now time.Time, key string) bool {
	if now.Sub(l.opt.Board.RelayContact.Read().At) > contactTimeout {
		return false
	}
	first, ok := l.first(key, l.opt.DataCentre)
	return ok && first == l.opt.VM
}

func (l *Limiter) serveLease(ctx context.Context, q wire.QuotaLeaseRequest) (wire.QuotaLeaseReply, error) {
	if q.Fallback {
		return l.serveFallback(q), nil
	}
	if !l.mayOwn(l.opt.Clock.Now(), ownerKey(q.Grant)) || !l.takeOver(ctx, q.Grant) {
		return wire.QuotaLeaseReply{}, nil
	}
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	o := l.owners[q.Grant]
	if o == nil {
		return wire.QuotaLeaseReply{}, nil
	}
	l.applyConfig(q.Grant, o)
	now := l.opt.Clock.Now()
	lease := o.quota.Lease(now, q.VM, q.Want)
	if lease.RetryAfterMs > 0 && q.Want.Immediate > 0 {
		l.borrowTokens(now, q.Grant, o)
	}
	return wire.QuotaLeaseReply{Owner: true, Lease: lease}, nil
}

// applyConfig applies the configuration to an owned grant. The mutex must be held.
func (l *Limiter) applyConfig(g ident.Grant, o *ownedGrant) {
	limits, baseShare := l.limits(g)
	o.quota.Adjust(l.opt.Clock.Now(), limits.rate, limits.burst, baseShare)
}

type grantLimits struct {
	rate  ident.Rate
	burst ident.Burst
}

// limits returns the limits of a grant and the share of its rate that this data
// centre has without loans.
func (l *Limiter) limits(g ident.Grant) (grantLimits, float64) {
	intent := l.opt.Board.Config.Read().State.Intent
	spec := intent.Grant(g)
	baseShare := intent.Share(l.opt.DataCentre)
	if home, single := intent.GrantHome(g); single {
		baseShare = 0
		if home == l.opt.DataCentre {
			baseShare = 1
		}
	}
	return grantLimits{rate: spec.Rate, burst: spec.Burst}, baseShare
}

// takeOver makes this VM the owner of a grant, with the state of its predecessor
// if there is one. It reports false if the predecessor exists but does not respond.
func (l *Limiter) takeOver(ctx context.Context, g ident.Grant) bool {
	l.ownersMu.Lock()
	_, exists := l.owners[g]
	l.ownersMu.Unlock()
	if exists {
		return true
	}
	state, ok := l.predecessorState(ctx, g)
	if !ok {
		return false
	}
	now := l.opt.Clock.Now()
	limits, baseShare := l.limits(g)
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	if l.owners[g] != nil {
		return true
	}
	if state != nil {
		l.owners[g] = &ownedGrant{quota: quota.Resume(now, limits.rate, limits.burst, baseShare, *state)}
		return true
	}
	l.owners[g] = &ownedGrant{quota: quota.NewOwner(l.view.memberLeftAt.Add(takeoverDelay), limits.rate, limits.burst, baseShare)}
	return true
}

// predecessorState requests the state of the grant from its predecessor, which is
// the VM that would own the grant without this one. It reports false on failure.
func (l *Limiter) predecessorState(ctx context.Context, g ident.Grant) (state *quota.State, ok bool) {
	members := l.opt.Board.Members.Read()
	vms := rendez.Top(ownerKey(g), members.ByDataCentre[l.opt.DataCentre], 2)
	if len(vms) < 2 {
		return nil, true
	}
	q := wire.QuotaYieldRequest{VM: l.opt.VM, Grant: g}
	reply, err := wire.Call[wire.QuotaYieldReply](ctx, l.opt.Pool, members.ByVM[vms[1]].Addresses.Control, wire.MethodQuotaYield, q)
	return reply.State, err == nil
}

// serveYield gives up a grant and returns its state to the new owner.
func (l *Limiter) serveYield(_ context.Context, q wire.QuotaYieldRequest) (wire.QuotaYieldReply, error) {
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	o := l.owners[q.Grant]
	if o == nil {
		return wire.QuotaYieldReply{}, nil
	}
	delete(l.owners, q.Grant)
	state := o.quota.Yield(l.opt.Clock.Now())
	return wire.QuotaYieldReply{State: &state}, nil
}

func (l *Limiter) serveLend(ctx context.Context, q wire.QuotaLendRequest) (wire.QuotaLendReply, error) {
	now := l.opt.Clock.Now()
	if !l.mayOwn(now, ownerKey(q.Grant)) || !l.takeOver(ctx, q.Grant) {
		return wire.QuotaLendReply{}, nil
	}
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	o := l.owners[q.Grant]
	if o == nil {
		return wire.QuotaLendReply{}, nil
	}
	l.applyConfig(q.Grant, o)
	return wire.QuotaLendReply{Loan: o.quota.Lend(l.opt.Clock.Now(), q.DataCentre, q.Want)}, nil
}
