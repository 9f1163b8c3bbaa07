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

func mustHoldInvariants(t testing.TB, c *cluster) {
	t.Helper()
	assert.Equal(t, c.violation, "")
}

func TestSingleNodeCommits(t *testing.T) {
	c := newCluster(1, 0, 1)
	c.run(3 * testElection)
	assert.Assert(t, c.propose(mustLead(t, c)))
	assert.Equal(t, len(c.committed), 2) // the no-op entry of the term and the command
}

func TestThreeNodesElectAndCommit(t *testing.T) {
	c := newCluster(3, 0, 1)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	assert.Assert(t, c.propose(leader))
	c.run(testElection)
	for _, id := range c.ids {
		assert.Equal(t, c.hosts[id].node.log.commit, c.hosts[leader].node.log.commit, "%s", id)
	}
	mustHoldInvariants(t, c)
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "no inbound": {true, false}, "no outbound": {false, true}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3, 0, 7)
			c.run(4 * testElection)
			old := mustLead(t, c)
			c.isolate(old, cut[0], cut[1])
			c.run(6 * testElection)
			assert.Assert(t, !c.hosts[old].node.Status().Leading, "the isolated node is still leader")
			assert.Assert(t, mustLead(t, c) != old)
			mustHoldInvariants(t, c)
		})
	}
}

func TestIsolatedLeaderCommitsNothing(t *testing.T) {
	c := newCluster(3, 0, 3)
	c.run(4 * testElection)
	old := mustLead(t, c)
	c.isolate(old, true, true)
	before := len(c.committed)
	assert.Assert(t, c.propose(old))
	c.run(6 * testElection)
	newLeader := mustLead(t, c)
	assert.Assert(t, c.propose(newLeader))
	c.heal(6 * testElection)
	mustHoldInvariants(t, c)
	assert.Equal(t, len(c.committed) > before, true)
	assert.Equal(t, c.hosts[old].node.log.last(), c.hosts[newLeader].node.log.last())
}

func TestReturningNodeDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(3, 0, 5)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	other := c.ids[0]
	if other == leader {
		other = c.ids[1]
	}
	c.isolate(other, true, true)
	c.run(20 * testElection)
	term := c.hosts[leader].node.Status().Term
	c.heal(4 * testElection)
	assert.Equal(t, mustLead(t, c), leader)
	assert.Equal(t, c.hosts[leader].node.Status().Term, term)
}

// After a restart of all nodes at once, nothing is committed until a leader is
// elected. The shorter timeout after a start keeps that time short.
func TestLeaderElectedSoonAfterFullRestart(t *testing.T) {
	elected := 0
	const runs = 50
	for seed := range uint64(runs) {
		c := newCluster(3, 0, 100*seed)
		c.run(6 * testElection)
		mustLead(t, c)
		for _, id := range c.ids {
			c.toggle(id)
		}
		c.heal(testElection)
		if _, ok := c.leader(); ok {
			elected++
		}
		mustHoldInvariants(t, c)
	}
	assert.Assert(t, elected >= runs*9/10, "%d of %d clusters had a leader within the minimum election timeout", elected, runs)
}

// The shorter election timeout after a start must still be long enough for a
// heartbeat, so that a restarted node does not depose a working leader.
func TestRestartedNodeDoesNotDeposeLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(3, 0, 100*seed)
		c.run(6 * testElection)
		leader := mustLead(t, c)
		term := c.hosts[leader].node.Status().Term
		for _, id := range c.ids {
			if id != leader {
				c.toggle(id)
				c.toggle(id)
				c.run(4 * testElection)
			}
		}
		assert.Equal(t, mustLead(t, c), leader)
		assert.Equal(t, c.hosts[leader].node.Status().Term, term)
	}
}

func TestLearnerIsPromotedOnlyWithCompleteLog(t *testing.T) {
	c := newCluster(3, 1, 9)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	for range 20 {
		c.propose(leader)
	}
	c.run(testElection)
	effects, err := c.hosts[leader].node.AddLearner(Peer{ID: "j1"})
	assert.NilError(t, err)
	c.execute(leader, effects, -1)
	_, err = c.hosts[leader].node.Promote("j1")
	assert.ErrorIs(t, err, ErrLearnerBehind)
	c.run(2 * testElection)
	effects, err = c.hosts[leader].node.Promote("j1")
	assert.NilError(t, err)
	c.execute(leader, effects, -1)
	c.run(testElection)
	assert.Equal(t, len(c.hosts["j1"].node.Status().Members.Voters), 4)
}

func TestRemoveKeepsReachableMajority(t *testing.T) {
	c := newCluster(3, 0, 11)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	var followers []ident.Node
	for _, id := range c.ids {
		if id != leader {
			followers = append(followers, id)
		}
	}
	c.isolate(followers[0], true, true)
	c.run(2 * testElection)
	_, err := c.hosts[leader].node.Remove(followers[1])
	assert.ErrorIs(t, err, ErrNoMajority)
	effects, err := c.hosts[leader].node.Remove(followers[0])
	assert.NilError(t, err)
	c.execute(leader, effects, -1)
	c.run(testElection)
	assert.Equal(t, len(c.hosts[leader].node.Status().Members.Voters), 2)
}

// A second VM fails right after the first was replaced. No committed entry may be
// lost, and the two remaining voters must still commit.
func TestSecondFailureAfterReplacement(t *testing.T) {
	c := newCluster(3, 1, 13)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	lost := c.ids[0]
	if lost == leader {
		lost = c.ids[1]
	}
	c.hosts[lost].up = false
	step := func(effects []Effect, err error) {
		t.Helper()
		assert.NilError(t, err)
		c.execute(leader, effects, -1)
		c.run(2 * testElection)
	}
	step(c.hosts[leader].node.AddLearner(Peer{ID: "j1"}))
	step(c.hosts[leader].node.Promote("j1"))
	step(c.hosts[leader].node.Remove(lost))
	assert.Assert(t, c.propose(leader))
	c.run(testElection)
	committed := len(c.committed)
	c.hosts[leader].up = false
	c.run(8 * testElection)
	assert.Assert(t, c.propose(mustLead(t, c)))
	c.run(testElection)
	assert.Assert(t, len(c.committed) > committed)
	mustHoldInvariants(t, c)
}

// A leader removes itself and is isolated before the entry reaches a follower.
// It alone has the longest log, so it must still be allowed to start an election;
// otherwise the cluster can't elect a leader.
func TestRemovedLeaderMayCampaignUntilCommitted(t *testing.T) {
	c := newCluster(2, 0, 23)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	c.isolate(leader, true, true)
	effects, err := c.hosts[leader].node.Remove(leader)
	assert.NilError(t, err)
	c.execute(leader, effects, -1)
	c.run(4 * testElection)
	assert.Assert(t, !c.hosts[leader].node.Status().Leading)
	c.heal(20 * testElection)
	assert.Assert(t, mustLead(t, c) != leader)
	mustHoldInvariants(t, c)
}

func TestFollowerFarBehindGetsSnapshot(t *testing.T) {
	c := newCluster(3, 0, 17)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	behind := c.ids[0]
	if behind == leader {
		behind = c.ids[1]
	}
	c.hosts[behind].up = false
	for range 3 * CatchUpEntries {
		c.propose(leader)
		c.run(1)
	}
	c.compact(leader)
	c.heal(4 * testElection)
	assert.Equal(t, c.hosts[behind].node.log.commit, c.hosts[leader].node.log.commit)
	mustHoldInvariants(t, c)
}

func TestQuorumAgeGrowsWithoutMajority(t *testing.T) {
	c := newCluster(3, 0, 19)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	assert.Assert(t, c.hosts[leader].node.Status().QuorumAgeTicks <= 2*testHeartbeat)
	c.isolate(leader, true, true)
	c.run(testElection / 2)
	assert.Assert(t, c.hosts[leader].node.Status().QuorumAgeTicks >= testElection/2-1)
}

// TestRandomFaults subjects clusters to random message loss, duplication and
// reordering, one-way partitions, crashes between effects, compactions and
// membership changes. Committed entries must never change, each term must have at
// most one leader, and all voters must agree again once the faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), 2, rapid.Uint64().Draw(t, "seed"))
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		c.run(2 * testElection)
		for range steps {
			randomStep(t, c)
			if c.violation != "" {
				t.Fatal(c.violation)
			}
		}
		c.heal(40 * testElection)
		if c.violation != "" {
			t.Fatal(c.violation)
		}
		checkAgreement(t, c)
	})
}

func randomStep(t *rapid.T, c *cluster) {
	id := rapid.SampledFrom(c.ids).Draw(t, "node")
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
		if len(c.inFlight) > 0 {
			c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "keep"), crash)
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
	const maxInFlight = 300
	if len(c.inFlight) > maxInFlight {
		c.inFlight = c.inFlight[len(c.inFlight)-maxInFlight:]
	}
}

func changeMembers(t *rapid.T, c *cluster, id ident.Node) {
	leader, ok := c.leader()
	if !ok {
		return
	}
	n := c.hosts[leader].node
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
	c.execute(leader, effects, -1)
}

// checkAgreement verifies that there is a leader, that its commit index covers all
// committed entries and that all its voters have the same commit index.
func checkAgreement(t *rapid.T, c *cluster) {
	leader, ok := c.leader()
	if !ok {
		for _, id := range c.ids {
			t.Logf("%s: %+v", id, c.hosts[id].node.Status())
		}
		t.Fatalf("no leader after the end of the faults")
	}
	st := c.hosts[leader].node.Status()
	if int(st.Commit) < len(c.committed) {
		t.Fatalf("the leader's commit index is %d, but %d entries were committed", st.Commit, len(c.committed))
	}
	for _, p := range st.Members.Voters {
		if at := c.hosts[p.ID].node.log.commit; at != st.Commit {
			t.Fatalf("voter %s committed up to %d, leader %s up to %d", p.ID, at, leader, st.Commit)
		}
	}
}

// A leader that was replaced during a read must not confirm it; otherwise the read
// could return data that the new leader has changed since.
func TestReadNeedsMajority(t *testing.T) {
	c := newCluster(3, 0, 5)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	node := c.hosts[leader].node
	_, round, err := node.BeginRead()
	assert.NilError(t, err)
	c.run(testElection)
	assert.Assert(t, node.ConfirmedRound() >= round)

	c.isolate(leader, true, true)
	_, round, err = node.BeginRead()
	assert.NilError(t, err)
	c.run(6 * testElection)
	assert.Assert(t, node.ConfirmedRound() < round, "an isolated leader confirmed a read")
	for _, id := range c.ids {
		if id != mustLead(t, c) {
			_, _, err := c.hosts[id].node.BeginRead()
			assert.ErrorIs(t, err, ErrNotLeader)
		}
	}
	mustHoldInvariants(t, c)
}

// Guards against a change that is acknowledged and reaches the relays only with the next
// heartbeat, or only after an election if the leader stops before that.
func TestFollowersHearOfACommitBeforeItIsAcknowledged(t *testing.T) {
	c := newCluster(3, 0, 1)
	c.run(4 * testElection)
	leader := mustLead(t, c)
	n := c.hosts[leader].node
	assert.Assert(t, c.propose(leader))
	at := n.log.last()
	follower := c.ids[0]
	if follower == leader {
		follower = c.ids[1]
	}
	notified := map[ident.Node]bool{}
	for _, e := range n.Step(Message{Kind: KindAppendReply, From: follower, To: leader, Term: n.hard.Term, Index: at, Granted: true, Round: n.round}) {
		switch e := e.(type) {
		case Send:
			notified[e.Message.To] = notified[e.Message.To] || e.Message.Commit >= at
		case Commit:
			assert.Equal(t, len(notified), 2, "the commit takes effect here before the others are told")
			return
		}
	}
	t.Fatal("nothing was committed")
}
