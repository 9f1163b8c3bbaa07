package quota

// Lease is what a daemon receives.
type Lease struct {
	// Sequence is that of the request.
	Sequence uint64 `json:"number"`
	// Immediate are tokens for calls that wait; they count only if they arrive
	// within SpendTime.
	Immediate float64 `json:"spend"`
	// Prefetched are for later calls; TimeMs is how long they may be spent.
	Prefetched float64 `json:"tokens"`
	TTLMs      int64   `json:"time_ms"`
	// RetryAfterMs says when to ask again if there are no tokens.
	RetryAfterMs int64 `json:"wait_ms"`
}

// Loan is what one data centre lends to another: a share of the rate, a part
// of the burst in calls, and the tokens that lay in it.
type Loan struct {
	Share  float64 `json:"share"`
	Burst  float64 `json:"burst"`
	Tokens float64 `json:"tokens"`
	TTLMs  int64   `json:"time_ms"`
}

// LoanRequest is what one data centre wants from another: a share of the rate for
// lasting demand, or tokens for calls that wait.
type LoanRequest struct {
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// LeaseRequest is what a daemon asks for: tokens for calls that wait, and tokens to
// have for later ones. Used is how many it has spent since it asked last.
type LeaseRequest struct {
	// Sequence grows with each request of a daemon. A request says that all
	// leases before it have ended, so it must not be taken after a later one.
	Sequence  uint64  `json:"number"`
	Immediate float64 `json:"spend"`
	Prefetch  float64 `json:"ahead"`
	Used      float64 `json:"used"`
	// Unspent is handed back.
	Unspent float64 `json:"unspent"`
	// Refund is for calls that were charged and then proved not to have run.
	Refund float64 `json:"refund,omitempty"`
}
