package inflow

import (
	"math"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/meter"
)

// Profiles measures the routes that run on the upstream of one VM: how long a
// run holds a slot, and which calls it makes.
type Profiles struct {
	routes map[ident.Route]*profile
}

type profile struct {
	runs     meter.Meter
	holdTime meter.Meter
	calls    map[ident.Route]*meter.Meter
}

// NewProfiles returns empty profiles.
func NewProfiles() *Profiles {
	return &Profiles{routes: map[ident.Route]*profile{}}
}

func (p *Profiles) route(r ident.Route) *profile {
	prof := p.routes[r]
	if prof == nil {
		prof = &profile{runs: meter.New(profileWindow), holdTime: meter.New(profileWindow), calls: map[ident.Route]*meter.Meter{}}
		p.routes[r] = prof
	}
	return prof
}

// RecordRun records a finished run that held a slot for holdTime.
func (p *Profiles) RecordRun(now time.Time, r ident.Route, holdTime time.Duration) {
	prof := p.route(r)
	prof.runs.Add(now, 1)
	prof.holdTime.Add(now, holdTime.Seconds())
}

// RecordCall records a call to a child route that a run of route r made.
func (p *Profiles) RecordCall(now time.Time, r, child ident.Route) {
	meter.GetOrCreate(p.route(r).calls, child, profileWindow).Add(now, 1)
}

// MakesCalls reports whether the runs of a route make nested calls.
func (p *Profiles) MakesCalls(now time.Time, r ident.Route) bool {
	prof := p.routes[r]
	if prof == nil {
		return false
	}
	runs := max(1, prof.runs.Sum(now))
	for _, calls := range prof.calls {
		if calls.Sum(now)/runs >= minCallsPerRun {
			return true
		}
	}
	return false
}

// CallsPerRun returns the mean number of nested calls of a run of a route.
func (p *Profiles) CallsPerRun(now time.Time, r ident.Route) (n float64) {
	prof := p.routes[r]
	if prof == nil {
		return 0
	}
	runs := max(1, prof.runs.Sum(now))
	for _, calls := range prof.calls {
		n += calls.Sum(now) / runs
	}
	return n
}

// Costs returns what one call of a route costs at the upstream's own service,
// where share is the share to refuse, and at the services of its nested calls,
// whose costs children holds. Services with nothing to refuse are left out.
func (p *Profiles) Costs(now time.Time, r ident.Route, svc ident.Service, share float64, children *Shedder) []ServiceCost {
	prof := p.routes[r]
	if prof == nil {
		return nil
	}
	runs := max(1, prof.runs.Sum(now))
	sum := map[ident.Service]ServiceCost{}
	if share >= minRefuseShare {
		sum[svc] = ServiceCost{Service: svc, SlotSeconds: prof.holdTime.Sum(now) / runs, RefuseShare: share}
	}
	for child, calls := range prof.calls {
		for _, c := range children.Costs(now, child) {
			addChildCost(sum, c, calls.Sum(now)/runs)
		}
	}
	out := make([]ServiceCost, 0, len(sum))
	for _, c := range sum {
		out = append(out, c)
	}
	return out
}

// Acceptances returns how many calls a call of a route needs at the upstream's own service,
// which accepts a share of its calls, and at the services of its nested calls, of which
// children knows. Services that accept all calls are left out.
func (p *Profiles) Acceptances(now time.Time, r ident.Route, svc ident.Service, accepted float64, children *Completion) (list []Acceptance) {
	if 1-accepted >= minRefuseShare {
		list = append(list, Acceptance{Service: svc, Calls: 1, Share: accepted})
	}
	prof := p.routes[r]
	if prof == nil {
		return list
	}
	runs := max(1, prof.runs.Sum(now))
	for child, calls := range prof.calls {
		for _, a := range children.Acceptances(now, child) {
			a.Calls *= calls.Sum(now) / runs
			list = addAcceptance(list, a)
		}
	}
	sortAcceptances(list)
	for i := range list {
		list[i].Calls, list[i].Share = shorten(list[i].Calls), shorten(list[i].Share)
	}
	return list
}

// shorten rounds a number to three decimals, which keeps it short in a header.
func shorten(n float64) float64 {
	const scale = 1000
	return math.Ceil(n*scale) / scale
}

func addAcceptance(list []Acceptance, a Acceptance) []Acceptance {
	for i := range list {
		if list[i].Service == a.Service {
			list[i].Calls += a.Calls
			list[i].Share = min(list[i].Share, a.Share)
			return list
		}
	}
	return append(list, a)
}

// addChildCost adds the cost of a number of nested calls per run.
func addChildCost(sum map[ident.Service]ServiceCost, child ServiceCost, callsPerRun float64) {
	total := sum[child.Service]
	total.Service = child.Service
	total.SlotSeconds += callsPerRun * child.SlotSeconds
	total.RefuseShare = max(total.RefuseShare, child.RefuseShare)
	sum[child.Service] = total
}
