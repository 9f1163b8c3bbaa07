// Package route chooses the VM for a call among those that serve a service.
//
// # Usage
//
//	b := route.New(home, rng)
//	b.Update(now, candidates)              // from the directory
//	vm, ok := b.Pick(now, lane, tried)     // counts the call as outstanding
//	b.Done(now, vm, route.Report{...})     // what the answer said
//
// Of two candidates drawn at random the less loaded one is taken. Load is
// what the VM's last answer said plus what was sent since. VMs of the own
// data centre come first until they are full. A VM that was just announced
// gets a rising share; one that fails is left alone for a while, but never
// more than half of all at once. A Balancer is not safe for concurrent use.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"
)

// Candidate is a VM that serves the service.
type Candidate struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Address    string
	Slots      int
}

// Outcome is how a call to a VM ended, as far as the VM's health goes.
type Outcome string

// The outcomes of calls.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeRefused  Outcome = "refused"
	OutcomeFailed   Outcome = "failed"
)

// Report is what a finished call tells about its VM.
type Report struct {
	Outcome Outcome
	Load    *admit.Load
}

const (
	slowStart = 5 * time.Second
	// slowStartFloor is the share that a VM gets when it has just come.
	slowStartFloor = 0.1
	// failuresToEject in a row put a VM aside.
	failuresToEject = 3
	ejectFirst      = time.Second
	ejectLongest    = 30 * time.Second
	// ejectShare is the largest share of VMs put aside at once.
	ejectShare = 0.5
	// loadMemory is how long a reported load counts.
	loadMemory = time.Second
)

type peer struct {
	Candidate
	since       time.Time
	outstanding int
	reported    admit.Load
	reportedAt  time.Time
	failures    int
	ejections   int
	aside       time.Time
	probing     bool
}

// Balancer chooses among the VMs of one service.
type Balancer struct {
	home  ident.DataCentre
	rng   *rand.Rand
	peers map[ident.VM]*peer
	order []*peer
	began time.Time
}

// New returns a balancer without candidates for a daemon in a data centre.
func New(home ident.DataCentre, rng *rand.Rand) *Balancer {
	return &Balancer{home: home, rng: rng, peers: map[ident.VM]*peer{}}
}

// Update replaces the candidates and keeps what is known of those that stay.
func (b *Balancer) Update(now time.Time, candidates []Candidate) {
	first := b.began.IsZero() && len(candidates) > 0
	if first {
		b.began = now
	}
	next := make(map[ident.VM]*peer, len(candidates))
	order := make([]*peer, 0, len(candidates))
	for _, c := range candidates {
		p := b.peers[c.VM]
		if p == nil {
			p = &peer{since: now}
			if first {
				p.since = now.Add(-slowStart)
			}
		}
		p.Candidate = c
		next[c.VM] = p
		order = append(order, p)
	}
	b.peers, b.order = next, order
}

// Pick takes a VM for a call of an admission lane, leaving out those tried. When
// all others are set aside, one of these is better than none.
func (b *Balancer) Pick(now time.Time, lane int, tried map[ident.VM]bool) (Candidate, bool) {
	usable := b.usable(now, tried)
	if len(usable) == 0 {
		usable = b.untried(tried)
	}
	if len(usable) == 0 {
		return Candidate{}, false
	}
	p := b.choose(now, lane, usable)
	p.outstanding++
	if p.failures >= failuresToEject {
		p.probing = true
	}
	return p.Candidate, true
}

// Done takes a call's result.
func (b *Balancer) Done(now time.Time, vm ident.VM, r Report) {
	p := b.peers[vm]
	if p == nil {
		return
	}
	p.outstanding = max(0, p.outstanding-1)
	p.probing = false
	if r.Load != nil {
		p.reported, p.reportedAt = *r.Load, now
	}
	if r.Outcome != OutcomeFailed {
		p.failures, p.ejections = 0, 0
		return
	}
	p.failures++
	if p.failures >= failuresToEject {
		b.eject(now, p)
	}
}

func (b *Balancer) eject(now time.Time, p *peer) {
	aside := 0
	for _, other := range b.order {
		if now.Before(other.aside) {
			aside++
		}
	}
	if float64(aside+1) > ejectShare*float64(len(b.order)) {
		return
	}
	period := ejectFirst << min(p.ejections, 5)
	p.aside = now.Add(min(period, ejectLongest))
	p.ejections++
}

func (b *Balancer) usable(now time.Time, tried map[ident.VM]bool) []*peer {
	return slices.DeleteFunc(b.untried(tried), func(p *peer) bool { return now.Before(p.aside) || p.probing })
}

func (b *Balancer) untried(tried map[ident.VM]bool) []*peer {
	untried := make([]*peer, 0, len(b.order))
	for _, p := range b.order {
		if !tried[p.VM] {
			untried = append(untried, p)
		}
	}
	return untried
}

// choose prefers the own data centre while one of its two drawn VMs has room.
func (b *Balancer) choose(now time.Time, lane int, usable []*peer) *peer {
	near, far := b.split(usable)
	if len(near) == 0 {
		return b.better(now, lane, far)
	}
	p := b.better(now, lane, near)
	full := p.score(now) >= 1 || p.shedding(now, lane)
	if !full || len(far) == 0 {
		return p
	}
	q := b.better(now, lane, far)
	if q.shedding(now, lane) || q.score(now) >= p.score(now) {
		return p
	}
	return q
}

func (b *Balancer) split(usable []*peer) (near, far []*peer) {
	for _, p := range usable {
		if p.DataCentre == b.home {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

func (b *Balancer) better(now time.Time, lane int, among []*peer) *peer {
	i := b.rng.IntN(len(among))
	p, q := among[i], among[i]
	if len(among) > 1 {
		q = among[(i+1+b.rng.IntN(len(among)-1))%len(among)]
	}
	if p.shedding(now, lane) != q.shedding(now, lane) {
		if p.shedding(now, lane) {
			return q
		}
		return p
	}
	if q.score(now) < p.score(now) {
		return q
	}
	return p
}

// score is the load per slot; 1 and above means full.
func (p *peer) score(now time.Time) float64 {
	capacity := float64(max(1, p.Slots))
	inFlight := float64(p.outstanding)
	if now.Sub(p.reportedAt) < loadMemory {
		capacity = float64(max(1, p.reported.Limit))
		inFlight = max(inFlight, float64(p.reported.Running+p.reported.Waiting))
	}
	return (inFlight + 1) / (capacity * p.warmth(now))
}

func (p *peer) warmth(now time.Time) float64 {
	age := now.Sub(p.since)
	if age >= slowStart {
		return 1
	}
	return max(slowStartFloor, age.Seconds()/slowStart.Seconds())
}

func (p *peer) shedding(now time.Time, lane int) bool {
	return now.Sub(p.reportedAt) < shedBelief && lane >= p.reported.ShedLevel
}

// shedBelief is how long a reported admission level keeps work away.
const shedBelief = 200 * time.Millisecond
