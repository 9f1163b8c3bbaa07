package admit

import "time"

// limiter learns how many calls an upstream takes at once, never above its
// slots. Latency that has doubled, or a call that the upstream shed, lowers
// the limit by a tenth; a full window without either raises it by one.
type limiter struct {
	slots    int
	limit    float64
	baseline time.Duration
	window   window
}

type window struct {
	began   time.Time
	samples int
	total   time.Duration
	shed    bool
	full    bool
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
	return limiter{slots: slots, limit: float64(slots)}
}

func (l *limiter) current() int {
	return max(1, int(l.limit))
}

func (l *limiter) observe(now time.Time, s Sample, running int) {
	w := &l.window
	if w.samples == 0 {
		w.began = now
	}
	w.samples++
	w.total += s.Own
	w.shed = w.shed || s.Shed
	w.full = w.full || running >= l.current()
	if w.samples >= windowSamples && now.Sub(w.began) >= windowLength {
		l.closeWindow()
	}
}

func (l *limiter) closeWindow() {
	w := l.window
	l.window = window{}
	average := w.total / time.Duration(w.samples)
	slow := l.baseline > 0 && float64(average) > slowdown*float64(l.baseline)
	l.follow(average)
	switch {
	case w.shed:
		l.limit = max(1, l.limit*decrease)
	case slow && w.full:
		l.limit = max(floorShare*float64(l.slots), l.limit*decrease, 1)
	case w.full:
		l.limit = min(float64(l.slots), l.limit+1)
	}
}

func (l *limiter) follow(average time.Duration) {
	if l.baseline == 0 || average < l.baseline {
		l.baseline = average
		return
	}
	l.baseline = min(average, time.Duration(baselineDrift*float64(l.baseline)))
}
