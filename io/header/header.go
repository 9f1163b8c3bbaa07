// Package header defines the headers that daemons exchange about a call, the
// names of the headers that callers and upstreams use, and which headers are
// removed from forwarded requests and responses.
//
// # Usage
//
//	header.StripInbound(r.Header)           // request from a caller
//	header.SetCall(out.Header, call)        // request to a peer
//	call, err := header.GetCall(r.Header)   // at the peer
//	header.SetResult(w.Header(), result)    // response of the peer
//
// Call and Result are each encoded as JSON in one header. Times are durations
// in milliseconds, never timestamps.
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
	"chicorymast/core/notice"
)

// Header names.
const (
	// Prefix is the common prefix of the headers that daemons exchange and of
	// NotRun.
	Prefix       = "Chicorymast-"
	callHeader   = "Chicorymast-Call"
	resultHeader = "Chicorymast-Answer"
	// NotRun is set by an upstream on the response to a request that it did
	// not run.
	NotRun = "Chicorymast-Not-Run"
	// UpstreamLimit and UpstreamLeaving are set by an upstream; see Dialect.Limit and
	// Dialect.Leaving.
	UpstreamLimit   = "Chicorymast-Limit"
	UpstreamLeaving = "Chicorymast-Leaving"
	// IdempotencyKey carries the caller's action id. Requests are sent with the
	// lower-case name (LowerRetryHeaders): net/http retries a request on its own if it has
	// the canonical name, and would run an action twice.
	IdempotencyKey = "Idempotency-Key"
	// RequestTimeout carries the remaining time, in seconds.
	RequestTimeout = "Request-Timeout"
	// IdempotencyReplayed marks a response that was stored for an action.
	IdempotencyReplayed = "Idempotency-Replayed"
)

// ErrNoCall is returned for a request without a valid call header.
var ErrNoCall = errors.New("no readable call header")

// Call is sent with a call from the daemon that dispatches it to the daemon of
// the upstream that runs it.
type Call struct {
	Action    ident.ActionID  `json:"action"`
	Workspace ident.Workspace `json:"workspace"`
	Route     ident.Route     `json:"route"`
	// Caller is the service on the VM that dispatches the call.
	Caller  ident.Service `json:"caller,omitempty"`
	Service ident.Service `json:"service"`
	// WorkspaceTier and Class make up the priority of the call.
	WorkspaceTier int         `json:"behind,omitempty"`
	Class         ident.Class `json:"class"`
	Rank          admit.Rank  `json:"rank"`
	// Nested is set for a call that an upstream makes for a call it serves.
	Nested bool `json:"inner,omitempty"`
	// AdmittedShare is the share of calls of this route and priority that the
	// entry admits at present, given the load of all services in the call tree;
	// 1 means all.
	AdmittedShare float64 `json:"share"`
	// ServiceRefuseShare is the share of the demand for Service that the VMs of the
	// service ask to refuse, as the mean of those that the dispatching daemon calls.
	ServiceRefuseShare float64 `json:"refuse,omitempty"`
	// RoomElsewhere is set on a call to a limited upstream while another VM of the
	// service is known to have room.
	RoomElsewhere bool `json:"room,omitempty"`
	// FairShareWorkspace is the workspace whose fair share of the upstream the
	// call uses: the workspace of the action, even where Workspace is not shown
	// to the upstream.
	FairShareWorkspace ident.Workspace `json:"payer,omitempty"`
	Idempotent         bool            `json:"idempotent,omitempty"`
	// Depth is 1 for a call at entry, and one more than that of the parent for a
	// nested call whose parent the trace context names.
	Depth int `json:"depth"`
	// Retries is the retry budget of the call and all its nested calls.
	Retries int `json:"retries"`
	// Repeat is set if an earlier attempt of the call may have reached an upstream, and on
	// the calls of a run that was itself such a repeat.
	Repeat    bool  `json:"repeat,omitempty"`
	TimeoutMs int64 `json:"timeout_ms"`
	// UpstreamNotice is what the dispatching daemon knows of a limited upstream that the
	// call goes to, for a daemon beside it that has restarted.
	UpstreamNotice *notice.Notice `json:"notice,omitempty"`
}

// Priority returns the priority of the call.
func (c Call) Priority() ident.Priority {
	return ident.Priority{WorkspaceTier: c.WorkspaceTier, Class: c.Class}
}

// Result is returned with a response by the daemon of the upstream to the
// daemon that dispatched the call.
type Result struct {
	Load           admit.Load `json:"load"`
	UnspentRetries int        `json:"unspent"`
	// Reason is set if the daemon responds in place of the upstream.
	Reason fault.Reason `json:"reason,omitempty"`
	Detail string       `json:"detail,omitempty"`
	NotRun bool         `json:"not_run,omitempty"`
	// ServiceCosts lists what a call of the route costs at overloaded services,
	// nested calls included.
	ServiceCosts []inflow.ServiceCost `json:"needs,omitempty"`
	// Accepted lists the services of the call tree that reject a share of their calls, and
	// the shares that they accept.
	Accepted []inflow.Acceptance `json:"accepted,omitempty"`
	// NestedFailure is set if a nested call failed. It has been retried where
	// it was dispatched, so the call itself is not retried.
	NestedFailure bool `json:"deeper,omitempty"`
	// Notice is what the upstream says about itself, nil for nothing or if the daemon
	// has not heard from it yet.
	Notice *notice.Notice `json:"notice,omitempty"`
}

// SetCall sets the call header.
func SetCall(h http.Header, c Call) {
	setJSON(h, callHeader, c)
}

// GetCall decodes the call header. Errors: ErrNoCall.
func GetCall(h http.Header) (c Call, err error) {
	if json.Unmarshal([]byte(h.Get(callHeader)), &c) != nil || c.Service == "" {
		return Call{}, ErrNoCall
	}
	return c, nil
}

// SetResult sets the result header.
func SetResult(h http.Header, result Result) {
	setJSON(h, resultHeader, result)
}

// GetResult decodes the result header. It reports false if the header is
// missing or invalid.
func GetResult(h http.Header) (result Result, ok bool) {
	text := h.Get(resultHeader)
	if text == "" || json.Unmarshal([]byte(text), &result) != nil {
		return Result{}, false
	}
	return result, true
}

func setJSON(h http.Header, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return // Call and Result always marshal
	}
	h.Set(name, string(data))
}

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers, including those that the
// Connection header names.
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

// StripInternal removes all headers whose names begin with Prefix.
func StripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), Prefix) {
			delete(h, name)
		}
	}
}

// StripCredentials removes the Authorization header, which holds a caller's key.
func StripCredentials(h http.Header) {
	h.Del("Authorization")
}

// StripInbound removes the headers of a caller's request that must not be
// forwarded.
func StripInbound(h http.Header) {
	StripHopByHop(h)
	StripInternal(h)
	StripCredentials(h)
	h.Del("Expect")
}

// retryHeaders are the headers for which net/http retries a request without a body on its
// own, whatever its method.
var retryHeaders = []string{IdempotencyKey, "X-Idempotency-Key"}

// LowerRetryHeaders moves these headers to their lower-case names, under which net/http
// does not know them.
func LowerRetryHeaders(h http.Header) {
	for _, name := range retryHeaders {
		values := h.Values(name)
		h.Del(name)
		if len(values) > 0 {
			h[strings.ToLower(name)] = values
		}
	}
}
