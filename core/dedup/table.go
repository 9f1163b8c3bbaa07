package dedup

import "time"

type record struct {
	phase  Phase
	print  Fingerprint
	runner RunID
	answer Response
	// until is when a running action becomes unknown, or an ended one is
	// forgotten.
	until time.Time
}

// Table holds the records of one replica.
type Table struct {
	keep    time.Duration
	limit   int
	bytes   int
	records map[ID]*record
	// ended lists the actions that ended, oldest first.
	ended []ID
}

// NewTable returns an empty table.
func NewTable(keep time.Duration, limit int) *Table {
	return &Table{keep: keep, limit: limit, records: map[ID]*record{}}
}

// Begin grants a claim or says what is held. Asked again by the same runner
// it grants again.
func (t *Table) Begin(now time.Time, c Claim) Reply {
	t.expire(now)
	r := t.records[c.ID]
	if r == nil {
		until := now.Add(time.Duration(c.TimeoutMs) * time.Millisecond)
		t.records[c.ID] = &record{phase: PhaseRunning, print: c.Fingerprint, runner: c.RunID, until: until}
		return Reply{Granted: true}
	}
	t.lapse(now, c.ID, r)
	if r.phase == PhaseRunning && r.runner == c.RunID {
		return Reply{Granted: true}
	}
	held := r.export(c.ID, now)
	return Reply{Held: &held}
}

// lapse makes a run unknown that did not report its end in time.
func (t *Table) lapse(now time.Time, id ID, r *record) {
	if r.phase == PhaseRunning && !now.Before(r.until) {
		t.finish(now, id, r, PhaseUnknown, Response{})
	}
}

// Release takes back a claim that did not reach a majority; it has not run.
func (t *Table) Release(id ID, runner RunID) {
	if r := t.records[id]; r != nil && r.phase == PhaseRunning && r.runner == runner {
		delete(t.records, id)
	}
}

// End records the outcome of a run. A replica that does not know the run
// learns of it.
func (t *Table) End(now time.Time, id ID, fp Fingerprint, runner RunID, phase Phase, a Response) {
	t.expire(now)
	r := t.records[id]
	if r == nil {
		r = &record{phase: PhaseRunning, print: fp, runner: runner}
		t.records[id] = r
	}
	if r.runner != runner || r.phase == PhaseDone {
		return
	}
	t.finish(now, id, r, phase, a)
}

func (t *Table) finish(now time.Time, id ID, r *record, phase Phase, a Response) {
	if r.phase == PhaseRunning {
		t.ended = append(t.ended, id)
	}
	r.phase, r.answer, r.until = phase, a, now.Add(t.keep)
	t.bytes += len(a.Body)
	t.shrink()
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Records returns all records.
func (t *Table) Records(now time.Time) []Record {
	t.expire(now)
	records := make([]Record, 0, len(t.records))
	for id, r := range t.records {
		records = append(records, r.export(id, now))
	}
	return records
}

func (r *record) export(id ID, now time.Time) Record {
	return Record{
		ID: id, Phase: r.phase, Fingerprint: r.print, RunID: r.runner, Response: r.answer,
		RemainingMs: max(0, r.until.Sub(now).Milliseconds()),
	}
}

// Merge adds records copied from another replica. What is known of an end
// wins over a run that is under way; two different runs under way are both
// doubtful, so the action counts as unknown.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, in := range records {
		t.add(now, in)
	}
}

func (t *Table) add(now time.Time, in Record) {
	until := now.Add(time.Duration(in.RemainingMs) * time.Millisecond)
	have := t.records[in.ID]
	if have == nil {
		t.records[in.ID] = &record{phase: in.Phase, print: in.Fingerprint, runner: in.RunID, answer: in.Response, until: until}
		t.bytes += len(in.Response.Body)
		if in.Phase != PhaseRunning {
			t.ended = append(t.ended, in.ID)
		}
		return
	}
	switch {
	case in.Phase == PhaseDone && have.phase != PhaseDone:
		t.finish(now, in.ID, have, PhaseDone, in.Response)
	case in.Phase == PhaseUnknown && have.phase == PhaseRunning:
		t.finish(now, in.ID, have, PhaseUnknown, Response{})
	case in.Phase == PhaseRunning && have.phase == PhaseRunning && have.runner != in.RunID:
		t.finish(now, in.ID, have, PhaseUnknown, Response{})
	}
}

// expire forgets what ended longer than the keep time ago.
func (t *Table) expire(now time.Time) {
	for len(t.ended) > 0 {
		id := t.ended[0]
		r := t.records[id]
		if r != nil && r.phase != PhaseRunning && now.Before(r.until) {
			return
		}
		if r != nil && r.phase != PhaseRunning {
			t.bytes -= len(r.answer.Body)
			delete(t.records, id)
		}
		t.ended = t.ended[1:]
	}
}

// shrink drops the oldest answers beyond the byte limit; that the actions are
// done stays known.
func (t *Table) shrink() {
	for _, id := range t.ended {
		if t.bytes <= t.limit {
			return
		}
		if r := t.records[id]; r != nil && r.answer.Stored {
			t.bytes -= len(r.answer.Body)
			r.answer = Response{}
		}
	}
}
