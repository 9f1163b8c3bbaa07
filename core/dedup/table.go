package dedup

import "time"

type record struct {
	phase       Phase
	fingerprint Fingerprint
	runID       RunID
	response    Response
	// expires is when a running action becomes unknown or an ended one is deleted.
	expires time.Time
}

// Table stores the records of one replica.
type Table struct {
	retention time.Duration
	// maxBytes is the limit of storedBytes, the size of the stored responses.
	maxBytes    int
	storedBytes int
	records     map[ID]*record
	// ended lists the ended actions, oldest first.
	ended []ID
}

// NewTable returns an empty table that keeps records for the retention time after
// their end and at most maxBytes bytes of responses.
func NewTable(retention time.Duration, maxBytes int) *Table {
	return &Table{retention: retention, maxBytes: maxBytes, records: map[ID]*record{}}
}

// Begin grants a claim or returns the existing record. A repeated claim of the
// same run is granted again.
func (t *Table) Begin(now time.Time, c Claim) Reply {
	t.expireRecords(now)
	r := t.records[c.ID]
	if r == nil {
		expires := now.Add(time.Duration(c.TimeoutMs) * time.Millisecond)
		t.records[c.ID] = &record{phase: PhaseRunning, fingerprint: c.Fingerprint, runID: c.RunID, expires: expires}
		return Reply{Granted: true}
	}
	t.expireRun(now, c.ID, r)
	if r.phase == PhaseRunning && r.runID == c.RunID {
		return Reply{Granted: true}
	}
	held := r.export(c.ID, now)
	return Reply{Held: &held}
}

// expireRun sets the phase of a run to unknown if its end was not reported in time.
func (t *Table) expireRun(now time.Time, id ID, r *record) {
	if r.phase == PhaseRunning && !now.Before(r.expires) {
		t.finish(now, id, r, PhaseUnknown, Response{})
	}
}

// Release withdraws a claim for which the action has not run, such as one without
// a majority.
func (t *Table) Release(id ID, runID RunID) {
	if r := t.records[id]; r != nil && r.phase == PhaseRunning && r.runID == runID {
		delete(t.records, id)
	}
}

// End records the outcome of a run. A replica without a record of the run adds
// one.
func (t *Table) End(now time.Time, id ID, fp Fingerprint, runID RunID, phase Phase, response Response) {
	t.expireRecords(now)
	r := t.records[id]
	if r == nil {
		r = &record{phase: PhaseRunning, fingerprint: fp, runID: runID}
		t.records[id] = r
	}
	if r.runID != runID || r.phase == PhaseDone {
		return
	}
	t.finish(now, id, r, phase, response)
}

func (t *Table) finish(now time.Time, id ID, r *record, phase Phase, response Response) {
	if r.phase == PhaseRunning {
		t.ended = append(t.ended, id)
	}
	if !response.Stored {
		response.Header = nil // only a stored response is replayed
	}
	r.phase, r.response, r.expires = phase, response, now.Add(t.retention)
	t.storedBytes += response.size()
	t.dropOldResponses()
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Records returns all records, to be copied to another replica.
func (t *Table) Records(now time.Time) []Record {
	t.expireRecords(now)
	records := make([]Record, 0, len(t.records))
	for id, r := range t.records {
		records = append(records, r.export(id, now))
	}
	return records
}

func (r *record) export(id ID, now time.Time) Record {
	return Record{
		ID: id, Phase: r.phase, Fingerprint: r.fingerprint, RunID: r.runID, Response: r.response,
		RemainingMs: max(0, r.expires.Sub(now).Milliseconds()),
	}
}

// Merge adds records copied from another replica. The outcome of an ended run
// replaces a running phase, and done replaces unknown. If two different runs are
// recorded as running, neither is certain and the action becomes unknown.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, in := range records {
		t.mergeRecord(now, in)
	}
}

func (t *Table) mergeRecord(now time.Time, in Record) {
	expires := now.Add(time.Duration(in.RemainingMs) * time.Millisecond)
	existing := t.records[in.ID]
	if existing == nil {
		t.records[in.ID] = &record{phase: in.Phase, fingerprint: in.Fingerprint, runID: in.RunID, response: in.Response, expires: expires}
		t.storedBytes += in.Response.size()
		if in.Phase != PhaseRunning {
			t.ended = append(t.ended, in.ID)
		}
		return
	}
	switch {
	case in.Phase == PhaseDone && existing.phase != PhaseDone:
		t.finish(now, in.ID, existing, PhaseDone, in.Response)
	case in.Phase == PhaseUnknown && existing.phase == PhaseRunning:
		t.finish(now, in.ID, existing, PhaseUnknown, Response{})
	case in.Phase == PhaseRunning && existing.phase == PhaseRunning && existing.runID != in.RunID:
		t.finish(now, in.ID, existing, PhaseUnknown, Response{})
	}
}

// expireRecords deletes the records whose retention time is over.
func (t *Table) expireRecords(now time.Time) {
	for len(t.ended) > 0 {
		id := t.ended[0]
		r := t.records[id]
		if r != nil && r.phase != PhaseRunning && now.Before(r.expires) {
			return
		}
		if r != nil && r.phase != PhaseRunning {
			t.storedBytes -= r.response.size()
			delete(t.records, id)
		}
		t.ended = t.ended[1:]
	}
}

// lineBytes is the memory that a line of a header takes beside its bytes: an entry of a map, a
// slice, a name and a value.
const lineBytes = 128

// size returns the memory that a response takes.
func (r Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v) + lineBytes
		}
	}
	return n
}

// dropOldResponses drops the oldest stored responses above the byte limit. The records
// remain, so the actions still count as done.
func (t *Table) dropOldResponses() {
	for _, id := range t.ended {
		if t.storedBytes <= t.maxBytes {
			return
		}
		if r := t.records[id]; r != nil && r.response.Stored {
			t.storedBytes -= r.response.size()
			r.response = Response{}
		}
	}
}
