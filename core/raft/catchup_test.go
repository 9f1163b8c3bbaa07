package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// slowNetwork delivers messages after a delay, and lets a node handle only some of them
// in each tick.
type slowNetwork struct {
	*cluster
	delay, handledPerTick int
	tick                  int
	underway              map[ident.Node][]delayedMessage
	// entriesTo and bytesTo count what was sent to each node.
	entriesTo, bytesTo map[ident.Node]int
	largest            int
}

type delayedMessage struct {
	Message
	due int
}

const (
	// slowElection is long enough for a leader at every delay of the tests.
	slowElection = 40
	// largestMessage is the size that a message may have in bytes, and mostUnhandled the
	// number of messages that may wait at a follower.
	largestMessage = 512 << 10
	mostUnhandled  = 64
)

func newSlowNetwork(delay, handledPerTick int) *slowNetwork {
	s := &slowNetwork{
		cluster: newCluster(3, 0, 1), delay: delay, handledPerTick: handledPerTick,
		underway: map[ident.Node][]delayedMessage{}, entriesTo: map[ident.Node]int{}, bytesTo: map[ident.Node]int{},
	}
	s.electionTicks = slowElection
	for _, id := range s.ids {
		s.cluster.start(id)
	}
	return s
}

// follower returns a node that does not lead, once there is a leader.
func (s *slowNetwork) follower(t *testing.T) (id, leader ident.Node) {
	t.Helper()
	s.steps(10*slowElection, 0)
	leader, ok := s.leader()
	assert.Assert(t, ok)
	for _, id = range s.ids {
		if id != leader {
			break
		}
	}
	return id, leader
}

// step advances time by one tick.
func (s *slowNetwork) step() {
	s.tick++
	for _, id := range s.ids {
		handled := 0
		for len(s.underway[id]) > 0 && s.underway[id][0].due <= s.tick && handled < s.handledPerTick {
			m := s.underway[id][0].Message
			s.underway[id] = s.underway[id][1:]
			handled++
			if h := s.hosts[id]; h.up {
				s.execute(id, h.node.Step(roundTrip(m)), -1)
			}
		}
		s.cluster.tick(id, -1)
		s.send()
	}
}

func (s *slowNetwork) send() {
	for _, m := range s.inFlight {
		data, _ := json.Marshal(m)
		s.entriesTo[m.To] += len(m.Entries)
		s.bytesTo[m.To] += len(data)
		s.largest = max(s.largest, len(data))
		if s.hosts[m.To].up {
			s.underway[m.To] = append(s.underway[m.To], delayedMessage{Message: m, due: s.tick + s.delay})
		}
	}
	s.inFlight = nil
}

func (s *slowNetwork) steps(ticks, proposals int) {
	for range ticks {
		if leader, ok := s.leader(); ok {
			for range proposals {
				s.propose(leader)
			}
		}
		s.send()
		s.step()
	}
}

// followerThatWasAway stops a follower while changes are made and starts it again.
func (s *slowNetwork) followerThatWasAway(t *testing.T, away, proposals int) (id ident.Node, missing int) {
	t.Helper()
	id, leader := s.follower(t)
	s.hosts[id].up = false
	s.underway[id] = nil
	before := s.hosts[leader].node.Status().Last
	s.steps(away, proposals)
	s.start(id)
	return id, int(s.hosts[leader].node.Status().Last - before)
}

// Guards against rejections and heartbeats that each send the missing entries again.
func TestReturningFollowerIsSentEachEntryOnce(t *testing.T) {
	const away, after = 180, 200
	for _, tc := range []struct{ delay, proposals, handledPerTick int }{
		{1, 1, 100},
		{2, 1, 100},
		{4, 1, 100},
		{4, 2, 100},
	} {
		t.Run(fmt.Sprintf("delay %d, %d changes a tick", tc.delay, tc.proposals), func(t *testing.T) {
			s := newSlowNetwork(tc.delay, tc.handledPerTick)
			id, missing := s.followerThatWasAway(t, away, tc.proposals)
			s.entriesTo[id] = 0
			s.steps(after, tc.proposals)
			leader, _ := s.leader()
			want := missing + after*tc.proposals
			assert.Assert(t, s.entriesTo[id] <= want*5/4, "%d entries were sent for %d", s.entriesTo[id], want)
			behind := s.hosts[leader].node.Status().Last - s.hosts[id].node.Status().Last
			assert.Assert(t, int(behind) <= 4*tc.delay*tc.proposals, "%d entries behind", behind)
			assert.Equal(t, s.violation, "")
		})
	}
}

// Guards against a slow follower whose unhandled messages pile up until they are as old as
// they are useless.
func TestMessagesOfASlowFollowerDoNotPileUp(t *testing.T) {
	const handledPerTick = 2
	s := newSlowNetwork(4, handledPerTick)
	id, _ := s.followerThatWasAway(t, 180, 2)
	longest := 0
	for range 200 {
		s.steps(1, 2)
		longest = max(longest, len(s.underway[id]))
	}
	assert.Assert(t, longest <= mostUnhandled, "%d messages wait", longest)
	leader, _ := s.leader()
	behind := s.hosts[leader].node.Status().Last - s.hosts[id].node.Status().Last
	assert.Assert(t, behind <= 2*batchEntries, "%d entries behind", behind)
}

// Guards against messages that are bounded in entries, but not in bytes.
func TestMessagesAreBoundedInBytes(t *testing.T) {
	s := newSlowNetwork(1, 100)
	away, leader := s.follower(t)
	large := json.RawMessage(`"` + strings.Repeat("x", 20_000) + `"`)
	propose := func(n int) {
		for range n {
			effects, _, _, err := s.hosts[leader].node.Propose(large)
			assert.NilError(t, err)
			s.execute(leader, effects, -1)
			s.steps(1, 0)
		}
	}
	s.hosts[away].up = false
	propose(200)
	s.start(away)
	s.steps(100, 0)
	t.Run("entries", func(t *testing.T) { assert.Assert(t, s.largest <= largestMessage, "%d", s.largest) })
	s.largest = 0
	s.hosts[away].up = false
	propose(50)
	state, err := json.Marshal(strings.Repeat("s", 5*largestMessage))
	assert.NilError(t, err)
	s.execute(leader, s.hosts[leader].node.Compact(s.hosts[leader].node.Status().Commit, state), -1)
	s.hosts[leader].node.log.compact(s.hosts[leader].node.snapshot, 0, 0)
	s.start(away)
	s.bytesTo[away] = 0
	s.steps(10*slowElection, 0)
	t.Run("snapshot", func(t *testing.T) {
		assert.Assert(t, s.largest <= largestMessage, "%d", s.largest)
		assert.Equal(t, s.hosts[away].node.Status().Commit, s.hosts[leader].node.Status().Commit)
		assert.Assert(t, s.bytesTo[away] <= 2*len(state), "%d bytes for a snapshot of %d", s.bytesTo[away], len(state))
	})
}

// Guards against a message that waited for seconds and makes an old configuration look
// newly confirmed.
func TestLateHeartbeatIsNotFresh(t *testing.T) {
	s := newSlowNetwork(1, 100)
	id, leader := s.follower(t)
	var late []Message
	s.execute(leader, s.hosts[leader].node.heartbeatForTest(), -1)
	for _, m := range s.inFlight {
		if m.To == id {
			late = append(late, m)
		}
	}
	s.inFlight = nil
	const lateness = 60
	follower := s.hosts[id].node
	for range lateness {
		follower.elapsed = 0 // no election
		follower.Tick()
	}
	assert.Assert(t, len(late) > 0)
	for _, m := range late {
		follower.Step(roundTrip(m))
	}
	age := follower.Status().QuorumAgeTicks
	assert.Assert(t, age < 0 || age >= lateness, "%d ticks", age)
}

// heartbeatForTest sends a heartbeat now.
func (n *Node) heartbeatForTest() []Effect {
	n.heartbeat()
	return n.takeEffects()
}

// Guards against a snapshot that starts with a piece of another one, or never ends, after
// either side has restarted or lost a message.
func TestSnapshotArrivesWholeDespiteLosses(t *testing.T) {
	state, err := json.Marshal(strings.Repeat("0123456789", largestMessage/10))
	assert.NilError(t, err)
	for seed := range 20 {
		s := newSlowNetwork(1, 100)
		id, leader := s.follower(t)
		s.hosts[id].up = false
		s.steps(10, 1)
		s.execute(leader, s.hosts[leader].node.Compact(s.hosts[leader].node.Status().Commit, state), -1)
		s.hosts[leader].node.log.compact(s.hosts[leader].node.snapshot, 0, 0)
		s.start(id)
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		for range 300 {
			s.steps(1, 0)
			if len(s.underway[id]) > 0 && rng.IntN(10) == 0 {
				s.underway[id] = s.underway[id][1:]
			}
			if rng.IntN(60) == 0 {
				s.start(id)
			}
		}
		s.steps(10*slowElection, 0)
		assert.Equal(t, s.hosts[id].node.Status().Commit, s.hosts[leader].node.Status().Commit)
		assert.Equal(t, string(s.hosts[id].disk.snapshot.Data), string(state))
	}
}

// Guards against a whole snapshot of an earlier release that is installed without its data.
func TestWholeSnapshotOfAnEarlierRelease(t *testing.T) {
	s := newSlowNetwork(1, 100)
	id, leader := s.follower(t)
	st := s.hosts[leader].node.Status()
	snap := Snapshot{Index: st.Commit + 100, Term: st.Term, Members: st.Members, Data: json.RawMessage(`"state"`)}
	s.execute(id, s.hosts[id].node.Step(Message{Kind: KindSnapshot, From: leader, To: id, Term: st.Term, Snapshot: &snap}), -1)
	assert.Equal(t, string(s.hosts[id].disk.snapshot.Data), `"state"`)
}

// Guards against a daemon that did not run for a while and takes its age from the ticks
// that it has counted.
func TestStallCountsAsAge(t *testing.T) {
	s := newSlowNetwork(1, 100)
	id, leader := s.follower(t)
	for _, n := range []ident.Node{id, leader} {
		node := s.hosts[n].node
		before := node.Status().QuorumAgeTicks
		assert.Assert(t, before >= 0)
		node.Stall(60)
		assert.Equal(t, node.Status().QuorumAgeTicks, before+60)
	}
	s.steps(slowElection, 0)
	assert.Assert(t, s.hosts[id].node.Status().QuorumAgeTicks < 10, "confirmed again")
}

// Guards against a leader that returns stamps of a follower's former start to it.
func TestFollowerThatHasRestartedIsConfirmed(t *testing.T) {
	s := newSlowNetwork(1, 100)
	id, _ := s.follower(t)
	for range 10 {
		s.start(id) // with another base of its stamps, lower or higher
		s.steps(slowElection/2, 0)
		age := s.hosts[id].node.Status().QuorumAgeTicks
		assert.Assert(t, age >= 0 && age < 10, "%d ticks", age)
	}
}

// Guards against followers that are never fresh during an upgrade, while a leader of the
// release before returns no stamps.
func TestLeaderOfAnEarlierReleaseConfirms(t *testing.T) {
	s := newSlowNetwork(1, 100)
	id, leader := s.follower(t)
	s.start(id)
	s.hosts[id].node.Stall(10) // it has run for a while
	assert.Equal(t, s.hosts[id].node.Status().QuorumAgeTicks, -1)
	st := s.hosts[leader].node.Status()
	m := Message{Kind: KindAppend, From: leader, To: id, Term: st.Term, Index: st.Last, LogTerm: st.Term, Commit: st.Commit, QuorumAgeTicks: 2}
	s.hosts[id].node.Step(m)
	assert.Equal(t, s.hosts[id].node.Status().QuorumAgeTicks, 2)
	t.Run("a leader of this release says that it knows no stamp yet", func(t *testing.T) {
		s.start(id)
		s.hosts[id].node.Stall(10)
		m.Echo = noStamp
		s.hosts[id].node.Step(m)
		assert.Equal(t, s.hosts[id].node.Status().QuorumAgeTicks, -1)
	})
}
