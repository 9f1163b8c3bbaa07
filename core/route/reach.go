package route

import (
	"time"

	"chicorymast/core/ident"
)

// Reach tells which other data centres a daemon can't reach at present, from the calls
// of all services: that a whole data centre is silent is one fact, and not for each
// call to find out by its own timeout.
//
// # Usage
//
//	r := route.NewReach(home)
//	r.Silent(now, dc, vm)        // a VM sends nothing for a call
//	r.Answered(dc)               // any sign of life
//	blocked := r.Blocked(now)    // for Balancer.PickAvoiding
//	r.StartProbe(now, dc)        // a call was placed there
//
// A data centre counts as unreachable when several calls to more than one of its VMs
// got no sign of life and no other call got any. After a while one call tries it again.
// The own data centre is always reachable. The load that this answers: a data centre
// that is cut off, from both sides of the cut. A Reach is not safe for concurrent use.
type Reach struct {
	home    ident.DataCentre
	centres map[ident.DataCentre]*centre
}

// centre holds what is known against a data centre since its last sign of life.
type centre struct {
	silent  map[ident.VM]bool
	reports int
	// blockedUntil is when a call may try the data centre again; zero if it is not
	// considered unreachable.
	blockedUntil time.Time
	// probing is set while a call tries it, and attempts counts these calls.
	probing  bool
	attempts int
}

const (
	// minSilentReports and minSilentVMs are how many silent calls, and VMs, make a data
	// centre unreachable; a single one may have its own trouble.
	minSilentReports = 3
	minSilentVMs     = 2
	// minBlockTime is how long an unreachable data centre gets no calls at first; the
	// time doubles up to maxBlockTime.
	minBlockTime = 500 * time.Millisecond
	maxBlockTime = 2 * time.Second
	// probeTime is how long the call that tries a data centre again keeps others from
	// it. It is longer than a VM may be silent.
	probeTime = time.Second
)

// NewReach returns a Reach of a daemon in the data centre home.
func NewReach(home ident.DataCentre) *Reach {
	return &Reach{home: home, centres: map[ident.DataCentre]*centre{}}
}

// Silent records that a VM has sent nothing for a call for some time. It reports
// whether its data centre counts as unreachable because of it.
func (r *Reach) Silent(now time.Time, dc ident.DataCentre, vm ident.VM) (blocked bool) {
	if dc == r.home {
		return false
	}
	c := r.centres[dc]
	if c == nil {
		c = &centre{silent: map[ident.VM]bool{}}
		r.centres[dc] = c
	}
	c.silent[vm] = true
	c.reports++
	suspected := c.reports >= minSilentReports && len(c.silent) >= minSilentVMs
	if !suspected || (!c.blockedUntil.IsZero() && !c.probing) {
		return false
	}
	c.probing = false
	c.blockedUntil = now.Add(min(minBlockTime<<min(c.attempts, 8), maxBlockTime))
	return true
}

// Answered records a sign of life from a data centre.
func (r *Reach) Answered(dc ident.DataCentre) {
	delete(r.centres, dc)
}

// Blocked returns the data centres that should get no calls now, nil for none.
func (r *Reach) Blocked(now time.Time) (blocked map[ident.DataCentre]bool) {
	for dc, c := range r.centres {
		if now.Before(c.blockedUntil) {
			if blocked == nil {
				blocked = map[ident.DataCentre]bool{}
			}
			blocked[dc] = true
		}
	}
	return blocked
}

// Suspects reports whether anything is known against any data centre.
func (r *Reach) Suspects() bool {
	return len(r.centres) > 0
}

// StartProbe records that a call was placed in a data centre. If that one was
// unreachable, no other call tries it until this one has had its time.
func (r *Reach) StartProbe(now time.Time, dc ident.DataCentre) {
	c := r.centres[dc]
	if c == nil || c.blockedUntil.IsZero() {
		return
	}
	c.attempts++
	c.probing, c.blockedUntil = true, now.Add(probeTime)
}
