package admit

import (
	"time"

	"chicorymast/core/meter"
)

// pressure learns which share of the work that is meant for an upstream should
// not enter the fleet, so that the upstream is kept just below saturation. Each
// call says at which share its kind was let in, so what was kept out is known
// from what came: a call let in at one in four stands for four. That makes the
// answer independent of what is refused at the moment, and it does not swing.
type pressure struct {
	// demand is the work that would come if all were let in, in slot seconds.
	demand meter.Meter
}

const (
	// demandMemory is over how long the demand is averaged: a few hundred calls
	// of the smallest upstreams.
	demandMemory = time.Second
	// busyTarget is the part of the slots to be kept busy; the rest is room for
	// what comes unevenly.
	busyTarget = 0.95
	// drainTime is in which a standing queue should be gone.
	drainTime = time.Second
	// shareLeast bounds what one call may stand for.
	shareLeast = 0.03
)

// arrived counts a call that holds a slot for a time, let in at a share.
func (p *pressure) arrived(now time.Time, held time.Duration, share float64) {
	if p.demand == (meter.Meter{}) {
		p.demand = meter.New(demandMemory)
	}
	if share <= 0 {
		share = 1
	}
	p.demand.Add(now, held.Seconds()/max(share, shareLeast))
}

// RefuseShare returns the share of the work for this upstream that should not enter
// the fleet, from 0 to 1.
func (g *Controller) RefuseShare(now time.Time) float64 {
	demand := g.pressure.demand.Rate(now)
	room := busyTarget*float64(g.limit.current()) - float64(g.waiting)*g.held.Seconds()/drainTime.Seconds()
	if demand <= room {
		return 0
	}
	return 1 - max(shareLeast, room/demand)
}
