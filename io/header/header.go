// Package header defines what travels with a call from one daemon to the next
// and back, and which headers pass at each border.
//
// # Usage
//
//	header.StripInbound(r.Header) // a caller's request
//	header.SetCall(out.Header, call) // towards a peer
//	call, err := header.GetCall(r.Header) // at the peer
//	header.SetAnswer(w.Header(), answer) // back
//
// Both values are JSON in one header each. Times are spans in milliseconds,
// never clock readings.
package header

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
)

// Header names.
const (
	Prefix       = "Chicorymast-"
	callHeader   = "Chicorymast-Call"
	resultHeader = "Chicorymast-Answer"
	// NotRun is set by an upstream that proves that it ran nothing.
	NotRun = "Chicorymast-Not-Run"
	// IdempotencyKey carries the caller's action id. The lower-case form is what
	// goes on the wire: net/http sends a request again by itself when it finds
	// the canonical form, which would run an action twice.
	IdempotencyKey      = "Idempotency-Key"
	lowerIdempotencyKey = "idempotency-key"
	// RequestTimeout carries the time that is left, in seconds.
	RequestTimeout      = "Request-Timeout"
	IdempotencyReplayed = "Idempotency-Replayed"
)

// ErrNoCall is returned for a request without a readable call.
var ErrNoCall = errors.New("no readable call header")

// Call is what a daemon tells the next one about a call.
type Call struct {
	Action    ident.ActionID  `json:"action"`
	Workspace ident.Workspace `json:"workspace"`
	Route     ident.Route     `json:"route"`
	// Caller is the service on whose VM the call began.
	Caller  ident.Service `json:"caller,omitempty"`
	Service ident.Service `json:"service"`
	// WorkspaceTier and Class are the call's standing.
	WorkspaceTier int         `json:"behind,omitempty"`
	Class         ident.Class `json:"class"`
	Rank          admit.Rank  `json:"rank"`
	Nested        bool        `json:"inner,omitempty"`
	// AdmittedShare is which part of the calls of its kind the entry lets in at the
	// moment, having weighed the load of the call's tree; 1 is all.
	AdmittedShare float64 `json:"share"`
	// FairShareWorkspace is the workspace whose share of the upstream the call takes: that
	// of the action, also where Workspace is not shown to the upstream.
	FairShareWorkspace ident.Workspace `json:"payer,omitempty"`
	Idempotent         bool            `json:"idempotent,omitempty"`
	Depth              int             `json:"depth"`
	// Retries is lent to the call for all that it causes.
	Retries   int   `json:"retries"`
	TimeoutMs int64 `json:"timeout_ms"`
}

// Priority returns how important the call is.
func (c Call) Priority() ident.Priority {
	return ident.Priority{WorkspaceTier: c.WorkspaceTier, Class: c.Class}
}

// Result is what a daemon tells the one before about a call.
type Result struct {
	Load           admit.Load `json:"load"`
	UnspentRetries int        `json:"unspent"`
	// Reason is set when the daemon answers in place of the upstream.
	Reason fault.Reason `json:"reason,omitempty"`
	Detail string       `json:"detail,omitempty"`
	NotRun bool         `json:"not_run,omitempty"`
	// Needs are what the call's tree needs of services that are full.
	Needs []inflow.ServiceCost `json:"needs,omitempty"`
	// NestedFailure is set when the failure came from a hop further on, which has
	// done its own retries.
	NestedFailure bool `json:"deeper,omitempty"`
}

// SetCall sets the call header.
func SetCall(h http.Header, c Call) {
	put(h, callHeader, c)
}

// GetCall reads the call header.
func GetCall(h http.Header) (c Call, err error) {
	if json.Unmarshal([]byte(h.Get(callHeader)), &c) != nil || c.Service == "" {
		return Call{}, ErrNoCall
	}
	return c, nil
}

// SetResult sets the answer header.
func SetResult(h http.Header, a Result) {
	put(h, resultHeader, a)
}

// GetResult reads the answer header; a peer that sends none has no load.
func GetResult(h http.Header) (a Result, ok bool) {
	text := h.Get(resultHeader)
	if text == "" || json.Unmarshal([]byte(text), &a) != nil {
		return Result{}, false
	}
	return a, true
}

func put(h http.Header, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return // the types above always marshal
	}
	h.Set(name, string(data))
}

// hopByHop lists the headers that end at each connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the headers that end at this connection, those named
// by Connection included.
func StripHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripInternal removes every header of ours.
func StripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), Prefix) {
			delete(h, name)
		}
	}
}

// StripCredentials removes a caller's key.
func StripCredentials(h http.Header) {
	h.Del("Authorization")
}

// StripInbound cleans a request from outside before anything is forwarded.
func StripInbound(h http.Header) {
	StripHopByHop(h)
	StripInternal(h)
	StripCredentials(h)
	h.Del("Expect")
}

// LowerIdempotencyKey puts the action id into the form that net/http does not act on.
func LowerIdempotencyKey(h http.Header) {
	values := h.Values(IdempotencyKey)
	h.Del(IdempotencyKey)
	if len(values) > 0 {
		h[lowerIdempotencyKey] = values
	}
}
