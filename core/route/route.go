// Package route balances the calls to a service over the VMs that serve it.
//
// # Usage
//
//	b := route.New(home, rng)
//	b.Update(now, candidates)           // from the directory
//	vm, ok := b.Pick(now, level, tried) // counts the call as outstanding
//	b.Done(now, vm, route.Report{...})  // from the response
//
// Of two candidates drawn at random, the balancer picks the less loaded one. The
// load of a VM is what its last response reported, but at least the number of
// outstanding calls to it. An upstream that takes a limited rate of calls is loaded by
// the part of the rate that is in use, and gets few calls beyond it while another has
// room. VMs of the own data centre are preferred until they are nearly full. A newly
// announced VM starts slowly, with a rising share of the calls, unless its daemon reports a
// ramp: its limit then shows how many calls the upstream bears. A failing VM is ejected
// for a while, but never more than half of all VMs at once. A Balancer is not safe for
// concurrent use.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/core/notice"
)

// Candidate is a VM that serves the service.
type Candidate struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Address    string
	Slots      int
	// Process is the process of the upstream there.
	Process notice.Process
}

// Outcome is how a call to a VM ended, as an indication of the VM's health.
type Outcome string

// The outcomes of calls.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeRefused  Outcome = "refused"
	OutcomeFailed   Outcome = "failed"
)

// Report is what a finished call shows about its VM. Load is nil if the
// response did not report it.
type Report struct {
	Outcome Outcome
	Load    *admit.Load
}

const (
	slowStartTime = 5 * time.Second
	// slowStartFloor is the relative capacity that a new VM starts with.
	slowStartFloor = 0.1
	// ejectAfterFailures is the number of consecutive failures that eject a VM.
	ejectAfterFailures = 3
	minEjectTime       = time.Second
	maxEjectTime       = 30 * time.Second
	// maxEjectedShare is the largest share of VMs that may be ejected at once.
	maxEjectedShare = 0.5
	// maxPreferredLoad is the load per slot up to which the own data centre is
	// preferred. It is below the utilisation at which admission controllers ask
	// entries to refuse calls, so that calls go elsewhere before any is refused.
	maxPreferredLoad = 0.85
	// loadTTL is how long a reported load is used.
	loadTTL = time.Second
)

// peer is the state of one candidate.
type peer struct {
	Candidate
	// addedAt is when the VM became a candidate. For the candidates of the first
	// update it is before that, so that they have no slow start.
	addedAt      time.Time
	outstanding  int
	reported     admit.Load
	reportedAt   time.Time
	rate         rateShare
	failures     int
	ejections    int
	ejectedUntil time.Time
	// probing is set while a call tests whether a failing VM has recovered.
	probing bool
}

// Balancer picks VMs of one service for calls.
type Balancer struct {
	home  ident.DataCentre
	rng   *rand.Rand
	peers map[ident.VM]*peer
	// order lists the peers in the order of the latest update.
	order     []*peer
	lastSpill Spill
	// firstUpdate is the time of the first update with candidates.
	firstUpdate time.Time
}

// Spill explains why a call was placed outside the own data centre though a VM there
// could have taken it. LocalVM is empty if the call was not.
type Spill struct {
	LocalVM        ident.VM
	LocalLoad      float64
	LocalReportAge time.Duration
	Load           float64
}

// Status is the state of one candidate.
type Status struct {
	VM          ident.VM
	Outstanding int
	Reported    admit.Load
	// ReportAge is below zero if there was no report.
	ReportAge time.Duration
	// EjectedFor is the time for which the VM still gets no calls.
	EjectedFor time.Duration
}

// New returns a balancer without candidates for a daemon in the data centre home.
func New(home ident.DataCentre, rng *rand.Rand) *Balancer {
	return &Balancer{home: home, rng: rng, peers: map[ident.VM]*peer{}}
}

// Update replaces the candidates and keeps the state of those that remain. The
// candidates of the first update start without a slow start.
func (b *Balancer) Update(now time.Time, candidates []Candidate) {
	first := b.firstUpdate.IsZero() && len(candidates) > 0
	if first {
		b.firstUpdate = now
	}
	peers := make(map[ident.VM]*peer, len(candidates))
	order := make([]*peer, 0, len(candidates))
	for _, c := range candidates {
		p := b.peers[c.VM]
		if p == nil {
			p = &peer{addedAt: now}
			if first {
				p.addedAt = now.Add(-slowStartTime)
			}
		}
		p.Candidate = c
		peers[c.VM] = p
		order = append(order, p)
	}
	b.peers, b.order = peers, order
}

// Pick returns a VM for a call at an admission priority level, except those
// already tried. If all others are ejected, it returns one of these.
func (b *Balancer) Pick(now time.Time, level int, tried map[ident.VM]bool) (Candidate, bool) {
	return b.PickAvoiding(now, level, tried, nil)
}

// PickAvoiding is Pick without the VMs of some data centres.
func (b *Balancer) PickAvoiding(now time.Time, level int, tried map[ident.VM]bool, blocked map[ident.DataCentre]bool) (Candidate, bool) {
	return b.PickIn(now, level, tried, blocked, "")
}

// PickIn is PickAvoiding with another data centre preferred than the own one. Empty stands
// for the own one.
func (b *Balancer) PickIn(
	now time.Time, level int, tried map[ident.VM]bool, blocked map[ident.DataCentre]bool, preferred ident.DataCentre,
) (Candidate, bool) {
	if preferred == "" {
		preferred = b.home
	}
	untried := slices.DeleteFunc(b.untried(tried), func(p *peer) bool { return blocked[p.DataCentre] })
	usable := usablePeers(now, untried)
	if len(usable) == 0 {
		usable = untried
	}
	if len(usable) == 0 {
		return Candidate{}, false
	}
	b.lastSpill = Spill{}
	p := b.choose(now, level, usable, preferred)
	p.outstanding++
	if p.failures >= ejectAfterFailures {
		p.probing = true
	}
	return p.Candidate, true
}

// LastSpill explains the placement of the last picked call.
func (b *Balancer) LastSpill() Spill {
	return b.lastSpill
}

// Status returns the state of all candidates.
func (b *Balancer) Status(now time.Time) []Status {
	out := make([]Status, 0, len(b.order))
	for _, p := range b.order {
		out = append(out, Status{
			VM: p.VM, Outstanding: p.outstanding, Reported: p.reported, ReportAge: p.reportAge(now),
			EjectedFor: max(0, p.ejectedUntil.Sub(now)),
		})
	}
	return out
}

// noReport is the age of a report that a VM has not made.
const noReport = -time.Millisecond

// reportAge returns the age of the last reported load.
func (p *peer) reportAge(now time.Time) time.Duration {
	if p.reportedAt.IsZero() {
		return noReport
	}
	return now.Sub(p.reportedAt)
}

// Done records the result of a call to a VM. It returns for how long the VM is
// ejected because of it, zero if it is not.
func (b *Balancer) Done(now time.Time, vm ident.VM, r Report) (ejected time.Duration) {
	p := b.peers[vm]
	if p == nil {
		return 0
	}
	p.outstanding = max(0, p.outstanding-1)
	p.probing = false
	if r.Load != nil {
		p.rate.observe(now, *r.Load)
		p.reported, p.reportedAt = *r.Load, now
	}
	if r.Outcome != OutcomeFailed {
		p.failures, p.ejections = 0, 0
		return 0
	}
	p.failures++
	if p.failures < ejectAfterFailures {
		return 0
	}
	return b.eject(now, p)
}

// eject ejects a VM, unless too many are ejected already. The time doubles with
// each ejection in a row.
func (b *Balancer) eject(now time.Time, p *peer) time.Duration {
	ejected := 0
	for _, other := range b.order {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(b.order)) {
		return 0
	}
	ejectTime := min(minEjectTime<<min(p.ejections, 5), maxEjectTime)
	p.ejectedUntil = now.Add(ejectTime)
	p.ejections++
	return ejectTime
}

// usablePeers returns the peers that are neither ejected nor being tested.
func usablePeers(now time.Time, peers []*peer) []*peer {
	usable := make([]*peer, 0, len(peers))
	for _, p := range peers {
		if !now.Before(p.ejectedUntil) && !p.probing {
			usable = append(usable, p)
		}
	}
	return usable
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

// choose prefers one data centre as long as the better of two VMs drawn there is not
// nearly full.
func (b *Balancer) choose(now time.Time, level int, usable []*peer, preferred ident.DataCentre) *peer {
	usable = b.belowLimit(now, level, usable)
	local, remote := splitByLocality(usable, preferred)
	if len(local) == 0 {
		return b.betterOfTwo(now, level, remote)
	}
	p := b.betterOfTwo(now, level, local)
	if p.hasRoom(now, level) || len(remote) == 0 {
		return p
	}
	q := b.betterOfTwo(now, level, remote)
	if q.shedding(now, level) || q.score(now) >= p.score(now) {
		return p
	}
	if preferred != b.home {
		return q
	}
	b.lastSpill = Spill{LocalVM: p.VM, LocalLoad: p.score(now), LocalReportAge: p.reportAge(now), Load: q.score(now)}
	return q
}

// belowLimit leaves out limited peers for the share of calls that is too much for them,
// as long as another has room.
func (b *Balancer) belowLimit(now time.Time, level int, usable []*peer) []*peer {
	if !slices.ContainsFunc(usable, func(p *peer) bool { return p.rate.limited }) {
		return usable
	}
	below := make([]*peer, 0, len(usable))
	room := false
	for _, p := range usable {
		if share := p.rate.share(now); share >= 1 || b.rng.Float64() < share {
			below = append(below, p)
			room = room || p.hasRoom(now, level)
		}
	}
	if !room {
		return usable
	}
	return below
}

// hasRoom reports whether the VM is known to take calls of a priority level.
func (p *peer) hasRoom(now time.Time, level int) bool {
	return p.score(now) < maxPreferredLoad && !p.shedding(now, level)
}

// RoomElsewhere reports whether calls of a priority level that are too many for a VM can go
// to another: its upstream takes a limited rate or has just started, and another VM is known
// to have room.
func (b *Balancer) RoomElsewhere(now time.Time, level int, vm ident.VM) bool {
	if p := b.peers[vm]; p == nil || !(p.rate.limited || p.reported.Ramp) {
		return false
	}
	for _, p := range b.order {
		if p.VM != vm && !now.Before(p.ejectedUntil) && p.hasRoom(now, level) {
			return true
		}
	}
	return false
}

func splitByLocality(usable []*peer, preferred ident.DataCentre) (local, remote []*peer) {
	for _, p := range usable {
		if p.DataCentre == preferred {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return local, remote
}

// betterOfTwo draws two of the peers at random and returns the one that is not
// shedding calls of the level, or else the less loaded one.
func (b *Balancer) betterOfTwo(now time.Time, level int, peers []*peer) *peer {
	i := b.rng.IntN(len(peers))
	p, q := peers[i], peers[i]
	if len(peers) > 1 {
		q = peers[(i+1+b.rng.IntN(len(peers)-1))%len(peers)]
	}
	if p.shedding(now, level) != q.shedding(now, level) {
		if p.shedding(now, level) {
			return q
		}
		return p
	}
	if q.score(now) < p.score(now) {
		return q
	}
	return p
}

// score returns the load per slot; 1 and above means full.
func (p *peer) score(now time.Time) float64 {
	capacity := float64(max(1, p.Slots))
	inFlight := float64(p.outstanding)
	rateUse := 0.0
	if p.reported.Ramp {
		capacity = float64(max(1, p.reported.Limit))
	}
	if now.Sub(p.reportedAt) < loadTTL {
		rateUse = p.reported.RateUse
		capacity = float64(max(1, p.reported.Limit))
		inFlight = max(inFlight, float64(p.reported.Running+p.reported.Waiting))
	}
	return max((inFlight+1)/(capacity*p.slowStartFactor(now)), rateUse)
}

// slowStartFactor returns the part of its capacity that a VM is used at, which
// rises to 1 during the slow start. A VM whose daemon reports a ramp needs none.
func (p *peer) slowStartFactor(now time.Time) float64 {
	age := now.Sub(p.addedAt)
	if age >= slowStartTime || p.reported.Ramp {
		return 1
	}
	return max(slowStartFloor, age.Seconds()/slowStartTime.Seconds())
}

// shedding reports whether the VM would refuse a call at a priority level,
// according to its last report.
func (p *peer) shedding(now time.Time, level int) bool {
	return now.Sub(p.reportedAt) < shedLevelTTL && level >= p.reported.ShedLevel
}

// shedLevelTTL is how long a reported shed level is used.
const shedLevelTTL = 200 * time.Millisecond
