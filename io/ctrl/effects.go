package ctrl

import (
	"context"
	"encoding/json"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

func (c *Control) receive(_ context.Context, env wire.RaftEnvelope) (struct{}, error) {
	c.out.learn(env.Message.From, env.Address)
	c.do(func() {
		if c.node != nil && !c.broken {
			c.carryOut(c.node.Step(env.Message))
			c.answerReads()
		}
	})
	return struct{}{}, nil
}

// carryOut does what the agreement asks, in order. After a failed write it
// does nothing more.
func (c *Control) carryOut(effects []raft.Effect) {
	for _, e := range effects {
		if c.broken {
			return
		}
		switch e := e.(type) {
		case raft.Save:
			c.save(e)
		case raft.Send:
			c.sendTo(e.Message)
		case raft.Commit:
			c.apply(e.Entries)
		case raft.InstallSnapshot:
			c.install(e.Snapshot)
		case raft.LeaderChange:
			c.noteRole(e)
		}
	}
}

func (c *Control) save(s raft.Save) {
	var err error
	if s.Snapshot != nil {
		err = c.store.Replace(*s.Snapshot, c.node.HardState(), c.node.EntriesAfterSnapshot())
	} else {
		err = c.store.Save(s)
	}
	if err != nil {
		c.broken = true
		c.failWaiters()
	}
}

func (c *Control) sendTo(m raft.Message) {
	address, ok := c.node.Status().Members.Address(m.To)
	if !ok {
		// A joining node answers a leader that it knows from messages only.
		address = c.out.addressOf(m.To)
	}
	if address != "" {
		c.out.send(address, m)
	}
}

func (c *Control) apply(entries []raft.Entry) {
	changed := false
	for _, e := range entries {
		c.applied = e.Index
		if e.Kind == raft.EntryMembers {
			c.noteMembers(e)
		}
		if e.Kind == raft.EntryCommand {
			changed = c.applyCommand(e) || changed
		}
		c.answer(e, nil)
	}
	if changed {
		c.publish()
	}
	c.compact()
}

// noteMembers logs a change of the voters.
func (c *Control) noteMembers(e raft.Entry) {
	var m raft.Membership
	if json.Unmarshal(e.Data, &m) != nil {
		return
	}
	switch {
	case len(m.Voters) > c.voters:
		c.opt.Log.Emit(event.VoterAdded, zap.ByteString("members", e.Data))
	case len(m.Voters) < c.voters:
		c.opt.Log.Emit(event.VoterRemoved, zap.ByteString("members", e.Data))
	}
	c.voters = len(m.Voters)
}

func (c *Control) applyCommand(e raft.Entry) (changed bool) {
	cmd, err := state.Decode(e.Data)
	if err != nil {
		return false // refused before it was proposed
	}
	before := c.state.Revision
	r := c.state.Apply(cmd)
	c.answer(e, &r)
	if c.state.Revision == before {
		return true // a refusal is part of the trail
	}
	c.steps = append(c.steps, board.AcceptedCommand{Revision: c.state.Revision, Command: passedOn(cmd, e.Data)})
	if len(c.steps) > keptSteps {
		c.steps = c.steps[len(c.steps)-keptSteps:]
	}
	return true
}

// passedOn is the command as daemons get it that keep no documents.
func passedOn(cmd state.Command, data []byte) []byte {
	short, err := state.Encode(state.WithoutDocumentText(cmd))
	if err != nil {
		return data
	}
	return short
}

// answer tells the proposer of an entry what became of it.
func (c *Control) answer(e raft.Entry, r *state.Result) {
	w, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	reply := wire.ProposeReply{OutcomeUnknown: true}
	if r != nil && w.term == e.Term {
		reply = wire.ProposeReply{Result: *r, Done: true}
	}
	w.tell <- reply
}

// failWaiters tells all proposers that the outcome is not known here.
func (c *Control) failWaiters() {
	for i, w := range c.waiters {
		delete(c.waiters, i)
		w.tell <- wire.ProposeReply{OutcomeUnknown: true}
	}
}

func (c *Control) install(s raft.Snapshot) {
	next := state.New()
	if json.Unmarshal(s.Data, next) != nil {
		c.broken = true
		return
	}
	c.state, c.applied, c.steps = next, s.Index, nil
	c.failWaiters()
	c.publish()
}

func (c *Control) noteRole(r raft.LeaderChange) {
	id := event.LeaderElected
	if r.Leader == "" {
		id = event.LeaderSteppedDown
	}
	c.opt.Log.Emit(id, zap.Uint64("term", uint64(r.Term)), zap.String("leader", string(r.Leader)))
	c.failReads()
	if !r.Leading {
		c.failWaiters()
	}
}

// compact writes a snapshot when the log has grown.
func (c *Control) compact() {
	if c.applied < c.node.SnapshotIndex()+snapshotEvery {
		return
	}
	data, err := json.Marshal(c.state)
	if err != nil {
		return
	}
	c.carryOut(c.node.Compact(c.applied, data))
}

// leaderAddress returns where the leader is, as far as this node knows.
func (c *Control) leaderAddress() string {
	st := c.node.Status()
	if st.Leader == "" || st.Leader == c.identity.Node {
		return ""
	}
	address, _ := st.Members.Address(st.Leader)
	return address
}

// vmOf returns the VM in a node's name.
func vmOf(n ident.Node) ident.VM {
	for i, r := range n {
		if r == '#' {
			return ident.VM(n[:i])
		}
	}
	return ident.VM(n)
}
