package quota

// Lease is what a daemon receives.
type Lease struct {
	// Number is that of the request.
	Number uint64 `json:"number"`
	// Spend are tokens for calls that wait; they count only if they arrive
	// within SpendTime.
	Spend float64 `json:"spend"`
	// Tokens are for later calls; TimeMs is how long they may be spent.
	Tokens float64 `json:"tokens"`
	TimeMs int64   `json:"time_ms"`
	// WaitMs says when to ask again if there are no tokens.
	WaitMs int64 `json:"wait_ms"`
}

// Loan is what one data centre lends to another: a share of the rate, a part
// of the burst in calls, and the tokens that lay in it.
type Loan struct {
	Share  float64 `json:"share"`
	Burst  float64 `json:"burst"`
	Tokens float64 `json:"tokens"`
	TimeMs int64   `json:"time_ms"`
}

// Ask is what one data centre wants from another: a share of the rate for
// lasting demand, or tokens for calls that wait.
type Ask struct {
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
}

// Want is what a daemon asks for: tokens for calls that wait, and tokens to
// have for later ones. Used is how many it has spent since it asked last.
type Want struct {
	// Number grows with each request of a daemon. A request says that all
	// leases before it have ended, so it must not be taken after a later one.
	Number uint64  `json:"number"`
	Spend  float64 `json:"spend"`
	Ahead  float64 `json:"ahead"`
	Used   float64 `json:"used"`
	// Unspent is handed back.
	Unspent float64 `json:"unspent"`
	// Refund is for calls that were charged and then proved not to have run.
	Refund float64 `json:"refund,omitempty"`
}
