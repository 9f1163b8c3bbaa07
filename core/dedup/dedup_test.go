package dedup

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { simul.Main(m) }

var (
	epoch = time.Unix(1_000_000, 0)
	order = ID{Workspace: "mlyn", Action: "order-1"}
)

func claim(runID RunID) Claim {
	return Claim{ID: order, Fingerprint: "f", RunID: runID, TimeoutMs: 1000}
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
	t.Run("a repeated claim is granted again", func(t *testing.T) {
		assert.Assert(t, begin(t).Begin(epoch, claim("a")).Granted)
	})
	t.Run("a claim of another run is not granted", func(t *testing.T) {
		mustHold(t, begin(t).Begin(epoch, claim("b")), PhaseRunning)
	})
	t.Run("a run without an end becomes unknown", func(t *testing.T) {
		mustHold(t, begin(t).Begin(epoch.Add(time.Second), claim("b")), PhaseUnknown)
	})
	t.Run("a released claim leaves no record", func(t *testing.T) {
		table := begin(t)
		table.Release(order, "other")
		mustHold(t, table.Begin(epoch, claim("b")), PhaseRunning)
		table.Release(order, "a")
		assert.Assert(t, table.Begin(epoch, claim("b")).Granted)
	})
	t.Run("an ended action is kept for the retention time", func(t *testing.T) {
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
	t.Run("old responses are dropped but their actions stay done", func(t *testing.T) {
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
		"majority granted":                   {[]Reply{granted, granted}, Run{}},
		"one grant of three":                 {[]Reply{granted}, Unreachable{}},
		"no reply":                           {nil, Unreachable{}},
		"another run in progress":            {[]Reply{granted, held(PhaseRunning, "f")}, Wait{}},
		"done":                               {[]Reply{granted, held(PhaseDone, "f")}, Replay{}},
		"done takes precedence over unknown": {[]Reply{held(PhaseUnknown, "f"), held(PhaseDone, "f")}, Replay{}},
		"unknown":                            {[]Reply{granted, held(PhaseUnknown, "f")}, Unknown{}},
		"other content":                      {[]Reply{held(PhaseDone, "g")}, Conflict{}},
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

// group simulates the replicas of one group and their network. A restarted replica
// has lost its records. It replies again after the quiet time, once it has copied
// the records of a majority.
type group struct {
	*simul.Clock
	t           *rapid.T
	tables      []*Table
	ready       []bool
	restartedAt []time.Time
	runs        []RunID
	claims      int
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
	g.ready, g.restartedAt = make([]bool, n), make([]time.Time, n)
	for i := range g.ready {
		g.ready[i] = true
	}
	return g
}

// afterDelay calls do after a random delay.
func (g *group) afterDelay(do func()) {
	d := time.Duration(rapid.SampledFrom([]int{0, 1, 100, 499, 700, 5000}).Draw(g.t, "delay")) * time.Millisecond
	g.AfterFunc(d, do)
}

// claim sends a claim to all replicas. Replies after the claim time are ignored.
func (g *group) claim() {
	g.claims++
	runID := RunID(fmt.Sprint("r", g.claims))
	vote, began, decided := NewVote(len(g.tables), "f"), g.Now(), false
	for i := range g.tables {
		if rapid.IntRange(0, 5).Draw(g.t, "lost") == 0 {
			continue
		}
		g.afterDelay(func() {
			if !g.ready[i] {
				return
			}
			reply := g.tables[i].Begin(g.Now(), claim(runID))
			g.afterDelay(func() {
				if decided || g.Now().Sub(began) > claimTime {
					return
				}
				vote.Add(reply)
				if _, run := vote.Verdict(false).(Run); run {
					decided = true
					g.run(runID)
				}
			})
		})
	}
	g.AfterFunc(claimTime, func() {
		if !decided {
			decided = true
			g.sendToSome(func(t *Table) { t.Release(order, runID) })
		}
	})
}

func (g *group) run(runID RunID) {
	g.runs = append(g.runs, runID)
	if len(g.runs) > 1 {
		g.t.Fatalf("the action ran more than once: %v", g.runs)
	}
	switch rapid.IntRange(0, 2).Draw(g.t, "end") {
	case 0: // the caller fails and reports no outcome
	case 1:
		g.sendToSome(func(t *Table) { t.End(g.Now(), order, "f", runID, PhaseDone, Response{}) })
	case 2: // the action has not run, so another run may
		g.runs = nil
		g.sendToSome(func(t *Table) { t.Release(order, runID) })
	}
}

func (g *group) sendToSome(do func(*Table)) {
	for i := range g.tables {
		if rapid.IntRange(0, 5).Draw(g.t, "lost") > 0 {
			g.afterDelay(func() {
				if g.ready[i] {
					do(g.tables[i])
				}
			})
		}
	}
}

func (g *group) restart(i int) {
	g.tables[i], g.ready[i], g.restartedAt[i] = NewTable(time.Hour, 1000), false, g.Now()
}

// recover copies the records of a majority of the group if so many other replicas
// are ready.
func (g *group) recover(i int) {
	if g.ready[i] || g.Now().Sub(g.restartedAt[i]) < quietTime {
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

// TestNeverRunsTwice claims one action repeatedly while messages are delayed or
// lost and replicas restart without their records. At most one run may be granted.
func TestNeverRunsTwice(t *testing.T) {
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

// Guards against stored responses whose headers take the memory that is meant for all of them.
func TestHeadersOfStoredResponsesCount(t *testing.T) {
	const actions, lines, limit = 50, 100, 64 << 10
	table := NewTable(time.Minute, limit)
	head := func() map[string][]string {
		h := map[string][]string{}
		for i := range lines {
			h[fmt.Sprintf("N%d", i)] = []string{""}
		}
		return h
	}
	kept := 0
	for i := range actions {
		id := ID{Workspace: "mlyn", Action: ident.ActionID(fmt.Sprint(i))}
		table.End(epoch, id, "f", "a", PhaseDone, Response{Stored: i%2 == 0, Status: 200, Header: head()})
	}
	for _, r := range table.Records(epoch) {
		assert.Equal(t, r.Phase, PhaseDone)
		kept += len(r.Response.Header)
		assert.Assert(t, r.Response.Stored || r.Response.Header == nil)
	}
	assert.Assert(t, kept > 0 && kept*lineBytes <= limit, "%d lines are kept", kept)
	later := epoch.Add(time.Hour)
	assert.Equal(t, len(table.Records(later)), 0)
	assert.Equal(t, table.storedBytes, 0)
}
