package inflow

import (
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/meter"
)

// Profiles is what the daemon beside an upstream learns of the routes that run
// there: how long a run holds a slot, and which calls it makes.
type Profiles struct {
	routes map[ident.Route]*profile
}

type profile struct {
	runs  meter.Meter
	held  meter.Meter
	calls map[ident.Route]*meter.Meter
}

// NewProfiles returns profiles without a run.
func NewProfiles() *Profiles {
	return &Profiles{routes: map[ident.Route]*profile{}}
}

func (p *Profiles) route(r ident.Route) *profile {
	have := p.routes[r]
	if have == nil {
		have = &profile{runs: meter.New(profileMemory), held: meter.New(profileMemory), calls: map[ident.Route]*meter.Meter{}}
		p.routes[r] = have
	}
	return have
}

// RecordRun notes a run that held a slot for a time.
func (p *Profiles) RecordRun(now time.Time, r ident.Route, held time.Duration) {
	have := p.route(r)
	have.runs.Add(now, 1)
	have.held.Add(now, held.Seconds())
}

// RecordCall notes a call that a run of a route made to another service.
func (p *Profiles) RecordCall(now time.Time, r, child ident.Route) {
	meter.GetOrCreate(p.route(r).calls, child, profileMemory).Add(now, 1)
}

// Costs returns what one call of a route needs, of the upstream's own service
// and of what its calls need, as far as anything is to be refused there.
func (p *Profiles) Costs(now time.Time, r ident.Route, service ident.Service, refuse float64, tree *Shedder) []ServiceCost {
	have := p.routes[r]
	if have == nil {
		return nil
	}
	runs := max(1, have.runs.Sum(now))
	sum := map[ident.Service]ServiceCost{}
	if refuse >= refuseLeast {
		sum[service] = ServiceCost{Service: service, SlotSeconds: have.held.Sum(now) / runs, RefuseShare: refuse}
	}
	for child, calls := range have.calls {
		for _, n := range tree.Costs(now, child) {
			merge(sum, n, calls.Sum(now)/runs)
		}
	}
	out := make([]ServiceCost, 0, len(sum))
	for _, n := range sum {
		out = append(out, n)
	}
	return out
}

// merge adds what some calls of a child need.
func merge(sum map[ident.Service]ServiceCost, n ServiceCost, calls float64) {
	have := sum[n.Service]
	have.Service = n.Service
	have.SlotSeconds += calls * n.SlotSeconds
	have.RefuseShare = max(have.RefuseShare, n.RefuseShare)
	sum[n.Service] = have
}
