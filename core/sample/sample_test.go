package sample

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// offer offers n reports of a key, spread evenly over a second, and returns how many
// were allowed.
func offer(s *Sampler, start time.Time, k Key, n int) (allowed int) {
	for i := range n {
		if s.Allow(start.Add(time.Duration(i)*time.Second/time.Duration(n)), k) {
			allowed++
		}
	}
	return allowed
}

func TestRateAndBurstBoundReports(t *testing.T) {
	s := New(10, 50)
	total := 0
	for second := range 30 {
		total += offer(s, epoch.Add(time.Duration(second)*time.Second), Key{Reason: "overload"}, 2000)
	}
	assert.Assert(t, total >= 10*29, "%d", total)
	assert.Assert(t, total <= 10*30+2*50, "%d", total)
}

func TestFrequentCauseDoesNotHideRareOne(t *testing.T) {
	s := New(10, 50)
	frequent, rare := Key{Reason: "overload"}, Key{Reason: "deadline", Route: "order"}
	for second := range 10 {
		start := epoch.Add(time.Duration(second) * time.Second)
		offer(s, start, frequent, 2000)
		assert.Assert(t, s.Allow(start.Add(999*time.Millisecond), rare))
	}
}

func TestKeysShareTheRateEqually(t *testing.T) {
	s := New(20, 20)
	a, b := Key{Reason: "a"}, Key{Reason: "b"}
	written := map[Key]int{}
	for i := range 20_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond / 2)
		for k, every := range map[Key]int{a: 1, b: 10} {
			if i%every == 0 && s.Allow(now, k) {
				written[k]++
			}
		}
	}
	assert.Assert(t, written[b] >= 60, "%v", written)
	assert.Assert(t, written[a] <= 140, "%v", written)
}

func TestOmittedReportsAreCounted(t *testing.T) {
	s := New(1, 2)
	k := Key{Reason: "overload", Route: "browse", Service: "katalog"}
	allowed := offer(s, epoch, k, 100)
	omitted := s.TakeOmitted()
	assert.DeepEqual(t, omitted, []Omission{{Key: k, Count: uint64(100 - allowed)}})
	assert.Equal(t, len(s.TakeOmitted()), 0)
}

func TestManyKeysUseBoundedMemory(t *testing.T) {
	s := New(10, 50)
	for i := range 10_000 {
		s.Allow(epoch, Key{Route: ident.Route(fmt.Sprint(i))})
	}
	assert.Assert(t, len(s.written) <= maxKeys+1)
	assert.Assert(t, len(s.omitted) <= maxKeys+1)
}
