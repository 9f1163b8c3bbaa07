// Package retry limits the retries of one action over all of its calls, and the
// retries of calls to one service over all actions.
//
// # Usage
//
//	budget := retry.NewBudget(3)           // for the whole action, at the entry
//	share := budget.Lend()                 // sent with a nested call
//	budget.Settle(share, unspent)          // when the nested call has ended
//	if budget.Spend() { ... }              // retry here
//
//	throttle := retry.NewThrottle(0.1, 10) // per service
//	throttle.RecordSuccess()
//	if throttle.Spend() { ... }
//
//	window := retry.NewWindow(0.2, 10*time.Second, started, rng) // instead of a throttle
//	window.SetSlack(97.0 / daemons)
//	window.RecordFirst(now)
//	if window.Spend(now, progress) { ... }
//
// Lent retries are subtracted from the lender's budget, so the sum over a call
// tree of any depth and fan-out never exceeds the initial budget. A Budget and a
// Throttle are not safe for concurrent use.
package retry

// Budget is the number of retries that a call may still spend or lend.
type Budget struct {
	remaining int
	spent     int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) Budget {
	return Budget{remaining: max(0, n)}
}

// Lend removes half of the remaining retries, rounded up, for one nested call
// and returns their number.
func (b *Budget) Lend() int {
	share := (b.remaining + 1) / 2
	b.remaining -= share
	return share
}

// Settle returns the retries that a nested call did not spend to the budget, at
// most as many as were lent to it.
func (b *Budget) Settle(lent, unspent int) {
	unspent = min(max(unspent, 0), lent)
	b.remaining += unspent
	b.spent += lent - unspent
}

// Spend uses one retry. It reports false if none is left.
func (b *Budget) Spend() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	b.spent++
	return true
}

// Remaining returns the number of retries that are left.
func (b *Budget) Remaining() int {
	return b.remaining
}

// Spent returns the number of retries used here and by nested calls.
func (b *Budget) Spent() int {
	return b.spent
}

// Throttle limits retries to a ratio of the successful calls.
type Throttle struct {
	perSuccess float64
	maxCredit  float64
	credit     float64
}

// NewThrottle returns a throttle that allows perSuccess retries for each success
// and saves up to maxCredit unused retries. It starts with maxCredit.
func NewThrottle(perSuccess, maxCredit float64) Throttle {
	return Throttle{perSuccess: perSuccess, maxCredit: maxCredit, credit: maxCredit}
}

// RecordSuccess records a successful call.
func (t *Throttle) RecordSuccess() {
	t.credit = min(t.maxCredit, t.credit+t.perSuccess)
}

// Credit returns the retries that are allowed now.
func (t *Throttle) Credit() float64 {
	return t.credit
}

// Spend uses one retry. It reports false if none is allowed.
func (t *Throttle) Spend() bool {
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}
