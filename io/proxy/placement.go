package proxy

import (
	"sync"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/place"
	"chicorymast/core/route"
	"chicorymast/core/sample"
	"chicorymast/io/event"
	"chicorymast/io/header"

	"go.uber.org/zap"
)

// placement decides which calls run in another data centre as whole trees, and reports what
// the calls that run on this VM cost in calls between data centres.
type placement struct {
	opt     Options
	mu      sync.Mutex
	meter   *place.Meter
	planner *place.Planner
	random  func() float64
}

func newPlacement(opt Options, random func() float64) *placement {
	return &placement{opt: opt, meter: place.NewMeter(), planner: place.NewPlanner(opt.Config().Daemon.DataCentre), random: random}
}

func (pl *placement) enabled() bool {
	if pl == nil {
		return false
	}
	cfg := pl.opt.Config()
	return cfg.Calls.PlaceTrees && cfg.Daemon.Mode != config.ModePassThrough
}

func (pl *placement) recordRun(r ident.Route) {
	if !pl.enabled() {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.meter.RecordRun(pl.opt.Clock.Now(), r)
}

// report returns what a run of a route costs, nil for nothing.
func (pl *placement) report(r ident.Route) *place.Crossings {
	if !pl.enabled() {
		return nil
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	c := pl.meter.Crossings(pl.opt.Clock.Now(), r)
	if c.IsZero() {
		return nil
	}
	return &c
}

// record takes over the report of a VM, and counts the call for the run that made it.
func (pl *placement) record(o *outboundCall, vm route.Candidate, result header.Result) {
	if !pl.enabled() {
		return
	}
	var report place.Crossings
	if result.Crossings != nil {
		report = *result.Crossings
	}
	now := pl.opt.Clock.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.planner.Observe(now, o.call.Route, vm.DataCentre, report)
	if o.served != nil {
		pl.meter.RecordCall(now, o.served.call.Route, o.call.Route, vm.DataCentre != pl.opt.Config().Daemon.DataCentre, report)
	}
}

// choose returns the data centre for a call, empty for no preference.
func (pl *placement) choose(r ident.Route, rooms func() []place.Room) ident.DataCentre {
	if !pl.enabled() {
		return ""
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.planner.Away(r) == 0 {
		return ""
	}
	dc, _ := pl.planner.Choose(pl.opt.Clock.Now(), r, rooms(), pl.random)
	return dc
}

func (pl *placement) away(r ident.Route) float64 {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.planner.Away(r)
}

// rooms returns the slots of a service in each data centre that can be reached.
func (rt *router) rooms(name ident.Service) []place.Room {
	s := rt.service(name)
	now := rt.opt.Clock.Now()
	blocked := rt.blocked(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, rt.opt.Board, rt.notices, name)
	var rooms []place.Room
	for _, r := range s.rooms {
		if !blocked[r.DataCentre] {
			rooms = append(rooms, r)
		}
	}
	return rooms
}

// roomsOf sums up the slots of candidates by data centre.
func roomsOf(candidates []route.Candidate) (rooms []place.Room) {
	index := map[ident.DataCentre]int{}
	for _, c := range candidates {
		i, known := index[c.DataCentre]
		if !known {
			i = len(rooms)
			index[c.DataCentre] = i
			rooms = append(rooms, place.Room{DataCentre: c.DataCentre})
		}
		rooms[i].Slots += c.Slots
	}
	return rooms
}

// notePlacement counts calls to other data centres, and logs those of whole trees.
func (p *Proxy) notePlacement(o *outboundCall, vm route.Candidate, preferred ident.DataCentre, s route.Spill) {
	home := p.opt.Config().Daemon.DataCentre
	switch {
	case vm.DataCentre == home:
	case vm.DataCentre == preferred:
		p.opt.Metrics.elsewhere.WithLabelValues("tree").Inc()
		p.opt.Metrics.treesAway.WithLabelValues(string(o.call.Route)).Set(p.placement.away(o.call.Route))
		p.opt.Trail.Note(event.PlacedElsewhere, sample.Key{Reason: "whole_tree"}, func() []zap.Field {
			return append(o.subject().fields(), zap.String("to", string(vm.VM)), zap.String("to_data_centre", string(vm.DataCentre)),
				zap.Float64("share_of_route", p.placement.away(o.call.Route)))
		})
	case s.LocalVM != "":
		p.opt.Metrics.elsewhere.WithLabelValues("own_data_centre_full").Inc()
	default:
		p.opt.Metrics.elsewhere.WithLabelValues("none_in_own_data_centre").Inc()
	}
}
