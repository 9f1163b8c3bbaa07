package admit

import (
	"math"
	"time"

	"chicorymast/core/ident"
)

// limiter adapts the concurrency limit of an upstream to its latency; the limit
// never exceeds the announced slots. Each call is compared with the baseline
// latency of its own route, so that a change in the mix of routes does not look
// like a slow upstream. Calls whose self time is unknown are no evidence of
// latency: a slow dependency would look like a slow upstream. A window in which
// latency has doubled, or in which the upstream shed a call, lowers the limit by a
// tenth; a window at full concurrency without either raises it by a tenth.
//
// An upstream that sheds because it is faulty sheds the same share of its calls at any
// concurrency. Shed calls are therefore evidence only while the limit is reached, and a
// reduction after which the upstream accepts no larger share is undone (see reduction).
// The rate of accepted calls would not show it: while the calls that arrive do not fill
// the limit, it does not depend on the limit at all.
type limiter struct {
	slots     int
	limit     float64
	baselines map[ident.Route]time.Duration
	window    window
	reduction reduction
	// ignoreShedUntil ends the time after an undone reduction in which shed calls
	// do not lower the limit.
	ignoreShedUntil time.Time
	// slowWindows counts the windows in which latency had doubled.
	slowWindows uint64
}

// reduction is a reduction of the limit for shed calls that has not been judged.
type reduction struct {
	// limit is the limit before it, zero if there is none.
	limit float64
	// first and last sum up the first and the last comparedWindows of it. The window that
	// began the reduction is in neither, since it may hold calls from before the shedding.
	first, last acceptance
	windows     int
}

// acceptance counts calls that ended, and those of them that the upstream accepted.
type acceptance struct {
	calls, accepted int
	// running is the sum of the calls that were running when each of the calls ended.
	running int
}

func (a *acceptance) add(w window) {
	a.calls += w.samples
	a.accepted += w.samples - w.shed
	a.running += w.running
}

// share returns the share of calls that the upstream accepted.
func (a acceptance) share() float64 {
	return float64(a.accepted) / float64(max(1, a.calls))
}

// concurrency returns the mean number of running calls.
func (a acceptance) concurrency() float64 {
	return float64(a.running) / float64(max(1, a.calls))
}

// helped reports whether the upstream accepts a larger share of the calls at the lower
// concurrency of the last windows. One that is full accepts a fixed number of them, so
// the share grows as the concurrency falls; that of a faulty one stays. An upstream
// that accepts nothing gets as few calls as possible.
func (r reduction) helped() bool {
	if r.first.accepted == 0 {
		return r.last.accepted == 0
	}
	fall := r.first.concurrency() / max(1, r.last.concurrency())
	return fall > minConcurrencyFall && r.last.share()/r.first.share() >= math.Sqrt(fall)
}

// window collects the samples of one measurement interval.
type window struct {
	began   time.Time
	samples int
	// totals holds the sum of the known self times of each route, counts the
	// number of these calls. Shed calls took no time and are left out.
	totals map[ident.Route]time.Duration
	counts map[ident.Route]int
	// shed is the number of calls that the upstream shed.
	shed int
	// running is the sum of the calls that were running when each call ended.
	running int
	// full is set when the limit was reached.
	full bool
}

const (
	minWindowDuration = 100 * time.Millisecond
	// A window needs as many samples as the limit, but at least minWindowSamples and at
	// most maxWindowSamples: a low limit must not take long to rise again.
	maxWindowSamples = 10
	minWindowSamples = 3
	// slowRatio is the ratio to the baseline above which latency counts as
	// overload.
	slowRatio = 2.0
	// decreaseFactor is applied to the limit after an overloaded window.
	decreaseFactor = 0.9
	// latencyFloorShare is the share of the slots below which latency alone does
	// not lower the limit: a slow dependency looks the same as an overloaded
	// upstream.
	latencyFloorShare = 0.5
	// maxBaselineGrowth is the factor by which a baseline may rise in one window;
	// it lets the baseline follow a service that has become slower.
	maxBaselineGrowth = 1.02
	// growthFactor is applied to the limit after a window at full concurrency.
	growthFactor = 1.1
	// judgeReductionShare is the share of the limit to which it is lowered before
	// the reduction is judged.
	judgeReductionShare = 0.5
	// comparedWindows is the number of windows at either end of a reduction that are
	// compared with those at the other.
	comparedWindows = 2
	// minConcurrencyFall is the factor by which the concurrency must have fallen for a
	// reduction to be judged by it.
	minConcurrencyFall = 1.2
	// ignoreShedTime is how long shed calls are ignored after an undone reduction.
	ignoreShedTime = 5 * time.Second
)

func newLimiter(slots int) limiter {
	slots = max(1, slots)
	return limiter{slots: slots, limit: float64(slots), baselines: map[ident.Route]time.Duration{}, window: newWindow()}
}

func (l *limiter) current() int {
	return max(1, int(l.limit))
}

func newWindow() window {
	return window{totals: map[ident.Route]time.Duration{}, counts: map[ident.Route]int{}}
}

func (l *limiter) observe(now time.Time, r ident.Route, s Sample, running int) {
	w := &l.window
	if w.samples == 0 {
		w.began = now
	}
	w.samples++
	switch {
	case s.Shed:
		w.shed++
	case !s.SelfTimeUnknown:
		w.totals[r] += s.SelfTime
		w.counts[r]++
	}
	w.running += running
	w.full = w.full || running >= l.current()
	if w.samples >= min(maxWindowSamples, max(minWindowSamples, l.current())) && now.Sub(w.began) >= minWindowDuration {
		l.closeWindow(now)
	}
}

func (l *limiter) closeWindow(now time.Time) {
	w := l.window
	l.window = newWindow()
	slow := l.latencyRatio(w) > slowRatio
	if slow {
		l.slowWindows++
	}
	if w.shed == 0 {
		l.reduction = reduction{}
	}
	switch {
	case w.shed > 0 && w.full && !now.Before(l.ignoreShedUntil):
		l.reduceForShed(now, w)
	case slow && w.full:
		l.limit = max(latencyFloorShare*float64(l.slots), l.limit*decreaseFactor, 1)
	case w.full:
		l.limit = min(float64(l.slots), max(l.limit+1, l.limit*growthFactor))
	}
}

// reduceForShed lowers the limit after a window with shed calls, or undoes the
// reduction if the upstream accepts no larger share of its calls than before it.
func (l *limiter) reduceForShed(now time.Time, w window) {
	r := &l.reduction
	r.windows++
	switch {
	case r.windows == 1:
		r.limit = l.limit
	case r.windows <= 1+comparedWindows:
		r.first.add(w)
	}
	judged := judgeReductionShare * r.limit
	if l.limit*math.Pow(decreaseFactor, comparedWindows) <= judged {
		r.last.add(w)
	}
	l.limit = max(1, l.limit*decreaseFactor)
	if l.limit > judged && l.limit > 1 {
		return
	}
	if r.limit > 1 && !r.helped() {
		l.limit = r.limit
		l.ignoreShedUntil = now.Add(ignoreShedTime)
	}
	l.reduction = reduction{}
}

// latencyRatio returns the mean ratio of the latency in a window to the baseline
// of each call's route, and updates the baselines.
func (l *limiter) latencyRatio(w window) float64 {
	ratio, calls := 0.0, 0
	for r, n := range w.counts {
		mean := w.totals[r] / time.Duration(n)
		baseline := l.baselines[r]
		if baseline > 0 {
			ratio += float64(n) * float64(mean) / float64(baseline)
			calls += n
		}
		l.baselines[r] = nextBaseline(baseline, mean)
	}
	if calls == 0 {
		return 1
	}
	return ratio / float64(calls)
}

func nextBaseline(baseline, mean time.Duration) time.Duration {
	if baseline == 0 || mean < baseline {
		return mean
	}
	return min(mean, time.Duration(maxBaselineGrowth*float64(baseline)))
}
