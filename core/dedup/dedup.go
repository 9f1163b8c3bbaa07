// Package dedup keeps work that isn't idempotent from running twice: one
// record for each action of a workspace.
//
// # Usage
//
//	t := dedup.New(dedup.DefaultKeep, dedup.DefaultBytes)
//	switch v := t.Begin(now, id, fingerprint).(type) {
//	case dedup.Run:      // the first; run it, then call Finish or Abandon
//	case dedup.Replay:   // done before; give v.Answer again
//	case dedup.Join:     // running now; wait for it
//	case dedup.Conflict: // the same id with another content
//	case dedup.Unknown:  // it may have run; never run it again
//	}
//
// A Table is pure and not safe for concurrent use. Records live for the keep
// time after their end; answers beyond the byte limit are forgotten, oldest
// first, and their actions then count as unknown.
package dedup

import (
	"time"

	"chicorymast/core/ident"
)

// Defaults of a table.
const (
	DefaultKeep  = 10 * time.Minute
	DefaultBytes = 64 << 20 // bytes of kept answers
)

// ID names an action within its workspace and route.
type ID struct {
	Workspace ident.Workspace
	Action    ident.ActionID
}

// Fingerprint identifies the content of a request.
type Fingerprint string

// Answer is a whole answer, kept to be given again.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Verdict says what to do with a request. The set is sealed.
type Verdict interface{ isVerdict() }

// Run asks to run the action; it is the first with its id.
type Run struct{}

// Replay gives the answer of the run that is done.
type Replay struct{ Answer Answer }

// Join asks to wait for the run that is under way.
type Join struct{}

// Conflict says that the id was used for another content.
type Conflict struct{}

// Unknown says that an earlier run may have happened.
type Unknown struct{}

func (Run) isVerdict()      {}
func (Replay) isVerdict()   {}
func (Join) isVerdict()     {}
func (Conflict) isVerdict() {}
func (Unknown) isVerdict()  {}

type phase string

const (
	phaseRunning phase = "running"
	phaseDone    phase = "done"
	phaseUnknown phase = "unknown"
)

type record struct {
	phase  phase
	print  Fingerprint
	answer Answer
	ended  time.Time
}

// Table holds the records of one daemon.
type Table struct {
	keep    time.Duration
	limit   int
	bytes   int
	records map[ID]*record
	ended   []ID
}

// New returns an empty table.
func New(keep time.Duration, limit int) *Table {
	return &Table{keep: keep, limit: limit, records: map[ID]*record{}}
}

// Begin judges a request.
func (t *Table) Begin(now time.Time, id ID, fp Fingerprint) Verdict {
	t.expire(now)
	r := t.records[id]
	if r == nil {
		t.records[id] = &record{phase: phaseRunning, print: fp}
		return Run{}
	}
	if r.print != fp {
		return Conflict{}
	}
	switch r.phase {
	case phaseDone:
		return Replay{Answer: r.answer}
	case phaseRunning:
		return Join{}
	default:
		return Unknown{}
	}
}

// Finish keeps the whole answer of a run.
func (t *Table) Finish(now time.Time, id ID, a Answer) {
	r := t.records[id]
	if r == nil || r.phase != phaseRunning {
		return
	}
	r.phase, r.answer, r.ended = phaseDone, a, now
	t.bytes += len(a.Body)
	t.ended = append(t.ended, id)
	t.shrink()
}

// Abandon ends a run without a good answer. A run that is proved not to have
// happened leaves no record, so the action may be tried again.
func (t *Table) Abandon(now time.Time, id ID, notRun bool) {
	r := t.records[id]
	if r == nil || r.phase != phaseRunning {
		return
	}
	if notRun {
		delete(t.records, id)
		return
	}
	r.phase, r.ended = phaseUnknown, now
	t.ended = append(t.ended, id)
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

func (t *Table) expire(now time.Time) {
	for len(t.ended) > 0 {
		id := t.ended[0]
		r := t.records[id]
		if r != nil && now.Sub(r.ended) < t.keep {
			return
		}
		if r != nil {
			t.bytes -= len(r.answer.Body)
			delete(t.records, id)
		}
		t.ended = t.ended[1:]
	}
}

func (t *Table) shrink() {
	for _, id := range t.ended {
		if t.bytes <= t.limit {
			return
		}
		r := t.records[id]
		if r == nil || r.phase != phaseDone {
			continue
		}
		t.bytes -= len(r.answer.Body)
		r.answer = Answer{}
		r.phase = phaseUnknown
	}
}
