// Package poison recognises requests that crash the upstreams that run them.
//
// # Usage
//
//	t := poison.New()
//	t.Crashed(now, print)          // a call with this content met a crash
//	t.Answered(print)              // a call with this content was answered
//	marks := t.Marks(now)          // announced to the fleet
//	if table.Crashes(now, print)+marksOfOthers >= poison.CrashesToSuspect { ... }
//
// A request is suspected after two crashes anywhere in the fleet. One that
// was only running beside it is tried again, answered, and cleared by that.
// Marks end by themselves. A Table is pure and not safe for concurrent use.
package poison

import (
	"slices"
	"strings"
	"time"
)

// Fingerprint identifies the content of a request.
type Fingerprint string

// CrashCount says how many crashes a request met at one daemon.
type CrashCount struct {
	Fingerprint Fingerprint `json:"print"`
	Crashes     int         `json:"crashes"`
}

const (
	// CrashesToSuspect is how many crashes make a request suspect.
	CrashesToSuspect = 2
	// CrashRetention is how long a crash counts.
	CrashRetention = time.Minute
	// mostMarks bounds what one daemon announces.
	mostMarks = 64
)

type entry struct {
	crashes int
	last    time.Time
}

// Table holds what one daemon has seen.
type Table struct {
	entries map[Fingerprint]entry
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[Fingerprint]entry{}}
}

// RecordCrash counts a crash that a request met. When the table is full, the
// oldest mark gives way.
func (t *Table) RecordCrash(now time.Time, p Fingerprint) {
	t.expire(now)
	e := t.entries[p]
	if e.crashes == 0 && len(t.entries) >= mostMarks {
		t.dropOldest()
	}
	t.entries[p] = entry{crashes: e.crashes + 1, last: now}
}

// RecordResponse clears a request: it has run without a crash. It reports whether
// the request was marked.
func (t *Table) RecordResponse(p Fingerprint) bool {
	if len(t.entries) == 0 {
		return false
	}
	_, marked := t.entries[p]
	delete(t.entries, p)
	return marked
}

// CrashCounts returns what to announce, in a stable order.
func (t *Table) CrashCounts(now time.Time) []CrashCount {
	t.expire(now)
	marks := make([]CrashCount, 0, len(t.entries))
	for p, e := range t.entries {
		marks = append(marks, CrashCount{Fingerprint: p, Crashes: e.crashes})
	}
	slices.SortFunc(marks, func(a, b CrashCount) int { return strings.Compare(string(a.Fingerprint), string(b.Fingerprint)) })
	return marks
}

// Crashes returns how many crashes of a request were seen here.
func (t *Table) Crashes(now time.Time, p Fingerprint) int {
	t.expire(now)
	return t.entries[p].crashes
}

func (t *Table) expire(now time.Time) {
	for p, e := range t.entries {
		if now.Sub(e.last) > CrashRetention {
			delete(t.entries, p)
		}
	}
}

func (t *Table) dropOldest() {
	var oldest Fingerprint
	for p, e := range t.entries {
		if oldest == "" || e.last.Before(t.entries[oldest].last) {
			oldest = p
		}
	}
	delete(t.entries, oldest)
}
