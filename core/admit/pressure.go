package admit

import (
	"math"
	"time"
)

// pressure learns which share of the work that is meant for an upstream should
// enter the fleet, so that the upstream is kept just below saturation: an
// integral controller on the logarithm of the share. What is offered counts
// what was refused here and what the queue has grown by, besides what ran.
type pressure struct {
	share float64
	began time.Time
	last  time.Time
	// busy is the integral of the running calls over time, in call seconds.
	busy    float64
	refused int
	// waiting is the length of the queue when the window began.
	waiting int
}

const (
	pressureWindow = 100 * time.Millisecond
	// busyTarget is the part of the slots to be kept busy; the rest is room for
	// what comes unevenly.
	busyTarget = 0.92
	// pressureGain is how much of a deviation each window corrects. Its effect
	// shows after a call tree has run, in about a second, so about ten windows
	// together must not correct it more than once.
	pressureGain = 0.08
	// shareLeast keeps some work coming, whose fate tells when there is room.
	shareLeast = 0.03
	// drainTime is in which a standing queue should be gone.
	drainTime = time.Second
)

// advance integrates up to a time; call it before the running calls change.
func (p *pressure) advance(now time.Time, running int) {
	if p.last.IsZero() {
		p.last, p.began, p.share = now, now, 1
		return
	}
	if passed := now.Sub(p.last); passed > 0 {
		p.busy += float64(running) * passed.Seconds()
		p.last = now
	}
}

// close ends a window that is long enough and corrects the share.
func (p *pressure) close(now time.Time, limit, waiting int, held time.Duration) {
	span := now.Sub(p.began).Seconds()
	if span < pressureWindow.Seconds() {
		return
	}
	capacity := float64(limit) * span
	work := p.busy + float64(p.refused)*held.Seconds()
	work += max(0, float64(waiting-p.waiting)) * held.Seconds()
	offered := work / capacity
	if waiting > 0 && p.waiting > 0 {
		offered += float64(waiting) * held.Seconds() / (float64(limit) * drainTime.Seconds())
	}
	if offered > 0 {
		p.share *= math.Pow(busyTarget/offered, pressureGain)
	} else {
		p.share = 1
	}
	p.share = min(1, max(shareLeast, p.share))
	p.began, p.busy, p.refused, p.waiting = now, 0, 0, waiting
}

// Refuse returns the share of the work for this upstream that should not enter
// the fleet, from 0 to 1.
func (g *Gate) Refuse() float64 {
	if g.pressure.share == 0 {
		return 0
	}
	return 1 - g.pressure.share
}
