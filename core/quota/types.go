package quota

import (
	"time"

	"chicorymast/core/ident"
)

// Lease is an owner's reply to a LeaseRequest.
type Lease struct {
	// Sequence is that of the request.
	Sequence uint64 `json:"number"`
	// Immediate is the number of tokens for waiting calls; they are valid only if
	// they arrive within ImmediateTTL.
	Immediate float64 `json:"spend"`
	// Prefetched is the number of tokens for later calls; TTLMs is how long they
	// may be spent.
	Prefetched float64 `json:"tokens"`
	TTLMs      int64   `json:"time_ms"`
	// RetryAfterMs is set if the request is denied: the time until another one can
	// succeed.
	RetryAfterMs int64 `json:"wait_ms"`
}

// Loan is what one data centre lends to another: a share of the rate, a part
// of the burst in calls, and the tokens that belong to that part.
type Loan struct {
	Share  float64 `json:"share"`
	Burst  float64 `json:"burst"`
	Tokens float64 `json:"tokens"`
	TTLMs  int64   `json:"time_ms"`
}

// LoanRequest is what one data centre asks another for: a share of the rate for
// lasting demand, or tokens for waiting calls.
type LoanRequest struct {
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// Reply is how the owner of a grant last replied to a request for a lease.
type Reply string

// The replies. ReplyNone stands for no request so far.
const (
	ReplyNone        Reply = ""
	ReplyGranted     Reply = "granted"
	ReplyDenied      Reply = "denied"
	ReplyNotOwner    Reply = "not_owner"
	ReplyUnreachable Reply = "unreachable"
	ReplyNoOwner     Reply = "no_owner_known"
)

// Inputs is what a daemon's decisions on a grant stand on, for the log.
type Inputs struct {
	// Tokens is what the daemon holds, Demand its calls per second and Backoff the
	// time until it may ask for more.
	Tokens, Demand float64
	Backoff        time.Duration
	// Owner is the VM that the daemon asks at present.
	Owner           ident.VM
	OwnerDataCentre ident.DataCentre
	// LastReply is the newest reply, ReplyAge its age and ReplyFrom its sender.
	LastReply Reply
	ReplyAge  time.Duration
	ReplyFrom ident.VM
}

// LeaseRequest is what a daemon asks an owner for: tokens for waiting calls, and
// tokens to prefetch for later ones.
type LeaseRequest struct {
	// Sequence grows with each request of a daemon. A request ends all earlier
	// leases of the daemon, so the owner must not accept it after a later one.
	Sequence  uint64  `json:"number"`
	Immediate float64 `json:"spend"`
	Prefetch  float64 `json:"ahead"`
	// Used is the number of tokens spent since the last request and of calls that
	// wait now; the owner counts it as demand.
	Used float64 `json:"used"`
	// Unspent is the number of leased tokens that are returned.
	Unspent float64 `json:"unspent"`
	// Refund is the number of calls that were charged and proved not to have run.
	Refund float64 `json:"refund,omitempty"`
}
