package bulk

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// herd simulates daemons that all ask one relay at the same moment, for replies of a size
// that it sends at a rate.
type herd struct {
	gate    *Gate
	size    Bytes
	rate    float64
	events  events
	served  int
	asked   int
	mostNow Bytes
	last    time.Time
	// busyUntil is when the relay has sent what it has admitted.
	busyUntil time.Time
	waiting   []occurrence
}

type occurrence struct {
	at   time.Time
	sent bool
	// reserved is set by the last verdict on the daemon.
	reserved bool
}

type events []occurrence

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(occurrence)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var start = time.Unix(1_000_000, 0)

func (h *herd) run(daemons int) {
	h.gate = NewGate(MaxHeld)
	for i := range daemons {
		heap.Push(&h.events, occurrence{at: start.Add(time.Duration(i) * time.Microsecond)})
	}
	for h.events.Len() > 0 {
		e := heap.Pop(&h.events).(occurrence)
		h.last = e.at
		if e.sent {
			h.gate.Sent(e.at, h.size)
			h.served++
			waiting := h.waiting
			h.waiting = nil
			for _, w := range waiting {
				h.gate.EndWait()
				w.at = e.at
				h.ask(w)
			}
			continue
		}
		h.asked++
		h.ask(e)
	}
}

func (h *herd) ask(e occurrence) {
	switch v := h.gate.Admit(e.at, h.size, e.reserved).(type) {
	case Send:
		h.mostNow = max(h.mostNow, h.gate.Held())
		if h.busyUntil.Before(e.at) {
			h.busyUntil = e.at
		}
		h.busyUntil = h.busyUntil.Add(time.Duration(float64(h.size) / h.rate * float64(time.Second)))
		heap.Push(&h.events, occurrence{at: h.busyUntil, sent: true})
	case Wait:
		h.waiting = append(h.waiting, e)
	case Later:
		heap.Push(&h.events, occurrence{at: e.at.Add(v.After), reserved: v.Reserved})
	}
}

// Guards against a relay that makes the replies to all daemons at once when they start at
// once, and against daemons that ask again and again meanwhile.
func TestHerdIsServedInBoundedMemoryAndTime(t *testing.T) {
	for _, tc := range []struct {
		daemons int
		size    Bytes
		rate    float64
	}{
		{20, 100 << 10, 10 << 20},
		{100, 300 << 10, 5 << 20},
		{100, 300 << 10, 500 << 10},
		{1950, 100 << 10, 20 << 20},
		{1950, 19 << 20, 120 << 20},
	} {
		t.Run(fmt.Sprintf("%d daemons, %d KB, %.0f KB a second", tc.daemons, tc.size>>10, tc.rate/1024), func(t *testing.T) {
			h := herd{size: tc.size, rate: tc.rate}
			h.run(tc.daemons)
			least := time.Duration(float64(tc.daemons) * float64(tc.size) / tc.rate * float64(time.Second))
			assert.Equal(t, h.served, tc.daemons)
			assert.Assert(t, h.mostNow <= max(MaxHeld, tc.size), "%d bytes at once", h.mostNow)
			took := h.last.Sub(start)
			assert.Assert(t, took <= least*3/2+time.Second, "%s, %s at best", took, least)
			// A daemon asks once for each of the longest waits, and twice more at most.
			most := float64(tc.daemons) * (2 + took.Seconds()/maxAfter.Seconds())
			assert.Assert(t, float64(h.asked) <= most, "%d questions of %d daemons", h.asked, tc.daemons)
		})
	}
}

func TestLargerReplyThanTheLimitIsSentAlone(t *testing.T) {
	g := NewGate(MaxHeld)
	assert.Equal(t, g.Admit(start, 10*MaxHeld, false), Send{})
	_, later := g.Admit(start, MaxHeld, false).(Later)
	assert.Assert(t, later)
	assert.Equal(t, g.Admit(start, Small, false), Send{}, "small replies are not counted")
	g.Sent(start.Add(time.Second), 10*MaxHeld)
	assert.Equal(t, g.Admit(start.Add(time.Second), MaxHeld, false), Send{})
}
