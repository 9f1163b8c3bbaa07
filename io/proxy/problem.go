package proxy

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chicorymast/core/fault"
)

// statuses maps each reason to the status of its problem document.
var statuses = map[fault.Reason]int{
	fault.ReasonKeyMissing:       http.StatusUnauthorized,
	fault.ReasonKeyUnknown:       http.StatusUnauthorized,
	fault.ReasonNoGrant:          http.StatusForbidden,
	fault.ReasonNotMember:        http.StatusForbidden,
	fault.ReasonNoRoute:          http.StatusNotFound,
	fault.ReasonActionMissing:    http.StatusBadRequest,
	fault.ReasonBadRequest:       http.StatusBadRequest,
	fault.ReasonActionConflict:   http.StatusConflict,
	fault.ReasonActionRunning:    http.StatusConflict,
	fault.ReasonActionUnknown:    http.StatusConflict,
	fault.ReasonActionDone:       http.StatusConflict,
	fault.ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	fault.ReasonOverRate:         http.StatusTooManyRequests,
	fault.ReasonOverload:         http.StatusServiceUnavailable,
	fault.ReasonNoUpstream:       http.StatusServiceUnavailable,
	fault.ReasonStaleConfig:      http.StatusServiceUnavailable,
	fault.ReasonDraining:         http.StatusServiceUnavailable,
	fault.ReasonCrashSuspect:     http.StatusServiceUnavailable,
	fault.ReasonQuotaUnreachable: http.StatusServiceUnavailable,
	fault.ReasonRecordLost:       http.StatusServiceUnavailable,
	fault.ReasonDeadline:         http.StatusGatewayTimeout,
	fault.ReasonUpstreamFailed:   http.StatusBadGateway,
	fault.ReasonUpstreamCrashed:  http.StatusBadGateway,
	fault.ReasonAnswerIncomplete: http.StatusBadGateway,
	fault.ReasonCancelled:        499,
}

// waits says after how long a repetition helps; the others get no Retry-After.
var waits = map[fault.Reason]time.Duration{
	fault.ReasonOverload:         time.Second,
	fault.ReasonNoUpstream:       time.Second,
	fault.ReasonDraining:         time.Second,
	fault.ReasonStaleConfig:      5 * time.Second,
	fault.ReasonCrashSuspect:     30 * time.Second,
	fault.ReasonQuotaUnreachable: time.Second,
	fault.ReasonRecordLost:       time.Second,
	fault.ReasonActionRunning:    time.Second,
}

// Problem is an RFC 9457 document.
type Problem struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail,omitempty"`
	Reason fault.Reason `json:"reason"`
	NotRun bool         `json:"not_run"`
}

// StatusOf returns the HTTP status of a reason.
func StatusOf(r fault.Reason) int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WriteProblem answers with a refusal.
func WriteProblem(w http.ResponseWriter, r *fault.Refusal, wait time.Duration) {
	status := StatusOf(r.Reason)
	if wait == 0 {
		wait = waits[r.Reason]
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="chicorymast"`)
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

// asRefusal returns the refusal in an error, or a general one for work that
// may have run.
func asRefusal(err error) *fault.Refusal {
	var r *fault.Refusal
	if errors.As(err, &r) {
		return r
	}
	return fault.Failed(fault.ReasonUpstreamFailed, "%v", err)
}
