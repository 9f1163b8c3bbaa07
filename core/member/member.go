// Package member is the directory of daemons and the upstreams beside them.
// Each VM speaks for itself with a version that only grows; copies merge by
// the higher version, so gossip may repeat, reorder and lose messages.
//
// # Usage
//
//	dir := member.New(member.DefaultLease)
//	dir.Announce(now, entry)                 // heard from the VM itself
//	delta := dir.Since(version)              // for another relay or daemon
//	dir.Merge(now, delta.Entries)            // heard from a relay
//	dir.Expire(now)                          // drops what nobody renewed
//
// Ages, not clock readings, travel between VMs: an entry says for how long
// it has not been renewed. A Directory is not safe for concurrent use.
package member

import (
	"cmp"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/poison"
)

// DefaultLease is how long an entry lives without renewal.
const DefaultLease = 3 * time.Second

// Phase says whether an upstream takes new work.
type Phase string

// The phases of an announced upstream.
const (
	PhaseUp       Phase = "up"
	PhaseDraining Phase = "draining"
	PhaseGone     Phase = "gone"
)

// Addresses are where a daemon listens, as IP:port.
type Addresses struct {
	Peer    string `json:"peer"`
	Control string `json:"control"`
}

// Upstream describes the upstream beside a daemon.
type Upstream struct {
	Service ident.Service  `json:"service"`
	ID      ident.Upstream `json:"upstream"`
	Slots   int            `json:"slots"`
	// WarmupMs is how much longer the upstream is slow, as of the announcement.
	WarmupMs int64 `json:"cold_ms,omitempty"`
	Phase    Phase `json:"phase"`
}

// Entry is what one VM says of itself.
type Entry struct {
	VM         ident.VM         `json:"vm"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Addresses  Addresses        `json:"addresses"`
	Upstream   *Upstream        `json:"served,omitempty"`
	Phase      Phase            `json:"phase"`
	// Relay is set while other daemons announce themselves to this one.
	Relay bool `json:"relay,omitempty"`
	// Control is set for a daemon that keeps the configuration.
	Control bool `json:"control,omitempty"`
	// Crashes are requests that met crashes of upstreams, as seen by the VM.
	Crashes []poison.CrashCount `json:"crashes,omitempty"`
	// Version orders the announcements of one VM; it starts at the VM's start
	// time, so that a restarted daemon is newer than its earlier life.
	Version uint64 `json:"version"`
	// Revision is the configuration that the VM has in force.
	Revision ident.Revision `json:"revision"`
	AgeMs    int64          `json:"age_ms"`
}

type record struct {
	entry   Entry
	renewed time.Time
	// change is the directory's own counter at the last change of content.
	change uint64
}

// journalEntry says which VM a change concerned.
type journalEntry struct {
	change uint64
	vm     ident.VM
}

// journalLength is how many changes are found without looking at all entries.
const journalLength = 4096

// Directory holds the entries that one VM knows.
type Directory struct {
	lease   time.Duration
	records map[ident.VM]*record
	change  uint64
	// journal lists the last changes, oldest first.
	journal []journalEntry
	// evicted counts the entries marked gone since windowAt.
	evicted  int
	windowAt time.Time
}

// New returns an empty directory.
func New(lease time.Duration) *Directory {
	return &Directory{lease: lease, records: map[ident.VM]*record{}}
}

// Announce takes an entry from the VM itself, or from one that speaks for it.
// It reports whether the content changed.
func (d *Directory) Announce(now time.Time, e Entry) (changed bool) {
	heard := now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
	have := d.records[e.VM]
	if have == nil {
		d.put(e, heard)
		return true
	}
	if e.Version < have.entry.Version {
		return false
	}
	if e.Version > have.entry.Version {
		d.put(e, heard)
		return true
	}
	have.entry.Revision = max(have.entry.Revision, e.Revision)
	if !heard.After(have.renewed) {
		return false
	}
	have.renewed = heard
	if have.entry.Phase == PhaseGone && e.Phase != PhaseGone && now.Sub(heard) <= d.lease {
		d.put(e, heard)
		return true
	}
	return false
}

func (d *Directory) put(e Entry, heard time.Time) {
	d.note(e.VM)
	e.AgeMs = 0
	d.records[e.VM] = &record{entry: e, renewed: heard, change: d.change}
}

// Merge announces several entries and counts the changes.
func (d *Directory) Merge(now time.Time, entries []Entry) (changed int) {
	for _, e := range entries {
		if d.Announce(now, e) {
			changed++
		}
	}
	return changed
}

// Expire marks entries that were not renewed within the lease as gone and
// forgets those that have been gone for ten leases. It counts the new ones.
// When many lapse together, the fault is more likely on the way than at all
// of them, so only a part of all is marked within one lease, oldest first.
func (d *Directory) Expire(now time.Time) (expired int) {
	const forgetAfter = 10
	var lapsed []*record
	for vm, r := range d.records {
		age := now.Sub(r.renewed)
		if age > forgetAfter*d.lease {
			delete(d.records, vm)
			continue
		}
		if age > d.lease && r.entry.Phase != PhaseGone {
			lapsed = append(lapsed, r)
		}
	}
	slices.SortFunc(lapsed, func(a, b *record) int { return a.renewed.Compare(b.renewed) })
	for _, r := range lapsed[:min(len(lapsed), d.evictable(now))] {
		d.note(r.entry.VM)
		r.change = d.change
		r.entry.Phase = PhaseGone
		d.evicted++
		expired++
	}
	return expired
}

const (
	// evictShare of all entries may be marked gone within one lease.
	evictShare = 0.2
	// evictLeast may always be.
	evictLeast = 3
)

// evictable returns how many entries may be marked gone at the moment.
func (d *Directory) evictable(now time.Time) int {
	if now.Sub(d.windowAt) > d.lease {
		d.windowAt, d.evicted = now, 0
	}
	most := max(evictLeast, int(evictShare*float64(len(d.records))))
	return max(0, most-d.evicted)
}

// LastChange returns the counter that Since compares with; it grows with every
// change of content.
func (d *Directory) LastChange() uint64 {
	return d.change
}

// HasOther reports whether a VM other than the given one takes part.
func (d *Directory) HasOther(self ident.VM) bool {
	for vm, r := range d.records {
		if vm != self && r.entry.Phase != PhaseGone {
			return true
		}
	}
	return false
}

// Get returns the entry of a VM.
func (d *Directory) Get(vm ident.VM) (Entry, bool) {
	r := d.records[vm]
	if r == nil {
		return Entry{}, false
	}
	return r.entry, true
}

// Entries returns all entries with their ages.
func (d *Directory) Entries(now time.Time) []Entry {
	return d.collect(now, func(*record) bool { return true })
}

// Since returns the entries whose content changed after the given counter.
func (d *Directory) Since(now time.Time, change uint64) []Entry {
	if len(d.journal) == 0 || d.journal[0].change > change+1 {
		return d.collect(now, func(r *record) bool { return r.change > change })
	}
	first, _ := slices.BinarySearchFunc(d.journal, change+1, func(e journalEntry, n uint64) int { return cmp.Compare(e.change, n) })
	entries := []Entry{}
	for _, e := range d.journal[first:] {
		// Of several changes of one VM only the last stands in its record.
		if r := d.records[e.vm]; r != nil && r.change == e.change {
			entries = append(entries, r.export(now))
		}
	}
	return entries
}

// note counts a change.
func (d *Directory) note(vm ident.VM) {
	d.change++
	d.journal = append(d.journal, journalEntry{d.change, vm})
	if len(d.journal) > 2*journalLength {
		d.journal = slices.Clone(d.journal[journalLength:])
	}
}

func (d *Directory) collect(now time.Time, keep func(*record) bool) []Entry {
	entries := []Entry{}
	for _, r := range d.records {
		if !keep(r) {
			continue
		}
		entries = append(entries, r.export(now))
	}
	return entries
}

func (r *record) export(now time.Time) Entry {
	e := r.entry
	e.AgeMs = max(0, now.Sub(r.renewed).Milliseconds())
	return e
}
