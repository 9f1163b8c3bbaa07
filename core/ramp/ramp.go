// Package ramp limits the concurrency of an upstream that has started or recovered, and
// raises the limit as fast as the upstream shows that it bears it.
//
// # Usage
//
//	r := ramp.New(slots)                       // without a limit
//	r.Begin()                                  // the upstream has started or recovered
//	n := r.Limit()                             // calls that may run at once
//	r.Observe(route, ramp.Call{...}, running)  // each call that ends
//	r.Progress(now, nestedCalls)               // from time to time
//
// The limit begins at a tenth of the slots. Each window of calls that succeed in about the
// usual time of their route raises it by 60%, so a calm upstream is at full pace after five
// windows; one with failed or rejected calls, or slow ones, lowers it. A window has only calls
// that began after the limit was changed. Where calls hold their slots for long, the limit
// rises between windows too, in each interval in which calls succeed or the upstream makes
// nested calls, and nothing fails or is slow.
//
// Failures and slowness may have another cause than too many calls: a faulty upstream
// rejects the same share of them at any limit. After several windows without progress the
// limit is raised all the same, and goes on rising as long as that makes nothing worse.
//
// A Ramp is not safe for concurrent use.
package ramp

import (
	"time"

	"chicorymast/core/ident"
)

const (
	// floorShare is the share of the slots with which a ramp begins.
	floorShare = 0.1
	// minLimit is the lowest limit. With one slot, entries would take an idle VM for nearly
	// full and send its calls to other data centres, so that its ramp would never end.
	minLimit = 2
	// growth is the factor of the limit after a good window, and decrease after a bad one.
	growth   = 1.6
	decrease = 0.5
	// A window has as many calls as the limit, but at least minWindow and at most maxWindow.
	minWindow = 8
	maxWindow = 20
	// usualRatio is the ratio of the self time to the usual one up to which calls count as
	// usual. Up to slowRatio the limit stays, above it falls.
	usualRatio = 1.5
	slowRatio  = 2.5
	// goodShare is the share of calls that succeed in a good window; below badShare the
	// limit falls.
	goodShare = 0.95
	badShare  = 0.8
	// patience is the number of windows without progress after which the limit is raised.
	patience = 4
	// worseFactor is the factor by which a window must be worse than the one before to be
	// taken for the effect of a higher limit.
	worseFactor = 1.25
	// riseInterval is the time between two rises without a whole window. The limit is at the
	// slots after five of them.
	riseInterval = 250 * time.Millisecond
	// unansweredShare is the share of the slots up to which the limit rises before a call has
	// succeeded: only the time of an answer shows whether the upstream is slow.
	unansweredShare = 0.5
	// sampleWeight is the weight of a call in the usual self time of its route.
	sampleWeight = 0.05
	// maxRoutes bounds the routes whose usual self time is kept.
	maxRoutes = 1024
)

// Call is a call that has ended.
type Call struct {
	// SelfTime is the time spent in the upstream itself, zero if it is unknown.
	SelfTime time.Duration
	// Failed is set if the upstream rejected the call or failed.
	Failed bool
}

// Ramp limits the concurrency of one upstream.
type Ramp struct {
	slots  int
	limit  float64
	active bool
	window window
	// last is the last window, empty for none. It had a lower limit if raised is set.
	last   window
	raised bool
	// stalled counts the windows in a row after which the limit was not raised.
	stalled int
	// skip is the number of calls still to end that ran when the window began.
	skip  int
	rise  rise
	usual map[ident.Route]time.Duration
}

// rise is the state of the rise between windows.
type rise struct {
	// at is when the evidence was last weighed.
	at time.Time
	// evidence counts calls that succeeded and nested calls since then.
	evidence int
	// answered is set once a call of the ramp has succeeded, doubtful while the last window
	// was not good.
	answered, doubtful bool
}

// window sums up calls.
type window struct {
	calls, failed int
	// ratio is the sum of the ratios to the usual self time of timed calls.
	ratio float64
	timed int
}

// New returns a ramp that is at its end: all slots may be used.
func New(slots int) *Ramp {
	return &Ramp{slots: max(1, slots), usual: map[ident.Route]time.Duration{}}
}

// Resize changes the number of slots.
func (r *Ramp) Resize(slots int) {
	r.slots = max(1, slots)
	r.finishIfFull()
}

// Begin starts over at the lowest limit.
func (r *Ramp) Begin() {
	r.active, r.limit = true, r.floor()
	r.window, r.last, r.raised, r.stalled, r.skip = window{}, window{}, false, 0, 0
	r.rise = rise{}
	r.finishIfFull()
}

// IgnoreRunning leaves out calls that ran when the ramp began: they may have failed with the
// former process.
func (r *Ramp) IgnoreRunning(calls int) {
	r.skip = calls
}

// Progress raises the limit without waiting for a whole window, which takes long where calls
// hold their slots for long. Signs is the number of nested calls that the upstream has made
// since the last call of Progress: they show that it works on its calls before any has ended.
func (r *Ramp) Progress(now time.Time, signs int) {
	if !r.active {
		return
	}
	if r.rise.at.IsZero() {
		r.rise.at = now
	}
	r.rise.evidence += signs
	if now.Sub(r.rise.at) < riseInterval || r.rise.evidence == 0 {
		return
	}
	r.rise.at, r.rise.evidence = now, 0
	most := float64(r.slots)
	if !r.rise.answered {
		most *= unansweredShare
	}
	if r.rise.doubtful || r.window.failed > 0 || r.window.slowness() > usualRatio || r.limit >= most {
		return
	}
	r.limit = min(most, r.limit*growth)
	r.finishIfFull()
}

func (r *Ramp) floor() float64 {
	return min(max(minLimit, floorShare*float64(r.slots)), float64(max(1, r.slots)))
}

// Active reports whether the limit is below the slots.
func (r *Ramp) Active() bool {
	return r.active
}

// Limit returns the number of calls that may run at once.
func (r *Ramp) Limit() int {
	if !r.active {
		return r.slots
	}
	return int(r.limit)
}

// Observe records a call that has ended, while others are still running.
func (r *Ramp) Observe(route ident.Route, c Call, running int) {
	usual, known := r.usual[route]
	if !r.active {
		if !c.Failed && c.SelfTime > 0 {
			r.learn(route, usual, known, c.SelfTime)
		}
		return
	}
	if r.skip > 0 {
		r.skip--
		return
	}
	r.window.calls++
	if !c.Failed {
		r.rise.evidence++
		r.rise.answered = true
	}
	switch {
	case c.Failed:
		r.window.failed++
	case c.SelfTime > 0 && !known:
		// A daemon that has just started knows no usual time: those at the lowest limit
		// take its place.
		r.learn(route, usual, known, c.SelfTime)
	case c.SelfTime > 0:
		r.window.ratio += float64(c.SelfTime) / float64(usual)
		r.window.timed++
	}
	if r.window.calls >= min(maxWindow, max(minWindow, int(r.limit))) {
		r.closeWindow()
		r.skip = running
	}
}

func (r *Ramp) learn(route ident.Route, usual time.Duration, known bool, selfTime time.Duration) {
	switch {
	case known:
		r.usual[route] = usual + time.Duration(sampleWeight*float64(selfTime-usual))
	case len(r.usual) < maxRoutes:
		r.usual[route] = selfTime
	}
}

// succeeded returns the share of calls that succeeded, slowness the mean ratio of their self
// time to the usual one.
func (w window) succeeded() float64 {
	return 1 - float64(w.failed)/float64(max(1, w.calls))
}

func (w window) slowness() float64 {
	if w.timed == 0 {
		return 1
	}
	return w.ratio / float64(w.timed)
}

// worseThan reports whether a window was clearly worse than an earlier one.
func (w window) worseThan(earlier window) bool {
	return w.slowness() > worseFactor*earlier.slowness() || worseFactor*w.succeeded() < earlier.succeeded()
}

func (r *Ramp) closeWindow() {
	w, last, raised := r.window, r.last, r.raised
	r.window, r.last, r.raised = window{}, w, false
	good := w.succeeded() >= goodShare && w.slowness() <= usualRatio
	bad := w.succeeded() < badShare || w.slowness() > slowRatio
	worse := w.worseThan(last)
	r.rise.doubtful = !good
	switch {
	case good || (raised && !worse) || r.stalled >= patience:
		r.limit = min(float64(r.slots), r.limit*growth)
		r.raised, r.stalled = true, 0
	case bad || raised:
		r.limit = max(r.floor(), r.limit*decrease)
		r.stalled++
	default:
		r.stalled++
	}
	r.finishIfFull()
}

func (r *Ramp) finishIfFull() {
	if r.limit >= float64(r.slots) {
		r.active = false
	}
}
