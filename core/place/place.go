// Package place decides in which data centre the call trees of a route run.
//
// # Usage
//
//	m := place.NewMeter()                        // on the VM of an upstream
//	m.RecordRun(now, route)                      // a run has ended
//	m.RecordCall(now, route, child, crossed, c)  // a run's call has ended; c is its own report
//	report := m.Crossings(now, route)            // returned with responses
//
//	p := place.NewPlanner(home)                  // where calls are dispatched
//	p.Observe(now, route, dataCentre, report)    // from a response
//	dc, ok := p.Choose(now, route, room, rng.Float64)
//
// The load that this answers: a service deep in call trees has little room in one data
// centre, and each run above it makes several calls there. If every hop prefers its own
// data centre and spills alone, one tree crosses to others once for each of these calls.
// A tree that runs elsewhere as a whole crosses once.
//
// The daemon beside an upstream counts the calls of a route's runs that leave the data
// centre, and how many calls a run makes to services that they leave for. The quotient is
// the part of the deep work that does not fit here, so that part of the trees should run
// elsewhere. Responses carry both numbers; each dispatcher moves the part of its own calls
// and follows the reports, so no daemon needs to know the room of deep services. Nothing
// here is safe for concurrent use.
package place

import (
	"math"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/meter"
)

// Crossings is what the runs of a route cost in calls between data centres.
type Crossings struct {
	// PerRun is the mean number of nested calls of a run that go to another data centre.
	PerRun float64 `json:"x"`
	// Fanout is the mean number of calls that a run makes to services that such calls go
	// to, wherever they run.
	Fanout float64 `json:"k"`
}

// IsZero reports whether nothing crosses.
func (c Crossings) IsZero() bool {
	return c.PerRun == 0
}

// maxReported bounds what a report may claim; the deepest trees make fewer calls.
const maxReported = 1000

// sane returns the report within its bounds, and nothing for one that can't be true.
func (c Crossings) sane() Crossings {
	if !(c.PerRun >= 0) || !(c.Fanout >= 0) { // also not a number
		return Crossings{}
	}
	fanout := min(c.Fanout, maxReported)
	return Crossings{PerRun: min(c.PerRun, fanout), Fanout: fanout}
}

// excess returns the part of the deep work that does not fit where the runs are, beyond
// what it would cost to move the trees.
func (c Crossings) excess() float64 {
	if c.PerRun <= moveCost {
		return 0
	}
	return (c.PerRun - moveCost) / (c.Fanout - moveCost)
}

const (
	// meterWindow is the averaging time of runs and their calls.
	meterWindow = 2 * time.Second
	// minCrossings is the mean number of crossing calls per run from which a report is made.
	minCrossings = 0.02
	// minCrossedShare is the share of the calls to a child route that must cross for its
	// calls to count in Fanout.
	minCrossedShare = 0.02
	// moveCost is the number of crossings that moving a tree costs. Runs that cross less
	// often stay: a service that has room on average still sends a few calls elsewhere in
	// bursts, and moving trees would not spare these.
	moveCost = 1.0
)

// Meter counts the crossings of the runs on one VM, by route.
type Meter struct {
	routes map[ident.Route]*runMeter
}

type runMeter struct {
	runs     meter.Meter
	children map[ident.Route]*childMeter
}

// childMeter counts the calls to a child route, those that crossed, and the sums of what
// the responses reported.
type childMeter struct {
	calls, crossed, perRun, fanout meter.Meter
}

// NewMeter returns a meter without routes.
func NewMeter() *Meter {
	return &Meter{routes: map[ident.Route]*runMeter{}}
}

func (m *Meter) route(r ident.Route) *runMeter {
	rm := m.routes[r]
	if rm == nil {
		rm = &runMeter{runs: meter.New(meterWindow), children: map[ident.Route]*childMeter{}}
		m.routes[r] = rm
	}
	return rm
}

// RecordRun counts a finished run.
func (m *Meter) RecordRun(now time.Time, r ident.Route) {
	m.route(r).runs.Add(now, 1)
}

// RecordCall counts a call that a run of route r has made to a child route. Crossed is set
// if it went to another data centre; report is what its response reported.
func (m *Meter) RecordCall(now time.Time, r, child ident.Route, crossed bool, report Crossings) {
	rm := m.route(r)
	c := rm.children[child]
	if c == nil {
		c = &childMeter{calls: meter.New(meterWindow), crossed: meter.New(meterWindow), perRun: meter.New(meterWindow), fanout: meter.New(meterWindow)}
		rm.children[child] = c
	}
	report = report.sane()
	c.calls.Add(now, 1)
	if crossed {
		c.crossed.Add(now, 1)
	}
	c.perRun.Add(now, report.PerRun)
	c.fanout.Add(now, report.Fanout)
}

// Crossings returns the report on a route, zero if hardly anything crosses.
func (m *Meter) Crossings(now time.Time, r ident.Route) Crossings {
	rm := m.routes[r]
	if rm == nil {
		return Crossings{}
	}
	runs := max(1, rm.runs.Sum(now))
	var total Crossings
	for _, c := range rm.children {
		crossed, calls := c.crossed.Sum(now), c.calls.Sum(now)
		total.PerRun += (crossed + c.perRun.Sum(now)) / runs
		total.Fanout += c.fanout.Sum(now) / runs
		if crossed > minCrossedShare*calls {
			total.Fanout += calls / runs
		}
	}
	if total.PerRun < minCrossings {
		return Crossings{}
	}
	return total.sane()
}

// Planner decides where the calls of one dispatcher go.
type Planner struct {
	home   ident.DataCentre
	routes map[ident.Route]*plan
}

type plan struct {
	// away is the part of the route's calls that go to other data centres as wholes.
	away    float64
	updated time.Time
	reports map[ident.DataCentre]*estimate
}

// estimate is a moving average of the reports from one data centre.
type estimate struct {
	Crossings
	at time.Time
}

const (
	// followTime is the time constant with which the part follows the reports. It is longer
	// than a call tree takes, so that the effect of a change is seen before the next one.
	followTime = time.Second
	// returnRate is the part of the moved calls that come back in each followTime while
	// nothing crosses at home. It keeps a few crossings at home, which show what room is there.
	returnRate = 0.1
	// reportWeight is the weight of one report in the moving average.
	reportWeight = 0.05
	// reportTTL is how long a report is used without another one.
	reportTTL = 10 * time.Second
	// maxAway keeps some calls at home, so that reports keep coming.
	maxAway = 0.95
)

// NewPlanner returns a planner for a dispatcher in the data centre home.
func NewPlanner(home ident.DataCentre) *Planner {
	return &Planner{home: home, routes: map[ident.Route]*plan{}}
}

// Observe records the report of a response to a call of a route, from the data centre where
// the call ran. A response without a report reports that nothing crosses.
func (p *Planner) Observe(now time.Time, r ident.Route, dc ident.DataCentre, report Crossings) {
	pl := p.routes[r]
	if pl == nil {
		if report.IsZero() {
			return // nothing crosses, so there is nothing to plan
		}
		pl = &plan{updated: now, reports: map[ident.DataCentre]*estimate{}}
		p.routes[r] = pl
	}
	e := pl.reports[dc]
	if e == nil {
		e = &estimate{}
		pl.reports[dc] = e
	}
	report = report.sane()
	weight := reportWeight
	if now.Sub(e.at) > reportTTL {
		weight = 1
	}
	e.PerRun += weight * (report.PerRun - e.PerRun)
	if report.Fanout > 0 {
		e.Fanout = max(report.Fanout, e.Fanout+weight*(report.Fanout-e.Fanout))
	}
	e.at = now
	if dc == p.home {
		pl.follow(now, e.excess())
	}
}

// follow moves the part away from home toward the one at which nothing would cross there.
func (pl *plan) follow(now time.Time, excess float64) {
	step := 1 - math.Exp(-now.Sub(pl.updated).Seconds()/followTime.Seconds())
	pl.updated = now
	pl.away += step * ((1-pl.away)*excess - returnRate*pl.away)
	pl.away = min(max(pl.away, 0), maxAway)
}

// Room is how many slots the service of a call has in a data centre, as far as calls may go
// there now.
type Room struct {
	DataCentre ident.DataCentre
	Slots      int
}

// Away returns the part of a route's calls that go to other data centres, for the log.
func (p *Planner) Away(r ident.Route) float64 {
	if pl := p.routes[r]; pl != nil {
		return pl.away
	}
	return 0
}

// Choose returns the data centre for the next call of a route. It reports false if the call
// is placed as one of any other route. Only data centres in rooms are chosen: those that are
// cut off must not be listed. The numbers of random are in [0, 1).
func (p *Planner) Choose(now time.Time, r ident.Route, rooms []Room, random func() float64) (dc ident.DataCentre, ok bool) {
	pl := p.routes[r]
	if pl == nil || pl.away < minAway || random() >= pl.away {
		return "", false
	}
	total := 0.0
	weights := make([]float64, len(rooms))
	for i, room := range rooms {
		if room.DataCentre != p.home {
			weights[i] = p.weight(now, pl, room)
			total += weights[i]
		}
	}
	at := random() * total
	for i, room := range rooms {
		if at < weights[i] {
			return room.DataCentre, true
		}
		at -= weights[i]
	}
	return "", false
}

// minAway is the smallest part that is worth moving.
const minAway = 0.02

// weight returns the relative share of the moved calls that a data centre gets: by its slots
// and by the crossings that a move there saves. Where all data centres are as full as home,
// a move saves nothing.
func (p *Planner) weight(now time.Time, pl *plan, room Room) float64 {
	saved := -moveCost
	if e := pl.reports[p.home]; e != nil {
		saved += e.PerRun
	}
	if e := pl.reports[room.DataCentre]; e != nil && now.Sub(e.at) <= reportTTL {
		saved -= e.PerRun
	}
	return max(0, saved) * float64(room.Slots)
}
