package raft

import (
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { simul.Main(m) }

func mustLead(t testing.TB, c *cluster) ident.Node {
	t.Helper()
	id, ok := c.leader()
	assert.Assert(t, ok, "no leader")
	return id
}

func mustSound(t testing.TB, c *cluster) {
	t.Helper()
	assert.Equal(t, c.fault, "")
}

func TestOneNodeDecidesAlone(t *testing.T) {
	c := newCluster(1, 0, 1)
	c.run(3 * testElection)
	assert.Assert(t, c.propose(mustLead(t, c)))
	assert.Equal(t, len(c.decided), 2) // the term's first entry and the command
}

func TestThreeNodesElectAndDecide(t *testing.T) {
	c := newCluster(3, 0, 1)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	assert.Assert(t, c.propose(lead))
	c.run(testElection)
	for _, id := range c.names {
		assert.Equal(t, c.hosts[id].node.log.commit, c.hosts[lead].node.log.commit, "%s", id)
	}
	mustSound(t, c)
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "hears nothing": {true, false}, "is not heard": {false, true}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3, 0, 7)
			c.run(4 * testElection)
			old := mustLead(t, c)
			c.isolate(old, cut[0], cut[1])
			c.run(6 * testElection)
			assert.Assert(t, !c.hosts[old].node.Status().Leading, "the isolated leader still leads")
			assert.Assert(t, mustLead(t, c) != old)
			mustSound(t, c)
		})
	}
}

func TestIsolatedLeaderDecidesNothingAndLosesNothing(t *testing.T) {
	c := newCluster(3, 0, 3)
	c.run(4 * testElection)
	old := mustLead(t, c)
	c.isolate(old, true, true)
	before := len(c.decided)
	assert.Assert(t, c.propose(old))
	c.run(6 * testElection)
	fresh := mustLead(t, c)
	assert.Assert(t, c.propose(fresh))
	c.settle(6 * testElection)
	mustSound(t, c)
	assert.Equal(t, len(c.decided) > before, true)
	assert.Equal(t, c.hosts[old].node.log.last(), c.hosts[fresh].node.log.last())
}

func TestReturningNodeDoesNotDisturb(t *testing.T) {
	c := newCluster(3, 0, 5)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	other := c.names[0]
	if other == lead {
		other = c.names[1]
	}
	c.isolate(other, true, true)
	c.run(20 * testElection)
	term := c.hosts[lead].node.Status().Term
	c.settle(4 * testElection)
	assert.Equal(t, mustLead(t, c), lead)
	assert.Equal(t, c.hosts[lead].node.Status().Term, term)
}

// After all have been lost at once nothing is decided until there is a leader.
func TestAllRestartedElectSoon(t *testing.T) {
	soon := 0
	const tries = 50
	for seed := range uint64(tries) {
		c := newCluster(3, 0, 100*seed)
		c.run(6 * testElection)
		mustLead(t, c)
		for _, id := range c.names {
			c.toggle(id)
		}
		c.settle(testElection)
		if _, ok := c.leader(); ok {
			soon++
		}
		mustSound(t, c)
	}
	assert.Assert(t, soon >= tries*9/10, "%d of %d had a leader within the shortest wait of a settled node", soon, tries)
}

// A node that starts waits for a shorter time, and yet never long enough to
// replace a leader that works.
func TestStartingNodeDoesNotDisturb(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(3, 0, 100*seed)
		c.run(6 * testElection)
		lead := mustLead(t, c)
		term := c.hosts[lead].node.Status().Term
		for _, id := range c.names {
			if id != lead {
				c.toggle(id)
				c.toggle(id)
				c.run(4 * testElection)
			}
		}
		assert.Equal(t, mustLead(t, c), lead)
		assert.Equal(t, c.hosts[lead].node.Status().Term, term)
	}
}

func TestJoinerIsPromotedOnlyWhenItHoldsTheLog(t *testing.T) {
	c := newCluster(3, 1, 9)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	for range 20 {
		c.propose(lead)
	}
	c.run(testElection)
	effects, err := c.hosts[lead].node.AddLearner(Peer{ID: "j1"})
	assert.NilError(t, err)
	c.carryOut(lead, effects, -1)
	_, err = c.hosts[lead].node.Promote("j1")
	assert.ErrorIs(t, err, ErrLearnerBehind)
	c.run(2 * testElection)
	effects, err = c.hosts[lead].node.Promote("j1")
	assert.NilError(t, err)
	c.carryOut(lead, effects, -1)
	c.run(testElection)
	assert.Equal(t, len(c.hosts["j1"].node.Status().Members.Voters), 4)
}

func TestRemoveRefusesToLeaveNoMajority(t *testing.T) {
	c := newCluster(3, 0, 11)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	var followers []ident.Node
	for _, id := range c.names {
		if id != lead {
			followers = append(followers, id)
		}
	}
	c.isolate(followers[0], true, true)
	c.run(2 * testElection)
	_, err := c.hosts[lead].node.Remove(followers[1])
	assert.ErrorIs(t, err, ErrNoMajority)
	effects, err := c.hosts[lead].node.Remove(followers[0])
	assert.NilError(t, err)
	c.carryOut(lead, effects, -1)
	c.run(testElection)
	assert.Equal(t, len(c.hosts[lead].node.Status().Members.Voters), 2)
}

// A second VM is lost right after the first was replaced: nothing decided is
// lost, and the two that are left still decide.
func TestSecondLossRightAfterRepair(t *testing.T) {
	c := newCluster(3, 1, 13)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	lost := c.names[0]
	if lost == lead {
		lost = c.names[1]
	}
	c.hosts[lost].up = false
	step := func(effects []Effect, err error) {
		t.Helper()
		assert.NilError(t, err)
		c.carryOut(lead, effects, -1)
		c.run(2 * testElection)
	}
	step(c.hosts[lead].node.AddLearner(Peer{ID: "j1"}))
	step(c.hosts[lead].node.Promote("j1"))
	step(c.hosts[lead].node.Remove(lost))
	assert.Assert(t, c.propose(lead))
	c.run(testElection)
	decided := len(c.decided)
	c.hosts[lead].up = false
	c.run(8 * testElection)
	assert.Assert(t, c.propose(mustLead(t, c)))
	c.run(testElection)
	assert.Assert(t, len(c.decided) > decided)
	mustSound(t, c)
}

// A leader takes itself out, and the entry reaches nobody before it loses its
// followers. It alone has the longest log, so it must be able to lead again.
func TestLeaderThatRemovesItselfMayLeadUntilDecided(t *testing.T) {
	c := newCluster(2, 0, 23)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	c.isolate(lead, true, true)
	effects, err := c.hosts[lead].node.Remove(lead)
	assert.NilError(t, err)
	c.carryOut(lead, effects, -1)
	c.run(4 * testElection)
	assert.Assert(t, !c.hosts[lead].node.Status().Leading)
	c.settle(20 * testElection)
	assert.Assert(t, mustLead(t, c) != lead)
	mustSound(t, c)
}

func TestFollowerFarBehindGetsTheSnapshot(t *testing.T) {
	c := newCluster(3, 0, 17)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	far := c.names[0]
	if far == lead {
		far = c.names[1]
	}
	c.hosts[far].up = false
	for range 3 * CatchUpEntries {
		c.propose(lead)
		c.run(1)
	}
	c.compact(lead)
	c.settle(4 * testElection)
	assert.Equal(t, c.hosts[far].node.log.commit, c.hosts[lead].node.log.commit)
	mustSound(t, c)
}

func TestAgeGrowsWithoutMajority(t *testing.T) {
	c := newCluster(3, 0, 19)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	assert.Assert(t, c.hosts[lead].node.Status().QuorumAgeTicks <= 2*testHeartbeat)
	c.isolate(lead, true, true)
	c.run(testElection / 2)
	assert.Assert(t, c.hosts[lead].node.Status().QuorumAgeTicks >= testElection/2-1)
}

// TestRandomFaults drives clusters through random drops, repetitions,
// reorderings, one-way cuts, crashes between effects, compactions and
// membership changes. Decided entries never change, a term has one leader,
// and when the faults end all nodes agree again.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), 2, rapid.Uint64().Draw(t, "seed"))
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		c.run(2 * testElection)
		for range steps {
			randomStep(t, c)
			if c.fault != "" {
				t.Fatal(c.fault)
			}
		}
		c.settle(40 * testElection)
		if c.fault != "" {
			t.Fatal(c.fault)
		}
		checkAgreement(t, c)
	})
}

func randomStep(t *rapid.T, c *cluster) {
	id := rapid.SampledFrom(c.names).Draw(t, "node")
	crash := -1
	if rapid.IntRange(0, 60).Draw(t, "crash?") == 0 {
		crash = rapid.IntRange(0, 2).Draw(t, "after")
	}
	switch rapid.IntRange(0, 13).Draw(t, "what") {
	case 0, 1, 2:
		c.tick(id, crash)
	case 3:
		for range testElection {
			c.tick(id, crash)
		}
	case 4, 5, 6, 7:
		if len(c.bag) > 0 {
			c.deliver(rapid.IntRange(0, len(c.bag)-1).Draw(t, "message"), rapid.Bool().Draw(t, "keep"), crash)
		}
	case 8:
		c.run(1)
	case 9:
		c.propose(id)
	case 10:
		c.isolate(id, rapid.Bool().Draw(t, "in"), rapid.Bool().Draw(t, "out"))
	case 11:
		c.cut = map[[2]ident.Node]bool{}
	case 12:
		c.toggle(id)
	case 13:
		changeMembers(t, c, id)
	}
	const bagLimit = 300
	if len(c.bag) > bagLimit {
		c.bag = c.bag[len(c.bag)-bagLimit:]
	}
}

func changeMembers(t *rapid.T, c *cluster, id ident.Node) {
	lead, ok := c.leader()
	if !ok {
		return
	}
	n := c.hosts[lead].node
	var effects []Effect
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		effects, _ = n.AddLearner(Peer{ID: id})
	case 1:
		effects, _ = n.Promote(id)
	case 2:
		effects, _ = n.Remove(id)
	case 3:
		c.compact(id)
	}
	c.carryOut(lead, effects, -1)
}

// checkAgreement verifies that a leader exists and that its voters have all
// of its decided log.
func checkAgreement(t *rapid.T, c *cluster) {
	lead, ok := c.leader()
	if !ok {
		for _, id := range c.names {
			t.Logf("%s: %+v", id, c.hosts[id].node.Status())
		}
		t.Fatalf("no leader after the faults ended")
	}
	st := c.hosts[lead].node.Status()
	if int(st.Commit) < len(c.decided) {
		t.Fatalf("the leader's commit index is %d, %d entries were decided", st.Commit, len(c.decided))
	}
	for _, p := range st.Members.Voters {
		if at := c.hosts[p.ID].node.log.commit; at != st.Commit {
			t.Fatalf("voter %s committed %d, the leader %s %d", p.ID, at, lead, st.Commit)
		}
	}
}

// A read at a leader that was replaced meanwhile is never confirmed, so that it
// can't answer with what the others have changed since.
func TestReadNeedsAMajority(t *testing.T) {
	c := newCluster(3, 0, 5)
	c.run(4 * testElection)
	lead := mustLead(t, c)
	node := c.hosts[lead].node
	_, round, err := node.BeginRead()
	assert.NilError(t, err)
	c.run(testElection)
	assert.Assert(t, node.ConfirmedRound() >= round)

	c.isolate(lead, true, true)
	_, round, err = node.BeginRead()
	assert.NilError(t, err)
	c.run(6 * testElection)
	assert.Assert(t, node.ConfirmedRound() < round, "an isolated leader confirmed a read")
	for _, id := range c.names {
		if id != mustLead(t, c) {
			_, _, err := c.hosts[id].node.BeginRead()
			assert.ErrorIs(t, err, ErrNotLeader)
		}
	}
	mustSound(t, c)
}
