package route

import (
	"math/rand/v2"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/intent"

	"gotest.tools/v3/assert"
)

func TestSplitKeepsToItsWeights(t *testing.T) {
	s := NewSplit(rand.New(rand.NewPCG(1, 1)))
	parts := []intent.SplitPart{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}
	for range 3 {
		got := map[ident.Service]int{}
		for range 100 {
			got[s.Next(parts)]++
		}
		assert.Assert(t, got["a"] >= 89 && got["a"] <= 91 && got["none"] == 0, "%v", got)
	}
}
