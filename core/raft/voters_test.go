package raft

import (
	"fmt"
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// Times of the platform in ticks of 50 ms.
const (
	catchUpTicks = 80 // after this time the next disk may be lost
	joinTicks    = 10 // interval between requests to join
	startTicks   = 16 // from the loss of a disk to the first request to join
)

var testPolicy = VoterPolicy{Target: 3, UnreachableAfter: 40, SilentAfter: 8, RemoveSuperseded: true}

// machines is a cluster whose leader maintains the voters. Nodes that have no member
// entry ask to join, and a machine that has lost its disk runs a new node at the address.
type machines struct {
	*cluster
	policy VoterPolicy
	tick   int
	// joining holds the address of each new node, and the tick of its next request.
	joining map[ident.Node]string
	next    map[ident.Node]int
	// current is the node at each address.
	current map[string]ident.Node
}

func newMachines(n int, policy VoterPolicy, seed uint64) *machines {
	m := &machines{
		cluster: &cluster{
			hosts: map[ident.Node]*host{}, cut: map[[2]ident.Node]bool{}, seed: seed,
			leaders: map[Term]ident.Node{}, committed: map[Index]Entry{}, electionTicks: testElection,
		},
		policy: policy, joining: map[ident.Node]string{}, next: map[ident.Node]int{}, current: map[string]ident.Node{},
	}
	var first []Peer
	for i := range n {
		p := Peer{ID: ident.Node(fmt.Sprintf("v%d", i+1)), Address: fmt.Sprintf("10.0.0.%d", i+1)}
		if i < policy.Target {
			first = append(first, p)
		}
		m.current[p.Address] = p.ID
	}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d", i+1)
		snapshot := Snapshot{}
		if i < policy.Target {
			snapshot.Members.Voters = first
		} else {
			m.joining[m.current[address]] = address
		}
		m.add(m.current[address], snapshot)
	}
	return m
}

// advance runs the cluster; the leader maintains the members, and new nodes join.
func (m *machines) advance(ticks int) {
	for range ticks {
		m.tick++
		m.run(1)
		leader, ok := m.leader()
		if !ok {
			continue
		}
		node := m.hosts[leader].node
		for id, address := range m.joining {
			if _, listed := node.Status().Members.Address(id); listed || m.tick < m.next[id] || !m.hosts[id].up {
				continue
			}
			m.next[id] = m.tick + joinTicks
			effects, _ := node.AddLearner(Peer{ID: id, Address: address}) // the node asks again
			m.execute(leader, effects, -1)
		}
		for _, change := range m.policy.Changes(node.Status()) {
			if m.startChange(leader, change) {
				break
			}
		}
	}
}

func (m *machines) startChange(leader ident.Node, change VoterChange) bool {
	var effects []Effect
	var err error
	switch change := change.(type) {
	case RemoveMember:
		effects, err = m.hosts[leader].node.Remove(change.ID)
	case PromoteLearner:
		effects, err = m.hosts[leader].node.Promote(change.ID)
	}
	m.execute(leader, effects, -1)
	return err == nil
}

// loseDisk stops the node of a machine for good; a new one starts with an empty disk.
func (m *machines) loseDisk(address string) {
	m.hosts[m.current[address]].up = false
	delete(m.joining, m.current[address])
	id := ident.Node(fmt.Sprintf("%s#%d", m.current[address], m.tick))
	m.current[address] = id
	m.joining[id], m.next[id] = address, m.tick+startTicks
	m.add(id, Snapshot{})
}

// addressOf returns the address of the machine that leads, or of the n-th one that does
// not.
func (m *machines) addressOf(t testing.TB, leads bool, n int) string {
	t.Helper()
	leader := mustLead(t, m.cluster)
	for i := 1; i <= len(m.current); i++ {
		address := fmt.Sprintf("10.0.0.%d", i)
		if (m.current[address] == leader) != leads {
			continue
		}
		if n == 0 {
			return address
		}
		n--
	}
	t.Fatal("no such machine")
	return ""
}

func mustCommit(t testing.TB, m *machines) {
	t.Helper()
	leader := mustLead(t, m.cluster)
	before := m.hosts[leader].node.log.commit
	assert.Assert(t, m.propose(leader))
	m.advance(testElection)
	assert.Assert(t, m.hosts[mustLead(t, m.cluster)].node.log.commit > before)
	mustHoldInvariants(t, m.cluster)
}

// Disks are lost in turn, each as soon as the machine before counts as back: the set must
// keep a majority, whatever the machines are.
func TestDisksLostInTurnKeepAMajority(t *testing.T) {
	const recoveryTicks = 300
	cases := map[string]struct {
		machines int
		leads    []bool // whether the machine that loses its disk leads
		index    []int
	}{
		"two followers":             {3, []bool{false, false}, []int{0, 1}},
		"the leader, then another":  {3, []bool{true, true}, []int{0, 0}},
		"a follower, then leader":   {3, []bool{false, true}, []int{0, 0}},
		"four machines, leaders":    {4, []bool{true, true, true}, []int{0, 0, 0}},
		"four machines, followers":  {4, []bool{false, false, false}, []int{0, 1, 2}},
		"the same machine again":    {3, []bool{false, false, false}, []int{0, 0, 1}},
		"five losses, mixed leads":  {3, []bool{true, false, true, false, true}, []int{0, 1, 0, 0, 0}},
		"leader, follower, machine": {4, []bool{true, false, false}, []int{0, 2, 0}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				m := newMachines(test.machines, testPolicy, seed)
				m.advance(catchUpTicks)
				mustCommit(t, m)
				for i := range test.leads {
					m.loseDisk(m.addressOf(t, test.leads[i], test.index[i]))
					m.advance(startTicks - joinTicks + catchUpTicks)
				}
				m.advance(recoveryTicks)
				mustCommit(t, m)
				assert.Equal(t, len(m.hosts[mustLead(t, m.cluster)].node.Status().Members.Voters), testPolicy.Target)
			}
		})
	}
}

// A voter whose machine is gone is replaced by one at another address before the next
// loss is allowed, also if it led.
func TestGoneMachineIsReplacedInTime(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("it leads: %v", leads), func(t *testing.T) {
			for seed := range uint64(20) {
				m := newMachines(4, testPolicy, seed)
				m.advance(catchUpTicks)
				gone := m.addressOf(t, leads, 0)
				m.hosts[m.current[gone]].up = false
				delete(m.joining, m.current[gone])
				m.advance(catchUpTicks)
				_, listed := m.hosts[mustLead(t, m.cluster)].node.Status().Members.Address(m.current[gone])
				assert.Assert(t, !listed)
				m.loseDisk(m.addressOf(t, true, 0))
				m.advance(300)
				mustCommit(t, m)
			}
		})
	}
}

// A node that asks to join at the address of a voter must not cost that voter its vote
// while the voter replies, nor after a late request of a node that is gone again.
func TestVoterThatRepliesIsNotSuperseded(t *testing.T) {
	members := func(learner bool) Membership {
		m := Membership{Voters: []Peer{{"a", "1"}, {"b", "2"}, {"c", "3"}}}
		if learner {
			m.Learners = []Peer{{"b#1", "2"}}
		}
		return m
	}
	status := func(b, joiner Ticks) Status {
		return Status{
			ID: "a", Leading: true, LeadingTicks: 100, Members: members(true),
			SinceReply: map[ident.Node]Ticks{"b": b, "c": 0, "b#1": joiner},
		}
	}
	isRemoved := func(st Status) bool {
		changes := testPolicy.Changes(st)
		return len(changes) > 0 && changes[0] == RemoveMember{"b"}
	}
	t.Run("silent, the successor replies", func(t *testing.T) { assert.Assert(t, isRemoved(status(9, 1))) })
	t.Run("both reply", func(t *testing.T) { assert.Assert(t, !isRemoved(status(2, 1))) })
	t.Run("both silent", func(t *testing.T) { assert.Assert(t, !isRemoved(status(20, 20))) })
	t.Run("the learner is gone, the voter replies", func(t *testing.T) {
		assert.DeepEqual(t, testPolicy.Changes(status(1, 20)), []VoterChange{RemoveMember{"b#1"}})
	})
	t.Run("a leader that has just been elected", func(t *testing.T) {
		st := status(9, 1)
		st.LeadingTicks = 3
		assert.Assert(t, !isRemoved(st))
	})
	t.Run("operators manage the voters", func(t *testing.T) {
		policy := testPolicy
		policy.RemoveSuperseded = false
		assert.Equal(t, len(policy.Changes(status(9, 1))), 0)
	})
	t.Run("a restart within the time of an unreachable voter", func(t *testing.T) {
		st := status(39, 1)
		st.Members.Learners[0].Address = "4"
		assert.Equal(t, len(testPolicy.Changes(st)), 0)
	})
	t.Run("an unreachable voter with no successor at its address", func(t *testing.T) {
		st := status(41, 1)
		st.Members.Learners[0].Address = "4"
		assert.DeepEqual(t, testPolicy.Changes(st), []VoterChange{PromoteLearner{"b#1"}})
	})
}

// The silence of a leader that is gone counts from its last message, not anew from the
// election; otherwise it is replaced later than any other voter.
func TestSilenceOfTheFormerLeaderCounts(t *testing.T) {
	c := newCluster(3, 0, 31)
	c.run(4 * testElection)
	former := mustLead(t, c)
	c.hosts[former].up = false
	ticks := 0
	for leader, ok := c.leader(); !ok || leader == former; leader, ok = c.leader() {
		c.run(1)
		ticks++
	}
	st := c.hosts[mustLead(t, c)].node.Status()
	assert.Assert(t, int(st.SinceReply[former]) >= ticks-testHeartbeat, "%d of %d ticks", st.SinceReply[former], ticks)
	for id, silence := range st.SinceReply {
		assert.Assert(t, id == former || silence == 0, "%s: %d ticks", id, silence)
	}
}
