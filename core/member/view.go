package member

import (
	"time"

	"chicorymast/core/ident"
)

// View merges the members that a daemon learns from successive relays. After a
// change of relay the new one may have fewer or older entries than the one
// before. An entry from the former relay is therefore kept for one lease if the
// current relay lacks it or has an older version.
//
// A View is not safe for concurrent use.
type View struct {
	lease   time.Duration
	current map[ident.VM]Entry
	former  map[ident.VM]retainedEntry
}

// retainedEntry is an entry from a former relay.
type retainedEntry struct {
	entry   Entry
	expires time.Time
}

// NewView returns an empty view.
func NewView(lease time.Duration) *View {
	return &View{lease: lease, current: map[ident.VM]Entry{}, former: map[ident.VM]retainedEntry{}}
}

// Update adds entries from the current relay. If full is set, they are all that the
// relay has and replace its earlier ones. It reports whether the view may have
// changed.
func (v *View) Update(now time.Time, full bool, entries []Entry) (changed bool) {
	expired := v.expireFormer(now)
	if full {
		v.retain(now)
		v.current = make(map[ident.VM]Entry, len(entries))
	}
	for _, e := range entries {
		v.current[e.VM] = e
		v.dropGone(e.VM)
	}
	return full || expired || len(entries) > 0
}

// expireFormer deletes entries from former relays once their time is over.
func (v *View) expireFormer(now time.Time) (expired bool) {
	for vm, retained := range v.former {
		if now.After(retained.expires) {
			delete(v.former, vm)
			v.dropGone(vm)
			expired = true
		}
	}
	return expired
}

// dropGone deletes the current relay's entry of a VM that is gone. While a former
// relay's entry of the VM remains, both stay; otherwise Entries would return the
// former one, in which the VM may not be gone yet.
func (v *View) dropGone(vm ident.VM) {
	if _, known := v.former[vm]; !known && v.current[vm].Phase == PhaseGone {
		delete(v.current, vm)
	}
}

// retain keeps the current relay's entries for one lease. An entry from an
// earlier relay with a higher version stays and keeps its expiry.
func (v *View) retain(now time.Time) {
	for vm, e := range v.current {
		if retained, known := v.former[vm]; known && retained.entry.Version > e.Version {
			continue
		}
		v.former[vm] = retainedEntry{entry: e, expires: now.Add(v.lease)}
	}
}

// Entries returns the members that are not gone. Of two entries of one VM the
// higher version wins; at equal versions the current relay's does.
func (v *View) Entries() []Entry {
	out := make([]Entry, 0, max(len(v.current), len(v.former)))
	for vm, e := range v.current {
		if retained, known := v.former[vm]; known && retained.entry.Version > e.Version {
			e = retained.entry
		}
		out = appendLive(out, e)
	}
	for vm, retained := range v.former {
		if _, known := v.current[vm]; !known {
			out = appendLive(out, retained.entry)
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
