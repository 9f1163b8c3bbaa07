package admit

import (
	"time"

	"chicorymast/core/ident"
)

// limiter learns how many calls an upstream takes at once, never above its
// slots. Each call is compared with the usual time of its own route, so that a
// change of the mix does not look like a slow upstream. Latency that has doubled, or a call that the upstream shed, lowers
// the limit by a tenth; a full window without either raises it by one.
type limiter struct {
	slots     int
	limit     float64
	baselines map[ident.Route]time.Duration
	window    window
}

type window struct {
	began   time.Time
	samples int
	// total and counts are of the own times of each route.
	total  map[ident.Route]time.Duration
	counts map[ident.Route]int
	shed   bool
	full   bool
}

const (
	windowLength  = 100 * time.Millisecond
	windowSamples = 10
	// slowdown is the ratio to the baseline that counts as overload.
	slowdown = 2.0
	// decrease is what remains of the limit after an overloaded window.
	decrease = 0.9
	// floorShare is the share of the slots below which latency alone does not
	// push the limit: a slow dependency looks the same as a full upstream.
	floorShare = 0.5
	// baselineDrift lets the baseline follow a service that became slower.
	baselineDrift = 1.02
)

func newLimiter(slots int) limiter {
	slots = max(1, slots)
	return limiter{slots: slots, limit: float64(slots), baselines: map[ident.Route]time.Duration{}, window: newWindow()}
}

func (l *limiter) current() int {
	return max(1, int(l.limit))
}

func newWindow() window {
	return window{total: map[ident.Route]time.Duration{}, counts: map[ident.Route]int{}}
}

func (l *limiter) observe(now time.Time, r ident.Route, s Sample, running int) {
	w := &l.window
	if w.samples == 0 {
		w.began = now
	}
	w.samples++
	w.total[r] += s.SelfTime
	w.counts[r]++
	w.shed = w.shed || s.Shed
	w.full = w.full || running >= l.current()
	if w.samples >= windowSamples && now.Sub(w.began) >= windowLength {
		l.closeWindow()
	}
}

func (l *limiter) closeWindow() {
	w := l.window
	l.window = newWindow()
	slow := l.slower(w) > slowdown
	switch {
	case w.shed:
		l.limit = max(1, l.limit*decrease)
	case slow && w.full:
		l.limit = max(floorShare*float64(l.slots), l.limit*decrease, 1)
	case w.full:
		l.limit = min(float64(l.slots), l.limit+1)
	}
}

// slower returns how many times as long as usual the calls of a window took,
// and lets the usual times follow.
func (l *limiter) slower(w window) float64 {
	ratio, calls := 0.0, 0
	for r, n := range w.counts {
		average := w.total[r] / time.Duration(n)
		usual := l.baselines[r]
		if usual > 0 {
			ratio += float64(n) * float64(average) / float64(usual)
			calls += n
		}
		l.baselines[r] = follow(usual, average)
	}
	if calls == 0 {
		return 1
	}
	return ratio / float64(calls)
}

func follow(usual, average time.Duration) time.Duration {
	if usual == 0 || average < usual {
		return average
	}
	return min(average, time.Duration(baselineDrift*float64(usual)))
}
