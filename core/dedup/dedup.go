// Package dedup prevents non-idempotent actions from running twice. Each action
// has a record at the replicas of one group. A run may start only once a majority
// of them has granted its claim.
//
// # Usage
//
//	t := dedup.NewTable(dedup.DefaultRetention, dedup.DefaultStoredBytes) // at a replica
//	reply := t.Begin(now, claim)
//	t.End(now, id, fingerprint, runID, phase, response)
//
//	v := dedup.NewVote(replicas, fingerprint)                             // at the caller
//	v.Add(reply)
//	switch d := v.Verdict(final).(type) { ... }
//
// A replica loses acknowledged records only by a restart. After a restart it takes
// no part until it has copied the records of a majority (see docs/DESIGN.md).
// A record is kept for the retention time after the end of the run. No type does
// I/O or is safe for concurrent use.
package dedup

import (
	"time"

	"chicorymast/core/ident"
)

// Defaults of a table.
const (
	DefaultRetention   = 10 * time.Minute
	DefaultStoredBytes = 32 << 20 // bytes of stored responses
)

// ID identifies an action within its workspace.
type ID struct {
	Workspace ident.Workspace `json:"workspace"`
	Action    ident.ActionID  `json:"action"`
}

// Fingerprint identifies the content of a request.
type Fingerprint string

// RunID identifies one run of an action.
type RunID string

// Response is a complete response, stored to be replayed. Stored is false if it was
// too large or has been dropped since.
type Response struct {
	Stored bool                `json:"kept"`
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Phase is the state of an action.
type Phase string

// The phases of an action.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
	PhaseUnknown Phase = "unknown"
)

// Record is a replica's record of one action.
type Record struct {
	ID          ID          `json:"id"`
	Phase       Phase       `json:"phase"`
	Fingerprint Fingerprint `json:"fingerprint"`
	RunID       RunID       `json:"runner"`
	Response    Response    `json:"answer"`
	// RemainingMs is, for a running action, the time until its phase becomes
	// unknown, and otherwise the time until the record expires.
	RemainingMs int64 `json:"left_ms"`
}

// Claim is a request to run an action.
type Claim struct {
	ID          ID          `json:"id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	RunID       RunID       `json:"runner"`
	// TimeoutMs is the maximum duration of the run.
	TimeoutMs int64 `json:"time_ms"`
}

// Reply is a replica's reply to a claim. If the claim is not granted, Held is the
// existing record.
type Reply struct {
	Granted bool    `json:"granted"`
	Held    *Record `json:"held,omitempty"`
}

// Verdict is the decision on a request. The set is sealed.
type Verdict interface{ isVerdict() }

// Run means that the action may run and that no other run can be granted.
type Run struct{}

// Replay means that the action is done; Response is its response, if still stored.
type Replay struct{ Response Response }

// Wait means that another run is in progress and its end should be awaited.
type Wait struct{}

// Conflict means that the action id was used for a request with other content.
type Conflict struct{}

// Unknown means that an earlier run may have had effects.
type Unknown struct{}

// Unreachable means that no majority of the replicas replied.
type Unreachable struct{}

func (Run) isVerdict()         {}
func (Replay) isVerdict()      {}
func (Wait) isVerdict()        {}
func (Conflict) isVerdict()    {}
func (Unknown) isVerdict()     {}
func (Unreachable) isVerdict() {}
