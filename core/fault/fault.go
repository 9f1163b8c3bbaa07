// Package fault adds context to errors and defines the type of refusals.
//
// # Usage
//
// A function with a named result annotates it once, in a deferred call:
//
//	func load(path string) (cfg Config, err error) {
//		defer fault.Note(&err, "load settings %s", path)
//		...
//	}
//
// A refusal that a caller can act on is a *Refusal; use errors.As to find it.
// Errors keep their cause, so errors.Is and errors.As work on annotated errors.
package fault

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Note wraps *err with a message if it is not nil.
func Note(err *error, format string, args ...any) {
	if *err == nil {
		return
	}
	*err = eris.Wrapf(*err, format, args...)
}

// Reason is the stable, machine-readable cause of a refusal.
type Reason string

// The reasons that callers may receive; docs/CALLERS.md describes each of them.
const (
	ReasonKeyMissing            Reason = "key_missing"
	ReasonKeyUnknown            Reason = "key_unknown"
	ReasonNoGrant               Reason = "no_grant"
	ReasonNoRoute               Reason = "no_route"
	ReasonIdempotencyKeyMissing Reason = "idempotency_key_missing"
	ReasonActionConflict        Reason = "action_conflict"
	ReasonActionRunning         Reason = "action_running"
	ReasonOutcomeUnknown        Reason = "outcome_unknown"
	ReasonActionDone            Reason = "action_done"
	ReasonOverRate              Reason = "over_rate"
	ReasonBodyTooLarge          Reason = "body_too_large"
	ReasonBadRequest            Reason = "bad_request"
	ReasonOverload              Reason = "overload"
	ReasonNoUpstream            Reason = "no_upstream"
	ReasonConfigurationStale    Reason = "configuration_stale"
	// ReasonConfigurationUnconfirmed replaces a refusal that rests on the absence of
	// something from a configuration that may be out of date.
	ReasonConfigurationUnconfirmed Reason = "configuration_unconfirmed"
	ReasonDeadline                 Reason = "deadline"
	ReasonDraining                 Reason = "draining"
	ReasonUpstreamFailed           Reason = "upstream_failed"
	ReasonUpstreamCrashed          Reason = "upstream_crashed"
	ReasonAnswerIncomplete         Reason = "answer_incomplete"
	ReasonAnswerInvalid            Reason = "answer_invalid"
	ReasonCrashSuspect             Reason = "crash_suspect"
	ReasonQuotaUnreachable         Reason = "quota_unreachable"
	ReasonRecordUnreachable        Reason = "record_unreachable"
	ReasonNotMember                Reason = "not_a_member"
	ReasonCancelled                Reason = "cancelled"
	ReasonHeadersTooLarge          Reason = "headers_too_large"
)

// RestsOnAbsence reports whether a refusal says that something is not in the
// configuration, so that a newer one may allow the request.
func (r Reason) RestsOnAbsence() bool {
	switch r {
	case ReasonNoRoute, ReasonKeyMissing, ReasonKeyUnknown, ReasonNoGrant, ReasonBodyTooLarge:
		return true
	}
	return false
}

// Refusal is a response that a daemon gives in place of an upstream.
type Refusal struct {
	Reason Reason
	Detail string
	// NotRun is true only if it is certain that no upstream started the work.
	NotRun bool
}

// Error returns the reason and the detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Refuse returns a refusal of work that has not run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...), NotRun: true}
}

// Failed returns a refusal of work that may have run.
func Failed(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
