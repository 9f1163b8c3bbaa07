package notice

import (
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

var (
	first  = Process{Upstream: "i-1", StartedMs: 1000}
	second = Process{Upstream: "i-1", StartedMs: 2000}
)

func at(ms int) time.Time {
	return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond)
}

func limited(rate ident.Rate) Statement { return Statement{Limit: Named{Rate: rate}} }

var (
	silent  = Statement{Limit: Unnamed{}}
	leaving = Statement{Leaving: true, Limit: Unnamed{}}
)

func (o *Own) mustLimit(t *testing.T, ms int, p Process, want ident.Rate) {
	t.Helper()
	assert.Equal(t, o.Of(at(ms), p).Limit, want)
}

func TestLimitFollowsTheNewestResponse(t *testing.T) {
	o := NewOwn()
	o.Heard(at(10), first, first, limited(8), true)
	o.mustLimit(t, 10, first, 8)
	t.Run("an older response that arrives late", func(t *testing.T) {
		o.Heard(at(5), first, first, limited(80), true)
		o.Heard(at(6), first, first, silent, true)
		o.mustLimit(t, 11, first, 8)
	})
	t.Run("a rejected request without a limit", func(t *testing.T) {
		o.Heard(at(20), first, first, silent, false)
		o.mustLimit(t, 20, first, 8)
	})
	t.Run("a rejected request with a limit", func(t *testing.T) {
		o.Heard(at(21), first, first, limited(7), false)
		o.mustLimit(t, 21, first, 7)
	})
	t.Run("an unreadable limit", func(t *testing.T) {
		o.Heard(at(22), first, first, Statement{Limit: Unreadable{}}, true)
		o.mustLimit(t, 22, first, 7)
	})
	t.Run("a limit of zero leaves room to hear that it has ended", func(t *testing.T) {
		o.Heard(at(23), first, first, limited(0), true)
		o.mustLimit(t, 23, first, MinLimit)
	})
	t.Run("a request that ran without a limit", func(t *testing.T) {
		_, changed := o.Heard(at(30), first, first, silent, true)
		assert.Assert(t, changed)
		o.mustLimit(t, 30, first, 0)
	})
	t.Run("a limit that no response repeats", func(t *testing.T) {
		o.Heard(at(40), first, first, limited(8), true)
		o.mustLimit(t, 40+int(limitTTL.Milliseconds())+1, first, 0)
	})
}

func TestResponsesOfAFormerProcessDoNotCount(t *testing.T) {
	o := NewOwn()
	o.Heard(at(1), first, first, Statement{Leaving: true, Limit: Named{Rate: 8}}, true)
	assert.Assert(t, o.Of(at(2), second).IsEmpty())
	_, changed := o.Heard(at(3), first, second, limited(4), true)
	assert.Assert(t, !changed)
	assert.Assert(t, o.Of(at(4), second).IsEmpty())
	o.Heard(at(5), second, second, limited(5), true)
	o.mustLimit(t, 5, second, 5)
	assert.Assert(t, !o.Of(at(5), second).Leaving)
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	o := NewOwn()
	o.Heard(at(10), first, first, leaving, true)
	o.Heard(at(20), first, first, silent, true)
	assert.Assert(t, o.Of(at(20), first).Leaving)
	t.Run("by an older response that arrives late", func(t *testing.T) {
		late := NewOwn()
		late.Heard(at(20), first, first, silent, true)
		late.Heard(at(10), first, first, leaving, true)
		assert.Assert(t, late.Of(at(20), first).Leaving)
	})
}

func TestRestartedDaemonAdoptsWhatOthersKnow(t *testing.T) {
	o := NewOwn()
	told := func(p Process, rate ident.Rate) Notice { return Notice{Process: p, Limit: rate} }
	_, changed := o.Adopt(at(1), first, told(second, 3))
	assert.Assert(t, !changed, "a limit of another process was adopted")
	o.Adopt(at(2), first, told(first, 8))
	o.Adopt(at(3), first, told(first, 20))
	o.mustLimit(t, 3, first, 8)
	o.Adopt(at(4), first, told(first, 6))
	o.mustLimit(t, 4, first, 6)
	t.Run("until the upstream responds", func(t *testing.T) {
		o.Heard(at(5), first, first, silent, true)
		o.Adopt(at(6), first, told(first, 6))
		o.mustLimit(t, 6, first, 0)
	})
}

func TestBook(t *testing.T) {
	b := NewBook()
	assert.Assert(t, !b.Learn(at(0), Notice{Process: first, Limit: 9}))
	assert.Equal(t, b.Of(at(1), first).Limit, ident.Rate(9))
	b.Learn(at(2), Notice{Process: first})
	assert.Equal(t, len(b.pages), 0)
	assert.Assert(t, b.Learn(at(3), Notice{Process: first, Leaving: true}))
	assert.Assert(t, !b.Learn(at(4), Notice{Process: first}))
	assert.Assert(t, b.Of(at(5), first).Leaving)
	assert.Assert(t, !b.Of(at(5), second).Leaving, "a later process with the same id")
	t.Run("forgets limits that no response repeats", func(t *testing.T) {
		b.Learn(at(6), Notice{Process: second, Limit: 9})
		late := at(7).Add(limitTTL)
		assert.Equal(t, b.Of(late, second).Limit, ident.Rate(0))
		b.Learn(late, Notice{Process: Process{Upstream: "i-3"}, Limit: 1})
		assert.Equal(t, len(b.pages), 2)
		assert.Assert(t, b.Of(late, first).Leaving)
	})
	t.Run("forgets processes that are gone", func(t *testing.T) {
		b.Learn(at(0).Add(2*leavingTTL), Notice{Process: Process{Upstream: "i-4"}, Limit: 1})
		assert.Equal(t, len(b.pages), 1)
	})
}
