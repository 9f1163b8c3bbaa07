package member

import (
	"time"

	"chicorymast/core/ident"
)

// View is what a daemon knows of the members through one relay after another.
// A relay that is new to the daemon may itself have heard less, or later, than
// the one before it. So what the last one said is kept for one lease where the
// present one says nothing, or something older.
//
// A View is not safe for concurrent use.
type View struct {
	lease   time.Duration
	present map[ident.VM]Entry
	former  map[ident.VM]remembered
}

// remembered is what a relay said that is no longer asked.
type remembered struct {
	entry Entry
	until time.Time
}

// NewView returns a view that knows nobody.
func NewView(lease time.Duration) *View {
	return &View{lease: lease, present: map[ident.VM]Entry{}, former: map[ident.VM]remembered{}}
}

// Update adds what a relay says; whole is set when that is all that it knows. It
// reports whether the view may have changed.
func (v *View) Update(now time.Time, whole bool, entries []Entry) (changed bool) {
	lapsed := v.lapse(now)
	if whole {
		v.remember(now)
		v.present = make(map[ident.VM]Entry, len(entries))
	}
	for _, e := range entries {
		v.present[e.VM] = e
		v.dropGone(e.VM)
	}
	return whole || lapsed || len(entries) > 0
}

// lapse forgets what only former relays said for too long.
func (v *View) lapse(now time.Time) (some bool) {
	for vm, m := range v.former {
		if now.After(m.until) {
			delete(v.former, vm)
			v.dropGone(vm)
			some = true
		}
	}
	return some
}

// dropGone forgets that a VM is gone once no older word about it is left.
func (v *View) dropGone(vm ident.VM) {
	if _, known := v.former[vm]; !known && v.present[vm].Phase == PhaseGone {
		delete(v.present, vm)
	}
}

// remember keeps what the present relay said for one lease; what stands there
// from relays before it keeps its time.
func (v *View) remember(now time.Time) {
	for vm, e := range v.present {
		if have, known := v.former[vm]; known && have.entry.Version > e.Version {
			continue
		}
		v.former[vm] = remembered{entry: e, until: now.Add(v.lease)}
	}
}

// Entries returns the members that are not gone: of two words about one VM the
// one with the higher version counts, of equal ones the present relay's.
func (v *View) Entries() []Entry {
	out := make([]Entry, 0, max(len(v.present), len(v.former)))
	for vm, e := range v.present {
		if m, known := v.former[vm]; known && m.entry.Version > e.Version {
			e = m.entry
		}
		out = appendLive(out, e)
	}
	for vm, m := range v.former {
		if _, known := v.present[vm]; !known {
			out = appendLive(out, m.entry)
		}
	}
	return out
}

func appendLive(entries []Entry, e Entry) []Entry {
	if e.Phase == PhaseGone {
		return entries
	}
	return append(entries, e)
}
