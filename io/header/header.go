// Package header defines the headers that daemons exchange about a call, the
// names of the headers that callers and upstreams use, and which headers are
// removed from forwarded requests and responses.
//
// # Usage
//
//	h := header.FromCaller(r.Header)        // request from a caller
//	header.SetCall(out.Header, call)        // request to a peer
//	call, err := header.GetCall(r.Header)   // at the peer
//	header.SetResult(w.Header(), result)    // response of the peer
//
// Call and Result are each encoded as JSON in one header. Times are durations
// in milliseconds, never timestamps.
package header

import (
	"errors"

	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/core/notice"
	"chicorymast/core/place"
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
	// UpstreamWarmup is set by an upstream on the response to a health check; see
	// Dialect.Warmup.
	UpstreamWarmup = "Chicorymast-Warmup-Ms"
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
	// Crossings is what a run of the route costs in calls between data centres, nil for
	// nothing.
	Crossings *place.Crossings `json:"cross,omitempty"`
}
