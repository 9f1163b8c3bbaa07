package route

import (
	"math/rand/v2"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/intent"

	"gotest.tools/v3/assert"
)

func TestSplitFollowsWeights(t *testing.T) {
	s := NewSplit(rand.New(rand.NewPCG(1, 1)))
	parts := []intent.SplitPart{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}
	for range 3 {
		counts := map[ident.Service]int{}
		for range 100 {
			counts[s.Next(parts)]++
		}
		assert.Assert(t, counts["a"] >= 89 && counts["a"] <= 91 && counts["none"] == 0, "%v", counts)
	}
}
