package dedup

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { simul.Main(m) }

var (
	epoch = time.Unix(1_000_000, 0)
	order = ID{Workspace: "mlyn", Action: "order-1"}
)

func claim(runner RunID) Claim {
	return Claim{ID: order, Fingerprint: "f", RunID: runner, TimeoutMs: 1000}
}

func mustHold(t testing.TB, r Reply, phase Phase) {
	t.Helper()
	assert.Assert(t, !r.Granted)
	assert.Equal(t, r.Held.Phase, phase)
}

func TestTable(t *testing.T) {
	begin := func(t *testing.T) *Table {
		table := NewTable(time.Minute, 100)
		assert.Assert(t, table.Begin(epoch, claim("a")).Granted)
		return table
	}
	t.Run("the same runner is granted again", func(t *testing.T) {
		assert.Assert(t, begin(t).Begin(epoch, claim("a")).Granted)
	})
	t.Run("another runner is not", func(t *testing.T) {
		mustHold(t, begin(t).Begin(epoch, claim("b")), PhaseRunning)
	})
	t.Run("a run without an end becomes unknown", func(t *testing.T) {
		mustHold(t, begin(t).Begin(epoch.Add(time.Second), claim("b")), PhaseUnknown)
	})
	t.Run("a claim taken back leaves nothing", func(t *testing.T) {
		table := begin(t)
		table.Release(order, "other")
		mustHold(t, table.Begin(epoch, claim("b")), PhaseRunning)
		table.Release(order, "a")
		assert.Assert(t, table.Begin(epoch, claim("b")).Granted)
	})
	t.Run("an end is kept, then forgotten", func(t *testing.T) {
		table := begin(t)
		table.End(epoch, order, "f", "a", PhaseDone, Response{Stored: true, Body: []byte("ok")})
		mustHold(t, table.Begin(epoch.Add(59*time.Second), claim("b")), PhaseDone)
		assert.Assert(t, table.Begin(epoch.Add(time.Minute), claim("b")).Granted)
		assert.Equal(t, table.Len(), 1)
	})
	t.Run("done is final", func(t *testing.T) {
		table := begin(t)
		table.End(epoch, order, "f", "a", PhaseDone, Response{Stored: true})
		table.End(epoch, order, "f", "a", PhaseUnknown, Response{})
		mustHold(t, table.Begin(epoch, claim("b")), PhaseDone)
	})
	t.Run("old answers give way, that they are done stays", func(t *testing.T) {
		table := begin(t)
		table.End(epoch, order, "f", "a", PhaseDone, Response{Stored: true, Body: make([]byte, 80)})
		table.End(epoch, ID{Action: "2"}, "f", "b", PhaseDone, Response{Stored: true, Body: make([]byte, 80)})
		r := table.Begin(epoch, claim("c"))
		mustHold(t, r, PhaseDone)
		assert.Assert(t, !r.Held.Response.Stored)
	})
}

func TestVote(t *testing.T) {
	held := func(p Phase, fp Fingerprint) Reply { return Reply{Held: &Record{Phase: p, Fingerprint: fp}} }
	granted := Reply{Granted: true}
	for name, c := range map[string]struct {
		replies []Reply
		want    Verdict
	}{
		"majority":           {[]Reply{granted, granted}, Run{}},
		"one of three":       {[]Reply{granted}, Unreachable{}},
		"nobody":             {nil, Unreachable{}},
		"another is running": {[]Reply{granted, held(PhaseRunning, "f")}, Wait{}},
		"done":               {[]Reply{granted, held(PhaseDone, "f")}, Replay{}},
		"done beats unknown": {[]Reply{held(PhaseUnknown, "f"), held(PhaseDone, "f")}, Replay{}},
		"unknown":            {[]Reply{granted, held(PhaseUnknown, "f")}, Unknown{}},
		"other content":      {[]Reply{held(PhaseDone, "g")}, Conflict{}},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVote(3, "f")
			for _, r := range c.replies {
				v.Add(r)
			}
			assert.Equal(t, fmt.Sprintf("%T", v.Verdict(true)), fmt.Sprintf("%T", c.want))
		})
	}
}

// group is replicas without a network. A replica that restarts forgets all
// and answers again after a quiet time and copies from a majority.
type group struct {
	*simul.Clock
	t       *rapid.T
	tables  []*Table
	ready   []bool
	since   []time.Time
	runs    []RunID
	claimed int
}

const (
	claimTime = 500 * time.Millisecond
	quietTime = 2 * claimTime
)

func newGroup(t *rapid.T) *group {
	g := &group{Clock: simul.NewClock(epoch), t: t}
	n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
	for range n {
		g.tables = append(g.tables, NewTable(time.Hour, 1000))
	}
	g.ready, g.since = make([]bool, n), make([]time.Time, n)
	for i := range g.ready {
		g.ready[i] = true
	}
	return g
}

// soon lets something happen after a random delay.
func (g *group) soon(do func()) {
	d := time.Duration(rapid.SampledFrom([]int{0, 1, 100, 499, 700, 5000}).Draw(g.t, "delay")) * time.Millisecond
	g.AfterFunc(d, do)
}

// claim sends a claim to all; replies count only within the claim time.
func (g *group) claim() {
	g.claimed++
	runner := RunID(fmt.Sprint("r", g.claimed))
	vote, began, decided := NewVote(len(g.tables), "f"), g.Now(), false
	for i := range g.tables {
		if rapid.IntRange(0, 5).Draw(g.t, "lost") == 0 {
			continue
		}
		g.soon(func() {
			if !g.ready[i] {
				return
			}
			reply := g.tables[i].Begin(g.Now(), claim(runner))
			g.soon(func() {
				if decided || g.Now().Sub(began) > claimTime {
					return
				}
				vote.Add(reply)
				if _, run := vote.Verdict(false).(Run); run {
					decided = true
					g.run(runner)
				}
			})
		})
	}
	g.AfterFunc(claimTime, func() {
		if !decided {
			decided = true
			g.tell(func(t *Table) { t.Release(order, runner) })
		}
	})
}

func (g *group) run(runner RunID) {
	g.runs = append(g.runs, runner)
	if len(g.runs) > 1 {
		g.t.Fatalf("the action was run by %v", g.runs)
	}
	switch rapid.IntRange(0, 2).Draw(g.t, "end") {
	case 0: // the runner is lost and tells nobody
	case 1:
		g.tell(func(t *Table) { t.End(g.Now(), order, "f", runner, PhaseDone, Response{}) })
	case 2: // it has not run, so another may
		g.runs = nil
		g.tell(func(t *Table) { t.Release(order, runner) })
	}
}

func (g *group) tell(do func(*Table)) {
	for i := range g.tables {
		if rapid.IntRange(0, 5).Draw(g.t, "lost") > 0 {
			g.soon(func() {
				if g.ready[i] {
					do(g.tables[i])
				}
			})
		}
	}
}

func (g *group) restart(i int) {
	g.tables[i], g.ready[i], g.since[i] = NewTable(time.Hour, 1000), false, g.Now()
}

// recover copies from the others if a majority of the group, without this
// replica, is ready.
func (g *group) recover(i int) {
	if g.ready[i] || g.Now().Sub(g.since[i]) < quietTime {
		return
	}
	var from []*Table
	for j, table := range g.tables {
		if j != i && g.ready[j] {
			from = append(from, table)
		}
	}
	if len(from) < len(g.tables)/2+1 {
		return
	}
	for _, table := range from[:len(g.tables)/2+1] {
		g.tables[i].Merge(g.Now(), table.Records(g.Now()))
	}
	g.ready[i] = true
}

// TestNeverRunTwice lets runners claim one action again and again while
// messages are late or lost and replicas restart without memory.
func TestNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(g.tables)-1).Draw(t, "replica")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				g.Advance(time.Duration(rapid.SampledFrom([]int{1, 100, 600, 3000}).Draw(t, "ms")) * time.Millisecond)
			case 2, 3:
				g.claim()
			case 4:
				g.restart(i)
			case 5, 6:
				g.recover(i)
			}
		}
	})
}
