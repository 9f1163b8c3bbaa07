package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"chicorymast/core/ident"
)

// disk is what a node finds after a crash.
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

// cluster runs nodes without a network: messages wait in a bag, from which a
// test takes them in any order, twice, or never.
type cluster struct {
	hosts   map[ident.Node]*host
	names   []ident.Node
	bag     []Message
	cut     map[[2]ident.Node]bool
	seed    uint64
	leaders map[Term]ident.Node
	decided map[Index]Entry
	fault   string
	next    int
}

const (
	testElection  = 10
	testHeartbeat = 2
)

func newCluster(voters, joiners int, seed uint64) *cluster {
	c := &cluster{
		hosts: map[ident.Node]*host{}, cut: map[[2]ident.Node]bool{}, seed: seed,
		leaders: map[Term]ident.Node{}, decided: map[Index]Entry{},
	}
	var first []Peer
	for i := range voters {
		first = append(first, Peer{ID: ident.Node(fmt.Sprintf("v%d", i+1))})
	}
	for _, p := range first {
		c.add(p.ID, Snapshot{Members: Membership{Voters: first}})
	}
	for i := range joiners {
		c.add(ident.Node(fmt.Sprintf("j%d", i+1)), Snapshot{})
	}
	return c
}

func (c *cluster) add(id ident.Node, s Snapshot) {
	c.names = append(c.names, id)
	c.hosts[id] = &host{disk: disk{snapshot: s}}
	c.start(id)
}

func (c *cluster) start(id ident.Node) {
	h := c.hosts[id]
	c.seed++
	h.node = New(Config{
		ID: id, ElectionTicks: testElection, HeartbeatTicks: testHeartbeat, Rand: rand.New(rand.NewPCG(c.seed, 5)),
	}, Restored{HardState: h.disk.hard, Snapshot: h.disk.snapshot, Entries: slices.Clone(h.disk.entries)})
	h.applied = nil
	h.up = true
}

// carryOut does a node's effects; with crashAfter >= 0 the node dies when so
// many are done.
func (c *cluster) carryOut(id ident.Node, effects []Effect, crashAfter int) {
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
			c.bag = append(c.bag, e.Message)
		case Commit:
			for _, entry := range e.Entries {
				c.decide(id, entry)
				h.applied = append(h.applied, entry)
			}
		case InstallSnapshot:
			h.applied = nil
		case LeaderChange:
			c.noteLeader(id, e)
		}
	}
}

func (c *cluster) decide(id ident.Node, e Entry) {
	have, seen := c.decided[e.Index]
	if seen && (have.Term != e.Term || string(have.Data) != string(e.Data)) {
		c.fault = fmt.Sprintf("%s committed %d/%d at %d, but %d/%d was committed", id, e.Term, len(e.Data), e.Index, have.Term, len(have.Data))
	}
	c.decided[e.Index] = e
}

func (c *cluster) noteLeader(id ident.Node, r LeaderChange) {
	if !r.Leading {
		return
	}
	if other, seen := c.leaders[r.Term]; seen && other != id {
		c.fault = fmt.Sprintf("%s and %s both lead term %d", id, other, r.Term)
	}
	c.leaders[r.Term] = id
}

func (c *cluster) tick(id ident.Node, crashAfter int) {
	if h := c.hosts[id]; h.up {
		c.carryOut(id, h.node.Tick(), crashAfter)
	}
}

// deliver takes message i out of the bag, or leaves a copy in it.
func (c *cluster) deliver(i int, keep bool, crashAfter int) {
	m := c.bag[i]
	if !keep {
		c.bag = slices.Delete(c.bag, i, i+1)
	}
	h := c.hosts[m.To]
	if h == nil || !h.up || c.cut[[2]ident.Node{m.From, m.To}] {
		return
	}
	c.carryOut(m.To, h.node.Step(roundTrip(m)), crashAfter)
}

// roundTrip passes a message through its wire form, so that no two nodes
// share memory.
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
	c.next++
	effects, _, _, err := h.node.Propose(json.RawMessage(fmt.Sprintf(`"p%d"`, c.next)))
	c.carryOut(id, effects, -1)
	return err == nil
}

func (c *cluster) compact(id ident.Node) {
	h := c.hosts[id]
	if h.up && h.node.log.commit > 0 {
		c.carryOut(id, h.node.Compact(h.node.log.commit, json.RawMessage(`"state"`)), -1)
	}
}

func (c *cluster) leader() (ident.Node, bool) {
	var found ident.Node
	var term Term
	for _, id := range c.names {
		st := c.hosts[id].node.Status()
		if c.hosts[id].up && st.Leading && st.Term >= term {
			found, term = id, st.Term
		}
	}
	return found, found != ""
}

// settle ends all faults and lets time pass.
func (c *cluster) settle(ticks int) {
	c.cut = map[[2]ident.Node]bool{}
	for _, id := range c.names {
		if !c.hosts[id].up {
			c.start(id)
		}
	}
	c.run(ticks)
}

// run lets time pass and delivers all messages in order.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, id := range c.names {
			c.tick(id, -1)
		}
		for n := 0; len(c.bag) > 0 && n < 10_000; n++ {
			c.deliver(0, false, -1)
		}
	}
}

func (c *cluster) isolate(id ident.Node, inward, outward bool) {
	for _, other := range c.names {
		if inward {
			c.cut[[2]ident.Node{other, id}] = true
		}
		if outward {
			c.cut[[2]ident.Node{id, other}] = true
		}
	}
}

// toggle kills a node, or starts one that is down.
func (c *cluster) toggle(id ident.Node) {
	if c.hosts[id].up {
		c.hosts[id].up = false
		return
	}
	c.start(id)
}
