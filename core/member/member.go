// Package member is the directory of daemons and their local upstreams. Each
// VM publishes its own entry under a version that only increases. Merging keeps
// the higher version, so gossip messages may be repeated, reordered or lost.
//
// # Usage
//
//	dir := member.New(member.DefaultLease)
//	dir.Announce(now, entry)              // received from the VM itself
//	changed := dir.Since(now, lastChange) // for another relay or daemon
//	dir.Merge(now, changed)               // received from a relay
//	dir.Expire(now)                       // marks entries with a lapsed lease as gone
//
// Entries carry the age of their last renewal instead of a timestamp, because
// VM clocks are not assumed to be synchronised. A Directory is not safe for
// concurrent use.
package member

import (
	"cmp"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/notice"
	"chicorymast/core/poison"
	"chicorymast/core/tenure"
)

// DefaultLease is how long an entry stays valid without renewal.
const DefaultLease = 3 * time.Second

// Phase says whether a daemon or an upstream accepts new calls.
type Phase string

// The phases of a daemon or an upstream.
const (
	PhaseUp       Phase = "up"
	PhaseDraining Phase = "draining"
	PhaseGone     Phase = "gone"
)

// Addresses are the IP:port addresses that a daemon listens on.
type Addresses struct {
	Peer    string `json:"peer"`
	Control string `json:"control"`
}

// Upstream is a daemon's local upstream as announced.
type Upstream struct {
	Service ident.Service  `json:"service"`
	ID      ident.Upstream `json:"upstream"`
	// StartedMs is the start time of its process in Unix milliseconds, zero if unknown.
	StartedMs int64 `json:"started_ms,omitempty"`
	Slots     int   `json:"slots"`
	// WarmupMs is the rest of the upstream's warm-up time at the announcement.
	WarmupMs int64 `json:"cold_ms,omitempty"`
	Phase    Phase `json:"phase"`
}

// MaxSlots is the largest number of slots of an upstream. It is far above the concurrency
// of any process; a larger number would outweigh all other upstreams of the service.
const MaxSlots = 1 << 20

// Usable reports whether the upstream can be weighed against others, whatever daemon has
// accepted its announcement.
func (u Upstream) Usable() bool {
	return u.Slots >= 0 && u.Slots <= MaxSlots
}

// Process returns which process the upstream is.
func (u Upstream) Process() notice.Process {
	return notice.Process{Upstream: u.ID, StartedMs: u.StartedMs}
}

// Entry is the state that one VM announces.
type Entry struct {
	VM         ident.VM         `json:"vm"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Addresses  Addresses        `json:"addresses"`
	Upstream   *Upstream        `json:"served,omitempty"`
	Phase      Phase            `json:"phase"`
	// Relay is set while the daemon receives the announcements of others.
	Relay bool `json:"relay,omitempty"`
	// Control is set for a control daemon, which stores the configuration.
	Control bool `json:"control,omitempty"`
	// Crashes are the requests during which the VM saw upstreams crash.
	Crashes []poison.CrashCount `json:"crashes,omitempty"`
	// Departures are the processes of upstreams that have left the VM. Relays return them
	// to a daemon that has restarted.
	Departures []tenure.Departure `json:"departures,omitempty"`
	// Version orders the announcements of one VM. It starts at the daemon's
	// start time, so that a restarted daemon supersedes its former entries.
	Version uint64 `json:"version"`
	// Revision is the configuration in force on the VM.
	Revision ident.Revision `json:"revision"`
	// AgeMs is the time since the last renewal.
	AgeMs int64 `json:"age_ms"`
}

type record struct {
	entry   Entry
	renewed time.Time
	// change is the directory's change counter when the content last changed.
	change uint64
}

// journalEntry records which VM's entry a change affected.
type journalEntry struct {
	change uint64
	vm     ident.VM
}

// journalLength is how many of the latest changes Since finds without a scan of
// all entries.
const journalLength = 4096

// Directory holds the entries known to one VM.
type Directory struct {
	lease   time.Duration
	records map[ident.VM]*record
	change  uint64
	// journal lists the latest changes, oldest first.
	journal []journalEntry
	// evicted counts the entries marked as gone since windowStart.
	evicted     int
	windowStart time.Time
}

// New returns an empty directory.
func New(lease time.Duration) *Directory {
	return &Directory{lease: lease, records: map[ident.VM]*record{}}
}

// Announce stores an entry from its VM or from a relay unless a newer version
// is known. It reports whether the content changed.
func (d *Directory) Announce(now time.Time, e Entry) (changed bool) {
	renewedAt := now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
	existing := d.records[e.VM]
	if existing == nil {
		d.put(e, renewedAt)
		return true
	}
	if e.Version < existing.entry.Version {
		return false
	}
	if e.Version > existing.entry.Version {
		d.put(e, renewedAt)
		return true
	}
	if e.Phase == PhaseGone && existing.entry.Phase != PhaseGone {
		// A VM announces each version to one relay only, so that relay knows.
		d.put(e, renewedAt)
		return true
	}
	existing.entry.Revision = max(existing.entry.Revision, e.Revision)
	if !renewedAt.After(existing.renewed) {
		return false
	}
	existing.renewed = renewedAt
	if existing.entry.Phase == PhaseGone && e.Phase != PhaseGone && now.Sub(renewedAt) <= d.lease {
		d.put(e, renewedAt)
		return true
	}
	return false
}

func (d *Directory) put(e Entry, renewedAt time.Time) {
	d.recordChange(e.VM)
	e.AgeMs = 0
	d.records[e.VM] = &record{entry: e, renewed: renewedAt, change: d.change}
}

// Merge calls Announce for each entry and returns the number of changes.
func (d *Directory) Merge(now time.Time, entries []Entry) (changed int) {
	for _, e := range entries {
		if d.Announce(now, e) {
			changed++
		}
	}
	return changed
}

// Expire marks entries that were not renewed within the lease as gone and
// deletes those not renewed for ten leases. It returns how many it marked.
// When many leases lapse together, a network fault is more likely than the
// failure of all these VMs, so only a share of all entries is marked within
// one lease, those with the oldest renewal first.
func (d *Directory) Expire(now time.Time) (expired int) {
	const deleteAfterLeases = 10
	var lapsed []*record
	for vm, r := range d.records {
		age := now.Sub(r.renewed)
		if age > deleteAfterLeases*d.lease {
			delete(d.records, vm)
			continue
		}
		if age > d.lease && r.entry.Phase != PhaseGone {
			lapsed = append(lapsed, r)
		}
	}
	slices.SortFunc(lapsed, func(a, b *record) int { return a.renewed.Compare(b.renewed) })
	for _, r := range lapsed[:min(len(lapsed), d.evictable(now))] {
		d.recordChange(r.entry.VM)
		r.change = d.change
		r.entry.Phase = PhaseGone
		d.evicted++
		expired++
	}
	return expired
}

const (
	// maxEvictShare is the share of all entries that may be marked as gone within
	// one lease.
	maxEvictShare = 0.2
	// minEvictions is how many entries may be marked even if that share is smaller.
	minEvictions = 3
)

// evictable returns how many more entries may be marked as gone in the present
// window.
func (d *Directory) evictable(now time.Time) int {
	if now.Sub(d.windowStart) > d.lease {
		d.windowStart, d.evicted = now, 0
	}
	limit := max(minEvictions, int(maxEvictShare*float64(len(d.records))))
	return max(0, limit-d.evicted)
}

// LastChange returns the number of the latest change of content, for Since.
func (d *Directory) LastChange() uint64 {
	return d.change
}

// Len returns the number of entries, those that are gone included.
func (d *Directory) Len() int {
	return len(d.records)
}

// HasOther reports whether a VM other than self is present and not gone.
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

// Entries returns all entries with their present ages.
func (d *Directory) Entries(now time.Time) []Entry {
	return d.collect(now, func(*record) bool { return true })
}

// Since returns the entries whose content changed after the given change number.
func (d *Directory) Since(now time.Time, change uint64) []Entry {
	if len(d.journal) == 0 || d.journal[0].change > change+1 {
		return d.collect(now, func(r *record) bool { return r.change > change })
	}
	first, _ := slices.BinarySearchFunc(d.journal, change+1, func(e journalEntry, n uint64) int { return cmp.Compare(e.change, n) })
	entries := []Entry{}
	for _, e := range d.journal[first:] {
		// A record holds only the latest of several changes.
		if r := d.records[e.vm]; r != nil && r.change == e.change {
			entries = append(entries, r.export(now))
		}
	}
	return entries
}

// recordChange adds a change to the journal.
func (d *Directory) recordChange(vm ident.VM) {
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
