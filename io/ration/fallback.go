package ration

import (
	"context"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/quota"
	"chicorymast/core/rendez"
	"chicorymast/io/wire"
)

// A grant that is too small to be divided has one owner in the fleet. While that one
// can't be reached, each data centre may spend its part of the slack that operators
// allow on top of the grant. One VM of the data centre, the fallback owner, holds the
// bucket for it, which is much smaller than that of the grant.

// fallbackOwner is a bucket of this data centre's part of the slack of one grant.
type fallbackOwner struct {
	quota  *quota.Owner
	usedAt time.Time
}

// fallbackLimits returns the rate and burst that a data centre may spend: a full bucket
// and what flows in during a window make up its part of the slack.
func (l *Limiter) fallbackLimits() grantLimits {
	rates := l.opt.Config().Rates
	centres := len(l.opt.Board.Config.Read().State.Intent.DataCentres)
	burst := rates.Slack / float64(max(1, centres)) / 2
	return grantLimits{rate: ident.Rate(burst / rates.SlackWindow.Seconds()), burst: ident.Burst(burst)}
}

// leaseFallback requests tokens for waiting calls from the fallback owner. It reports
// false if there are none.
func (l *Limiter) leaseFallback(ctx context.Context, q wire.QuotaLeaseRequest) (leaseAnswer, bool) {
	if l.fallbackLimits().burst < 1 || q.Want.Immediate < 1 {
		return leaseAnswer{}, false
	}
	q.Fallback = true
	q.Want = quota.LeaseRequest{Sequence: q.Want.Sequence, Immediate: 1}
	a := l.leaseFrom(ctx, l.opt.DataCentre, fallbackKey(q.Grant), q)
	return a, a.reply == quota.ReplyGranted
}

// serveFallback gives tokens of this data centre's part of the slack.
func (l *Limiter) serveFallback(q wire.QuotaLeaseRequest) wire.QuotaLeaseReply {
	now := l.opt.Clock.Now()
	if !l.mayOwn(now, fallbackKey(q.Grant)) {
		return wire.QuotaLeaseReply{}
	}
	limits := l.fallbackLimits()
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	o := l.fallbacks[q.Grant]
	if o == nil {
		// A former fallback owner may have spent a whole window's part just before.
		idleUntil := l.view.memberLeftAt.Add(l.opt.Config().Rates.SlackWindow)
		o = &fallbackOwner{quota: quota.NewOwner(idleUntil, limits.rate, limits.burst, 1)}
		l.fallbacks[q.Grant] = o
	}
	o.usedAt = now
	o.quota.Adjust(now, limits.rate, limits.burst, 1)
	return wire.QuotaLeaseReply{Owner: true, Lease: o.quota.Lease(now, q.VM, q.Want)}
}

// deleteIdleFallbacks deletes the buckets that have been full for a window, so that new
// ones would not hold more. The mutex must be held.
func (l *Limiter) deleteIdleFallbacks(now time.Time) {
	for g, o := range l.fallbacks {
		if now.Sub(o.usedAt) > 2*l.opt.Config().Rates.SlackWindow && o.quota.Full(now) {
			delete(l.fallbacks, g)
		}
	}
}

// fallbackKey is the rendezvous key of a grant's fallback owner, which differs from that
// of its owner, so that the loss of one VM rarely takes both.
func fallbackKey(g ident.Grant) string {
	return "fallback/" + string(g)
}

// first returns the first VM of a data centre for a rendezvous key.
func (l *Limiter) first(key string, dc ident.DataCentre) (ident.VM, bool) {
	return rendez.First(key, l.opt.Board.Members.Read().ByDataCentre[dc])
}
