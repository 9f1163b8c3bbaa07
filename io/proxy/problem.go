package proxy

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"chicorymast/core/fault"
	"chicorymast/io/header"
)

// statusByReason maps each reason to an HTTP status; see HTTPStatus for exceptions.
var statusByReason = map[fault.Reason]int{
	fault.ReasonKeyMissing:               http.StatusUnauthorized,
	fault.ReasonKeyUnknown:               http.StatusUnauthorized,
	fault.ReasonNoGrant:                  http.StatusForbidden,
	fault.ReasonNotMember:                http.StatusForbidden,
	fault.ReasonNoRoute:                  http.StatusNotFound,
	fault.ReasonIdempotencyKeyMissing:    http.StatusBadRequest,
	fault.ReasonBadRequest:               http.StatusBadRequest,
	fault.ReasonActionConflict:           http.StatusConflict,
	fault.ReasonActionRunning:            http.StatusConflict,
	fault.ReasonOutcomeUnknown:           http.StatusConflict,
	fault.ReasonActionDone:               http.StatusConflict,
	fault.ReasonBodyTooLarge:             http.StatusRequestEntityTooLarge,
	fault.ReasonHeadersTooLarge:          http.StatusRequestHeaderFieldsTooLarge,
	fault.ReasonOverRate:                 http.StatusTooManyRequests,
	fault.ReasonOverload:                 http.StatusServiceUnavailable,
	fault.ReasonNoUpstream:               http.StatusServiceUnavailable,
	fault.ReasonConfigurationStale:       http.StatusServiceUnavailable,
	fault.ReasonConfigurationUnconfirmed: http.StatusServiceUnavailable,
	fault.ReasonDraining:                 http.StatusServiceUnavailable,
	fault.ReasonCrashSuspect:             http.StatusServiceUnavailable,
	fault.ReasonQuotaUnreachable:         http.StatusServiceUnavailable,
	fault.ReasonRecordUnreachable:        http.StatusServiceUnavailable,
	fault.ReasonDeadline:                 http.StatusGatewayTimeout,
	fault.ReasonUpstreamFailed:           http.StatusBadGateway,
	fault.ReasonUpstreamCrashed:          http.StatusBadGateway,
	fault.ReasonAnswerIncomplete:         http.StatusBadGateway,
	fault.ReasonAnswerInvalid:            http.StatusBadGateway,
	fault.ReasonCancelled:                499, // nginx: client closed request
}

// retryAfterByReason maps reasons to the default of Retry-After; others have none.
var retryAfterByReason = map[fault.Reason]time.Duration{
	fault.ReasonOverload:                 time.Second,
	fault.ReasonDeadline:                 time.Second,
	fault.ReasonUpstreamFailed:           time.Second,
	fault.ReasonNoUpstream:               time.Second,
	fault.ReasonDraining:                 time.Second,
	fault.ReasonConfigurationStale:       5 * time.Second,
	fault.ReasonConfigurationUnconfirmed: time.Second,
	fault.ReasonCrashSuspect:             30 * time.Second,
	fault.ReasonQuotaUnreachable:         time.Second,
	fault.ReasonRecordUnreachable:        time.Second,
	fault.ReasonActionRunning:            time.Second,
}

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail,omitempty"`
	Reason fault.Reason `json:"reason"`
	NotRun bool         `json:"not_run"`
}

// HTTPStatus returns the HTTP status of a refusal. Statuses 429 and 503 mean that
// the request has not run, so that callers may repeat it; if it may have run the
// status is 502 or 504.
func HTTPStatus(r *fault.Refusal) int {
	status, ok := statusByReason[r.Reason]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case !r.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return http.StatusBadGateway
	case r.NotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout):
		return http.StatusServiceUnavailable
	}
	return status
}

// WriteProblem responds with a problem document. A wait of zero stands for the
// default of the refusal's reason. Retry-After is set only if the request has not run.
func WriteProblem(w http.ResponseWriter, d header.Dialect, r *fault.Refusal, wait time.Duration) {
	status := HTTPStatus(r)
	if wait == 0 {
		wait = retryAfterByReason[r.Reason]
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if wait > 0 && r.NotRun {
		h.Set("Retry-After", d.FormatRetryAfter(wait))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", d.KeyScheme+` realm="chicorymast"`)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{
		Type:   "urn:chicorymast:refusal:" + string(r.Reason),
		Title:  http.StatusText(status),
		Status: status,
		Detail: r.Detail,
		Reason: r.Reason,
		NotRun: r.NotRun,
	})
}

// asRefusal returns the refusal wrapped in err, or else one for a request that
// may have run.
func asRefusal(err error) *fault.Refusal {
	var r *fault.Refusal
	if errors.As(err, &r) {
		return r
	}
	return fault.Failed(fault.ReasonUpstreamFailed, "%v", err)
}
