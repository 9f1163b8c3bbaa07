// Package dedup keeps work that isn't idempotent from running twice. Each
// action has a record at a group of replicas; it runs only when a majority of
// them holds the record for this run and no other.
//
// # Usage
//
//	t := dedup.NewTable(dedup.DefaultKeep, dedup.DefaultBytes)  // at a replica
//	reply := t.Begin(now, claim)
//	t.End(now, id, runner, outcome)
//
//	v := dedup.NewVote(replicas)                                // at the caller
//	v.Add(reply)
//	switch d := v.Decision(final).(type) { ... }
//
// A replica never forgets what it acknowledged, except by restarting; one that
// restarted takes no part until it has copied the records of a majority (see
// docs/DESIGN.md). Records live for the keep time after their end. All types
// are pure and not safe for concurrent use.
package dedup

import (
	"time"

	"chicorymast/core/ident"
)

// Defaults of a table.
const (
	DefaultRetention   = 10 * time.Minute
	DefaultStoredBytes = 32 << 20 // bytes of kept answers
)

// ID names an action within its workspace.
type ID struct {
	Workspace ident.Workspace `json:"workspace"`
	Action    ident.ActionID  `json:"action"`
}

// Fingerprint identifies the content of a request.
type Fingerprint string

// RunID names one attempt to run an action.
type RunID string

// Response is a whole answer, kept to be given again. Kept is false when it was
// too large.
type Response struct {
	Stored bool                `json:"kept"`
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Phase says what is known of an action.
type Phase string

// The phases of an action.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
	PhaseUnknown Phase = "unknown"
)

// Record is what a replica holds of one action.
type Record struct {
	ID          ID          `json:"id"`
	Phase       Phase       `json:"phase"`
	Fingerprint Fingerprint `json:"fingerprint"`
	RunID       RunID       `json:"runner"`
	Response    Response    `json:"answer"`
	// RemainingMs is, for a running action, after how long it counts as unknown;
	// for the others, how long the record is kept.
	RemainingMs int64 `json:"left_ms"`
}

// Claim asks to run an action.
type Claim struct {
	ID          ID          `json:"id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	RunID       RunID       `json:"runner"`
	// TimeoutMs is how long the run may take.
	TimeoutMs int64 `json:"time_ms"`
}

// Reply is a replica's answer to a claim: granted, or what it holds instead.
type Reply struct {
	Granted bool    `json:"granted"`
	Held    *Record `json:"held,omitempty"`
}

// Verdict says what to do with a request. The set is sealed.
type Verdict interface{ isVerdict() }

// Run asks to run the action; nobody else runs it.
type Run struct{}

// Replay gives the answer of the run that is done.
type Replay struct{ Response Response }

// Wait asks to wait for the run that is under way.
type Wait struct{}

// Conflict says that the id was used for another content.
type Conflict struct{}

// Unknown says that an earlier run may have happened.
type Unknown struct{}

// Unreachable says that no majority of the replicas answered.
type Unreachable struct{}

func (Run) isVerdict()         {}
func (Replay) isVerdict()      {}
func (Wait) isVerdict()        {}
func (Conflict) isVerdict()    {}
func (Unknown) isVerdict()     {}
func (Unreachable) isVerdict() {}
