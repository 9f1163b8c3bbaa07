package retry

import (
	"testing"

	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { simul.Main(m) }

// spendGreedily makes the calls of a random call tree, retries each failed one as
// long as the budget allows, and returns the number of retries.
func spendGreedily(t *rapid.T, b *Budget, depth int) (retries int) {
	children := rapid.IntRange(0, 3).Draw(t, "children")
	for range children {
		for {
			if depth > 0 {
				lent := b.Lend()
				child := NewBudget(lent)
				retries += spendGreedily(t, &child, depth-1)
				b.Settle(lent, child.Remaining())
			}
			if !rapid.Bool().Draw(t, "failed") || !b.Spend() {
				break
			}
			retries++
		}
	}
	return retries
}

// TestRetriesAreBoundedAtAnyDepth checks that a random call tree never makes more
// retries than the initial budget allows.
func TestRetriesAreBoundedAtAnyDepth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 16).Draw(t, "budget")
		depth := rapid.SampledFrom([]int{1, 2, 3, 6}).Draw(t, "depth")
		b := NewBudget(n)
		if got := spendGreedily(t, &b, depth); got > n {
			t.Fatalf("%d retries with a budget of %d", got, n)
		}
	})
}

func TestRetriesInChainOf25Hops(t *testing.T) {
	const budget, hops = 3, 25
	calls := 0
	var call func(b *Budget, depth int)
	call = func(b *Budget, depth int) {
		for ok := true; ok; ok = b.Spend() { // every call fails and every hop retries it
			calls++
			if depth > 0 {
				lent := b.Lend()
				child := NewBudget(lent)
				call(&child, depth-1)
				b.Settle(lent, child.Remaining())
			}
		}
	}
	b := NewBudget(budget)
	call(&b, hops)
	// Each of the 3 retries repeats the chain below it at most once.
	assert.Assert(t, calls <= (hops+1)*(budget+1), "%d calls", calls)
	assert.Equal(t, b.Remaining(), 0)
}

func TestChildCannotReturnMoreThanItWasLent(t *testing.T) {
	b := NewBudget(4)
	lent := b.Lend()
	b.Settle(lent, 99)
	assert.Equal(t, b.Remaining(), 4)
	b.Settle(0, -5)
	assert.Equal(t, b.Remaining(), 4)
}

func TestThrottle(t *testing.T) {
	throttle := NewThrottle(0.1, 2)
	assert.Assert(t, throttle.Spend())
	assert.Assert(t, throttle.Spend())
	assert.Assert(t, !throttle.Spend())
	for range 11 {
		throttle.RecordSuccess()
	}
	assert.Assert(t, throttle.Spend())
	assert.Assert(t, !throttle.Spend())
}
