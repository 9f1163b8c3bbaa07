package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"chicorymast/core/ident"
)

// disk is the durable state of a node, which survives a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) save(s Save) {
	if s.HardState != nil {
		d.hard = *s.HardState
	}
	if s.Snapshot != nil {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index <= s.Snapshot.Index })
		d.snapshot = *s.Snapshot
	}
	for _, e := range s.Entries {
		at := int(e.Index - d.snapshot.Index - 1)
		d.entries = append(d.entries[:at:at], e)
	}
}

// host is a node with its disk and its state machine.
type host struct {
	node    *Node
	disk    disk
	applied []Entry
	up      bool
}

// cluster simulates nodes and their network. Undelivered messages are in flight
// until a test delivers them, in any order, repeatedly or never.
type cluster struct {
	hosts     map[ident.Node]*host
	ids       []ident.Node
	inFlight  []Message
	cut       map[[2]ident.Node]bool
	seed      uint64
	leaders   map[Term]ident.Node
	committed map[Index]Entry
	violation string
	proposals int
	// electionTicks is the election timeout of the nodes.
	electionTicks int
}

const (
	testElection  = 10
	testHeartbeat = 2
)

func newCluster(voters, learners int, seed uint64) *cluster {
	c := &cluster{
		hosts: map[ident.Node]*host{}, cut: map[[2]ident.Node]bool{}, seed: seed,
		leaders: map[Term]ident.Node{}, committed: map[Index]Entry{}, electionTicks: testElection,
	}
	var first []Peer
	for i := range voters {
		first = append(first, Peer{ID: ident.Node(fmt.Sprintf("v%d", i+1))})
	}
	for _, p := range first {
		c.add(p.ID, Snapshot{Members: Membership{Voters: first}})
	}
	for i := range learners {
		c.add(ident.Node(fmt.Sprintf("j%d", i+1)), Snapshot{})
	}
	return c
}

func (c *cluster) add(id ident.Node, s Snapshot) {
	c.ids = append(c.ids, id)
	c.hosts[id] = &host{disk: disk{snapshot: s}}
	c.start(id)
}

func (c *cluster) start(id ident.Node) {
	h := c.hosts[id]
	c.seed++
	h.node = New(Config{
		ID: id, ElectionTicks: c.electionTicks, HeartbeatTicks: testHeartbeat, Rand: rand.New(rand.NewPCG(c.seed, 5)),
	}, Restored{HardState: h.disk.hard, Snapshot: h.disk.snapshot, Entries: slices.Clone(h.disk.entries)})
	h.applied = nil
	h.up = true
}

// execute executes a node's effects. If crashAfter >= 0, the node crashes after
// that many of them.
func (c *cluster) execute(id ident.Node, effects []Effect, crashAfter int) {
	h := c.hosts[id]
	for i, e := range effects {
		if i == crashAfter {
			h.up = false
			return
		}
		switch e := e.(type) {
		case Save:
			h.disk.save(e)
		case Send:
			c.inFlight = append(c.inFlight, e.Message)
		case Commit:
			for _, entry := range e.Entries {
				c.recordCommit(id, entry)
				h.applied = append(h.applied, entry)
			}
		case InstallSnapshot:
			h.applied = nil
		case LeaderChange:
			c.recordLeader(id, e)
		}
	}
}

func (c *cluster) recordCommit(id ident.Node, e Entry) {
	have, seen := c.committed[e.Index]
	if seen && (have.Term != e.Term || string(have.Data) != string(e.Data)) {
		c.violation = fmt.Sprintf("%s committed %d/%d at %d, but %d/%d was committed", id, e.Term, len(e.Data), e.Index, have.Term, len(have.Data))
	}
	c.committed[e.Index] = e
}

func (c *cluster) recordLeader(id ident.Node, r LeaderChange) {
	if !r.Leading {
		return
	}
	if other, seen := c.leaders[r.Term]; seen && other != id {
		c.violation = fmt.Sprintf("%s and %s both lead term %d", id, other, r.Term)
	}
	c.leaders[r.Term] = id
}

func (c *cluster) tick(id ident.Node, crashAfter int) {
	if h := c.hosts[id]; h.up {
		c.execute(id, h.node.Tick(), crashAfter)
	}
}

// deliver delivers message i of those in flight; keep leaves a copy for a
// repeated delivery.
func (c *cluster) deliver(i int, keep bool, crashAfter int) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	h := c.hosts[m.To]
	if h == nil || !h.up || c.cut[[2]ident.Node{m.From, m.To}] {
		return
	}
	c.execute(m.To, h.node.Step(roundTrip(m)), crashAfter)
}

// roundTrip encodes and decodes a message, so that no two nodes share memory.
func roundTrip(m Message) (out Message) {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

func (c *cluster) propose(id ident.Node) bool {
	h := c.hosts[id]
	if !h.up {
		return false
	}
	c.proposals++
	effects, _, _, err := h.node.Propose(json.RawMessage(fmt.Sprintf(`"p%d"`, c.proposals)))
	c.execute(id, effects, -1)
	return err == nil
}

func (c *cluster) compact(id ident.Node) {
	h := c.hosts[id]
	if h.up && h.node.log.commit > 0 {
		c.execute(id, h.node.Compact(h.node.log.commit, json.RawMessage(`"state"`)), -1)
	}
}

func (c *cluster) leader() (ident.Node, bool) {
	var found ident.Node
	var term Term
	for _, id := range c.ids {
		st := c.hosts[id].node.Status()
		if c.hosts[id].up && st.Leading && st.Term >= term {
			found, term = id, st.Term
		}
	}
	return found, found != ""
}

// heal ends all network cuts, starts the stopped nodes and runs the cluster.
func (c *cluster) heal(ticks int) {
	c.cut = map[[2]ident.Node]bool{}
	for _, id := range c.ids {
		if !c.hosts[id].up {
			c.start(id)
		}
	}
	c.run(ticks)
}

// run advances time and delivers all messages in order.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, id := range c.ids {
			c.tick(id, -1)
		}
		for n := 0; len(c.inFlight) > 0 && n < 10_000; n++ {
			c.deliver(0, false, -1)
		}
	}
}

func (c *cluster) isolate(id ident.Node, inward, outward bool) {
	for _, other := range c.ids {
		if inward {
			c.cut[[2]ident.Node{other, id}] = true
		}
		if outward {
			c.cut[[2]ident.Node{id, other}] = true
		}
	}
}

// toggle crashes a running node or starts a stopped one.
func (c *cluster) toggle(id ident.Node) {
	if c.hosts[id].up {
		c.hosts[id].up = false
		return
	}
	c.start(id)
}
