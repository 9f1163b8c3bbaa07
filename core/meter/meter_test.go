package meter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRateConvergesToInputRate(t *testing.T) {
	m := New(time.Second)
	now := epoch
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		m.Add(now, 2)
	}
	assert.Assert(t, math.Abs(m.Rate(now)-200) < 5, "%v", m.Rate(now))
	assert.Assert(t, m.Rate(now.Add(10*time.Second)) < 0.1)
}

func TestEarlierTimeDoesNotChangeTheSum(t *testing.T) {
	m := New(time.Second)
	m.Add(epoch, 5)
	assert.Equal(t, m.Sum(epoch.Add(-time.Hour)), 5.0)
	var zero Meter
	assert.Equal(t, zero.Rate(epoch), 0.0)
}
