// Package poison detects requests that crash the upstreams that run them.
//
// # Usage
//
//	t := poison.New()
//	t.RecordCrash(now, fingerprint) // the upstream crashed while running it
//	t.RecordResponse(fingerprint)   // a request with this content got a response
//	counts := t.CrashCounts(now)    // announced to the fleet
//	if t.Crashes(now, fingerprint)+crashesElsewhere >= poison.CrashesToSuspect { ... }
//
// A request is suspected after two crashes anywhere in the fleet. A request that
// was only running at the time of a crash is cleared when it is retried and
// completed. Crash counts expire. A Table does no I/O and is not safe for
// concurrent use.
package poison

import (
	"slices"
	"strings"
	"time"
)

// Fingerprint identifies the content of a request.
type Fingerprint string

// CrashCount is the number of crashes at one daemon while a request was running.
type CrashCount struct {
	Fingerprint Fingerprint `json:"print"`
	Crashes     int         `json:"crashes"`
}

const (
	// CrashesToSuspect is the number of crashes after which a request is suspected.
	CrashesToSuspect = 2
	// CrashRetention is how long a crash counts.
	CrashRetention = time.Minute
	// maxEntries limits the requests in a table and so in an announcement.
	maxEntries = 64
)

type entry struct {
	crashes int
	last    time.Time
}

// Table holds the crashes seen by one daemon.
type Table struct {
	entries map[Fingerprint]entry
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[Fingerprint]entry{}}
}

// RecordCrash counts a crash during which a request was running. If the table is
// full, the oldest entry is removed.
func (t *Table) RecordCrash(now time.Time, f Fingerprint) {
	t.expire(now)
	e := t.entries[f]
	if e.crashes == 0 && len(t.entries) >= maxEntries {
		t.dropOldest()
	}
	t.entries[f] = entry{crashes: e.crashes + 1, last: now}
}

// RecordResponse clears a request that has run without a crash. It reports
// whether the request had any crashes.
func (t *Table) RecordResponse(f Fingerprint) bool {
	if len(t.entries) == 0 {
		return false
	}
	_, found := t.entries[f]
	delete(t.entries, f)
	return found
}

// CrashCounts returns the counts to announce, sorted by fingerprint.
func (t *Table) CrashCounts(now time.Time) []CrashCount {
	t.expire(now)
	counts := make([]CrashCount, 0, len(t.entries))
	for f, e := range t.entries {
		counts = append(counts, CrashCount{Fingerprint: f, Crashes: e.crashes})
	}
	slices.SortFunc(counts, func(a, b CrashCount) int { return strings.Compare(string(a.Fingerprint), string(b.Fingerprint)) })
	return counts
}

// Crashes returns the number of crashes that this daemon saw for a request.
func (t *Table) Crashes(now time.Time, f Fingerprint) int {
	t.expire(now)
	return t.entries[f].crashes
}

func (t *Table) expire(now time.Time) {
	for f, e := range t.entries {
		if now.Sub(e.last) > CrashRetention {
			delete(t.entries, f)
		}
	}
}

func (t *Table) dropOldest() {
	var oldest Fingerprint
	for f, e := range t.entries {
		if oldest == "" || e.last.Before(t.entries[oldest].last) {
			oldest = f
		}
	}
	delete(t.entries, oldest)
}
