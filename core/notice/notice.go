// Package notice keeps what the processes of upstreams say about themselves in their
// responses: that they leave, and the rate of calls that they take from all daemons
// together.
//
// # Usage
//
//	own := notice.NewOwn()                                // beside the upstream
//	n, changed := own.Heard(at, process, announced, statement, ran)
//	n = own.Of(now, announced)                            // for the next call
//	own.Adopt(now, announced, n)                          // from the call of another daemon
//
//	book := notice.NewBook()                              // where calls are dispatched
//	book.Learn(now, n)                                    // from the response of a daemon
//	n = book.Of(now, process)
//
// The daemon beside an upstream carries all of its calls, so it alone can keep a rate
// for the whole fleet; nobody has to divide it. It may restart, and others then know
// more than it does: they send what they have learned along with their calls, and the
// daemon uses that until the upstream has said something itself. Leaving is kept by each
// daemon that has passed it on, since an upstream that leaves does not come back, and
// neither a restart beside it nor a late announcement changes that.
//
// The load that this answers: upstreams that ask for less than they get, and fleets in
// which upstreams leave while daemons restart. No type here is safe for concurrent use.
package notice

import (
	"maps"
	"time"

	"chicorymast/core/ident"
)

// Process identifies one process of an upstream. A later process may have the same id.
type Process struct {
	Upstream ident.Upstream `json:"upstream"`
	// StartedMs is the start time in Unix milliseconds, zero if it is unknown.
	StartedMs int64 `json:"started_ms,omitempty"`
}

// Notice is what is known of a process by its own responses.
type Notice struct {
	Process
	// Leaving is set once the process has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is the rate of calls that it takes from all daemons, zero for any rate.
	Limit ident.Rate `json:"limit,omitempty"`
}

// IsEmpty reports whether the process has said nothing that matters.
func (n Notice) IsEmpty() bool {
	return !n.Leaving && n.Limit == 0
}

// Statement is what one response says.
type Statement struct {
	Leaving bool
	Limit   StatedLimit
}

// StatedLimit is what one response says about the rate: Named, Unnamed or Unreadable.
type StatedLimit interface{ isStatedLimit() }

// Named is a rate that an upstream asks for.
type Named struct{ Rate ident.Rate }

// Unnamed stands for a response that names no rate.
type Unnamed struct{}

// Unreadable is a rate that can't be read; it changes nothing.
type Unreadable struct{ Text string }

func (Named) isStatedLimit()      {}
func (Unnamed) isStatedLimit()    {}
func (Unreadable) isStatedLimit() {}

// MinLimit is the lowest rate that is kept, in calls per second. An upstream that names
// less gets this much, since only a response can say that the limit has ended.
const MinLimit ident.Rate = 1

// Own follows the upstream on this VM.
type Own struct {
	current Notice
	// heardAt is when the last response that counted was received; zero if current holds
	// only what other daemons told.
	heardAt time.Time
	// limitAt is when the limit was last learned.
	limitAt time.Time
}

// NewOwn returns an Own that knows nothing.
func NewOwn() *Own {
	return &Own{}
}

// Of returns what is known of a process.
func (o *Own) Of(now time.Time, p Process) Notice {
	if o.current.Process != p {
		return Notice{Process: p}
	}
	n := o.current
	if now.Sub(o.limitAt) > limitTTL {
		n.Limit = 0
	}
	return n
}

// Heard applies what a response of a process says that was received at a time. A
// response of another process than the one announced now does not count, nor one that
// was received before the last one that counted. A rejected request shows a limit, but
// only one that ran shows that there is none.
func (o *Own) Heard(at time.Time, p, announced Process, s Statement, ran bool) (n Notice, changed bool) {
	before := o.Of(at, announced)
	if p != announced {
		return before, false
	}
	o.turnTo(p)
	o.current.Leaving = o.current.Leaving || s.Leaving
	if !at.Before(o.heardAt) {
		o.applyLimit(at, s.Limit, ran)
	}
	n = o.Of(at, p)
	return n, n != before
}

// turnTo forgets what was known of another process.
func (o *Own) turnTo(p Process) {
	if o.current.Process != p {
		*o = Own{current: Notice{Process: p}}
	}
}

func (o *Own) applyLimit(at time.Time, l StatedLimit, ran bool) {
	switch l := l.(type) {
	case Named:
		o.current.Limit, o.heardAt, o.limitAt = max(l.Rate, MinLimit), at, at
	case Unnamed:
		if ran {
			o.current.Limit, o.heardAt = 0, at
		}
	case Unreadable:
	}
}

// Adopt takes over a limit that another daemon has learned from the process announced
// now, unless the process has responded to this daemon. The lowest of several counts.
func (o *Own) Adopt(now time.Time, announced Process, told Notice) (n Notice, changed bool) {
	before := o.Of(now, announced)
	heard := o.current.Process == announced && !o.heardAt.IsZero()
	if heard || told.Process != announced || told.Limit == 0 || (before.Limit != 0 && before.Limit <= told.Limit) {
		return before, false
	}
	o.turnTo(announced)
	o.current.Limit, o.limitAt = told.Limit, now
	return o.current, true
}

// Book keeps the notices of processes on other VMs.
type Book struct {
	pages map[Process]page
}

type page struct {
	Notice
	// limitAt is when the limit was last learned, usedAt when the notice was last used.
	limitAt, usedAt time.Time
}

const (
	// limitTTL is how long a limit is kept that no response repeats. It is longer than
	// the restart of a daemon takes.
	limitTTL = 30 * time.Second
	// leavingTTL is how long a process is remembered as leaving that no list of VMs
	// names any more.
	leavingTTL = 10 * time.Minute
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{pages: map[Process]page{}}
}

// Learn stores what a process says according to the daemon beside it. It reports whether
// the process is now known to leave and was not before.
func (b *Book) Learn(now time.Time, n Notice) (leaves bool) {
	old, known := b.pages[n.Process]
	if n.IsEmpty() && !known {
		return false
	}
	n.Leaving = n.Leaving || old.Leaving
	if n.IsEmpty() {
		delete(b.pages, n.Process)
		return false
	}
	if !known {
		b.expire(now)
	}
	b.pages[n.Process] = page{Notice: n, limitAt: now, usedAt: now}
	return n.Leaving && !old.Leaving
}

// Of returns what is known of a process.
func (b *Book) Of(now time.Time, p Process) Notice {
	known, ok := b.pages[p]
	if !ok {
		return Notice{Process: p}
	}
	known.usedAt = now
	b.pages[p] = known
	if now.Sub(known.limitAt) > limitTTL {
		known.Limit = 0
	}
	return known.Notice
}

func (b *Book) expire(now time.Time) {
	maps.DeleteFunc(b.pages, func(_ Process, p page) bool {
		return now.Sub(p.usedAt) > leavingTTL || (!p.Leaving && now.Sub(p.limitAt) > limitTTL)
	})
}
