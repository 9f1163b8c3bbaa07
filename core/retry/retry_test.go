package retry

import (
	"testing"

	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { simul.Main(m) }

// walk spends a budget as greedily as it can over a random call tree and
// returns how many retries were made.
func walk(t *rapid.T, b *Budget, depth int) (retries int) {
	children := rapid.IntRange(0, 3).Draw(t, "children")
	for range children {
		for {
			if depth > 0 {
				lent := b.Lend()
				child := NewBudget(lent)
				retries += walk(t, &child, depth-1)
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

// TestBoundedAtAnyDepth checks the sum of retries over call trees up to 25
// deep.
func TestBoundedAtAnyDepth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 16).Draw(t, "budget")
		depth := rapid.SampledFrom([]int{1, 2, 3, 6}).Draw(t, "depth")
		b := NewBudget(n)
		if got := walk(t, &b, depth); got > n {
			t.Fatalf("%d retries on a budget of %d", got, n)
		}
	})
}

func TestChainOf25(t *testing.T) {
	const budget, depth = 3, 25
	total := 0
	var call func(b *Budget, left int)
	call = func(b *Budget, left int) {
		for ok := true; ok; ok = b.Spend() { // every call fails, every hop retries
			total++
			if left > 0 {
				lent := b.Lend()
				child := NewBudget(lent)
				call(&child, left-1)
				b.Settle(lent, child.Remaining())
			}
		}
	}
	b := NewBudget(budget)
	call(&b, depth)
	// Each of the 3 retries repeats at most the chain below it once.
	assert.Assert(t, total <= (depth+1)*(budget+1), "%d calls", total)
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

func TestRatio(t *testing.T) {
	r := NewThrottle(0.1, 2)
	assert.Assert(t, r.Spend())
	assert.Assert(t, r.Spend())
	assert.Assert(t, !r.Spend())
	for range 11 {
		r.RecordSuccess()
	}
	assert.Assert(t, r.Spend())
	assert.Assert(t, !r.Spend())
}
