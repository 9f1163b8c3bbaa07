// Package retry bounds the retries of one action over all of its calls, and
// those towards one service over all actions.
//
// # Usage
//
//	budget := retry.NewBudget(3)        // for the whole action, at entry
//	share := budget.Lend()              // travels with a child call
//	budget.Settle(share, unspent)       // when the child has answered
//	if budget.Spend() { ... }           // retry here
//
//	ratio := retry.NewRatio(0.1, 10)    // per service
//	ratio.Succeeded()
//	if ratio.Spend() { ... }
//
// What is lent leaves the lender, so the sum over a call tree of any depth
// and fan-out never exceeds the first budget. A Budget and a Ratio are not
// safe for concurrent use.
package retry

// Budget is the retries that one call may still spend or lend.
type Budget struct {
	left  int
	spent int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) Budget {
	return Budget{left: max(0, n)}
}

// Lend takes half of what is left, rounded up, for one child call.
func (b *Budget) Lend() int {
	share := (b.left + 1) / 2
	b.left -= share
	return share
}

// Settle takes back what a child did not spend. A child that says more than
// it was lent is not believed.
func (b *Budget) Settle(lent, unspent int) {
	unspent = min(max(unspent, 0), lent)
	b.left += unspent
	b.spent += lent - unspent
}

// Spend uses one retry; it reports false when none is left.
func (b *Budget) Spend() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	b.spent++
	return true
}

// Remaining returns how many retries remain.
func (b *Budget) Remaining() int {
	return b.left
}

// Spent returns how many retries were used here and by children.
func (b *Budget) Spent() int {
	return b.spent
}

// Throttle allows retries as a share of successes.
type Throttle struct {
	perSuccess float64
	limit      float64
	credit     float64
}

// NewThrottle allows perSuccess retries for each success and saves up to limit.
// It starts with a full credit.
func NewThrottle(perSuccess, limit float64) Throttle {
	return Throttle{perSuccess: perSuccess, limit: limit, credit: limit}
}

// RecordSuccess records a success.
func (r *Throttle) RecordSuccess() {
	r.credit = min(r.limit, r.credit+r.perSuccess)
}

// Spend uses one retry; it reports false when the share is used up.
func (r *Throttle) Spend() bool {
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
