package lines

import (
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/event"
)

// bounds limit by how much the clock of a callee is ahead of its caller's. They hold
// nothing unless known.
type bounds struct {
	low, high time.Duration
	known     bool
}

type pair struct{ caller, callee ident.VM }

// Align corrects the times of lines for differences between the clocks of their VMs,
// puts them in order, and returns the corrections. A daemon that handles a call does
// so between the sending and the end of the attempt at the daemon that sent it; the
// smallest correction that puts all such lines in this order is used.
func Align(list []Line) map[ident.VM]time.Duration {
	limits := clockBounds(list)
	corrections := map[ident.VM]time.Duration{}
	for _, l := range list {
		if _, done := corrections[l.VM]; !done {
			corrections[l.VM] = 0
			spread(l.VM, limits, corrections)
		}
	}
	for i, l := range list {
		list[i].Time = l.Time.Add(-corrections[l.VM])
	}
	sortByTime(list)
	for vm, d := range corrections {
		if d == 0 {
			delete(corrections, vm)
		}
	}
	return corrections
}

// spread sets the corrections of all VMs that exchanged calls with one whose
// correction is set, directly or through others.
func spread(from ident.VM, limits map[pair]bounds, corrections map[ident.VM]time.Duration) {
	for p, b := range limits {
		next, difference := p.callee, b.smallest()
		if p.callee == from {
			next, difference = p.caller, -difference
		}
		if p.caller != from && p.callee != from {
			continue
		}
		if _, done := corrections[next]; !done {
			corrections[next] = corrections[from] + difference
			spread(next, limits, corrections)
		}
	}
}

// clockBounds compares the lines of daemons that sent calls with those of the daemons
// that handled them.
func clockBounds(list []Line) map[pair]bounds {
	type call struct {
		request string
		vm      ident.VM
	}
	handled := map[call][]time.Time{}
	for _, l := range list {
		if l.Event == event.CallRefused || l.Event == event.NestedCallFailed {
			c := call{l.Text("request"), l.VM}
			handled[c] = append(handled[c], l.Time)
		}
	}
	limits := map[pair]bounds{}
	for _, l := range list {
		took, timed := l.Number("took_ms")
		to := ident.VM(l.Text("to"))
		times := handled[call{l.Text("request"), to}]
		if !timed || len(times) != 1 { // several attempts at one VM can't be told apart
			continue
		}
		sent := l.Time.Add(-time.Duration(took) * time.Millisecond)
		p := pair{l.VM, to}
		limits[p] = limits[p].narrow(times[0].Sub(l.Time), times[0].Sub(sent))
	}
	return limits
}

// narrow returns the bounds that also keep the difference between low and high.
func (b bounds) narrow(low, high time.Duration) bounds {
	if !b.known {
		return bounds{low, high, true}
	}
	return bounds{max(b.low, low), min(b.high, high), true}
}

// smallest returns the smallest difference within the bounds.
func (b bounds) smallest() time.Duration {
	switch {
	case b.low > b.high:
		return (b.low + b.high) / 2 // the clock has jumped in between
	case b.low > 0:
		return b.low
	case b.high < 0:
		return b.high
	}
	return 0
}
