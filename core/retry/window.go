package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// windowParts is the number of parts of a window; a part is forgotten as a whole.
	windowParts = 20
	// earlyReserve is the part of the repeats saved beyond the next one that is kept for
	// late calls: a tree that fails at its first call has spent nothing.
	earlyReserve = 0.1
	// priceRise is the change of the price with each repeat that is denied for lack of
	// credit, priceFall that with each first send while no more repeats can be saved. The
	// price falls faster, so that few repeats are lost.
	priceRise = 0.02
	priceFall = 0.1
	// minDivided is the smallest slack of a daemon that limits its repeats by itself. Below
	// it, too many repeats that were earned could not be saved until one is wanted.
	minDivided = 2
	// savedTime is how long a daemon with a slack below minDivided saves repeats after one
	// was last wanted, for each unit of its slack.
	savedTime = time.Second
	// minSaved is the smallest slack for which repeats are saved. Below it, nothing would
	// be left of what was earned when a call fails.
	minSaved = 0.2
	// rounding is the tolerance of sums of floating-point numbers.
	rounding = 1e-9
)

// Window limits the repeats of calls to one service. In any period up to the length of
// the window, a daemon makes at most ratio x its first sends in the same period + its
// share of the slack, whatever it sends before or after. The sum over all daemons
// therefore keeps the bound in each window, also if first sends stop while repeats are
// still wanted: a budget that counts the first sends of the last window would exceed it.
//
// The slack of a large fleet is about one repeat for each daemon, or less. A daemon then earns
// one repeat for each 1/ratio of its first sends, beginning at a random point, and saves
// none while none are wanted. So the repeats of all daemons exceed ratio x first sends
// only by the variance of these random points and by the few that are saved, which the
// slack covers.
//
// While fewer repeats are allowed than wanted, those of the highest worth are made: a price
// rises with each denied repeat, and falls while repeats that were earned can't be saved.
// A Window is not safe for concurrent use.
type Window struct {
	ratio float64
	slack float64
	// started is when the daemon started; the slack is usable one window later, so that
	// restarts do not add any.
	started    time.Time
	partLength time.Duration
	parts      [windowParts + 1]windowPart
	// earned is the number of repeats that may be made if the slack is not divided.
	earned float64
	// price is the worth from which repeats are allowed. It is above zero while more are
	// wanted than allowed, so that those of the highest worth are made.
	price float64
	// wantedAt is when a repeat was last wanted, and repeatedAt when one was last made.
	wantedAt, repeatedAt time.Time
}

// windowPart sums up repeats - ratio x first sends in one part of the window.
type windowPart struct {
	number int64
	sum    float64
	// excess is the largest sum over a period that begins in this part and lasts until
	// its end, at least zero.
	excess float64
}

// NewWindow returns a window of a daemon that started at a time.
func NewWindow(ratio float64, length time.Duration, started time.Time, rng *rand.Rand) Window {
	return Window{ratio: ratio, started: started, partLength: max(1, length/windowParts), earned: rng.Float64()}
}

// SetSlack sets this daemon's share of the slack.
func (w *Window) SetSlack(slack float64) {
	w.slack = slack
}

// RecordFirst records the first sending of a call.
func (w *Window) RecordFirst(now time.Time) {
	if w.Credit(now)+w.ratio > w.limit() {
		w.price = max(0, w.price-priceFall)
	}
	w.add(now, -w.ratio)
	w.earned += w.ratio
	if w.earned >= w.limit() {
		w.earned--
	}
	w.forgetUnwanted(now)
}

// divided reports whether the slack is divided among the daemons.
func (w *Window) divided() bool {
	return w.slack >= minDivided
}

// limit returns the largest number of repeats that may be saved.
func (w *Window) limit() float64 {
	if !w.divided() {
		return 1 + min(max(w.slack, minSaved), 1)
	}
	return w.slack
}

// forgetUnwanted gives up a repeat that was earned while none was wanted, and repeats that
// are no longer in the window. What is left of them keeps its random part.
func (w *Window) forgetUnwanted(now time.Time) {
	if w.earned < 0 && now.Sub(w.repeatedAt) > windowParts*w.partLength {
		w.earned -= math.Floor(w.earned)
	}
	if w.earned >= 1 && now.Sub(w.wantedAt).Seconds() > savedTime.Seconds()*max(w.slack, minSaved) {
		w.earned--
	}
}

// RecordRepeat records a repeat that is not limited here: a call of a run that was itself
// a repeat. Later repeats are denied until it is made up for.
func (w *Window) RecordRepeat(now time.Time) {
	w.repeat(now)
}

func (w *Window) repeat(now time.Time) {
	w.add(now, 1)
	w.earned--
	w.repeatedAt = now
}

// Spend uses one repeat and reports false if none is allowed. Worth is what the repeat may
// save, from 0 to 1: a late call of a tree is worth more than its first one.
func (w *Window) Spend(now time.Time, worth float64) bool {
	if w.SpendLater(now, worth) {
		return true
	}
	if worth >= w.price {
		w.price = min(1, w.price+priceRise)
	}
	return false
}

// SpendLater is Spend for a repeat that was denied shortly before. Another denial does not
// raise the price again.
func (w *Window) SpendLater(now time.Time, worth float64) bool {
	w.forgetUnwanted(now)
	w.wantedAt = now
	worth = min(max(worth, 0), 1)
	if worth < w.price {
		return false
	}
	reserve := (1 - worth) * earlyReserve * (w.limit() - 1)
	if w.Credit(now)+rounding < 1+reserve {
		return false
	}
	w.repeat(now)
	return true
}

// Credit returns the repeats that are allowed now.
func (w *Window) Credit(now time.Time) float64 {
	if !w.divided() {
		return w.earned
	}
	return w.slack - w.excess(now)
}

// number returns the number of the part that contains a time.
func (w *Window) number(t time.Time) int64 {
	return int64(t.Sub(w.started) / w.partLength)
}

func (w *Window) add(now time.Time, n float64) {
	number := max(0, w.number(now))
	p := &w.parts[number%int64(len(w.parts))]
	if p.number != number {
		*p = windowPart{number: number}
	}
	p.sum += n
	p.excess = max(0, p.excess+n)
}

// excess returns the largest excess of repeats over any period that lasts until now and
// is no longer than the window.
func (w *Window) excess(now time.Time) (largest float64) {
	number := max(0, w.number(now))
	sum := 0.0
	for n := number; n >= max(0, number-windowParts); n-- {
		if p := w.parts[n%int64(len(w.parts))]; p.number == n {
			largest = max(largest, sum+p.excess)
			sum += p.sum
		}
	}
	if number < windowParts {
		// As if the process before this one had used up the slack.
		largest = max(largest, sum+w.slack)
	}
	return largest
}
