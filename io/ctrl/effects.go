package ctrl

import (
	"context"
	"encoding/json"
	"errors"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/store"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

// errBusy is returned for a message whose sender has another one waiting here.
var errBusy = errors.New("another message of this sender is not handled yet")

// handleRaft returns when the message is handled, so that its sender does not send the
// next one before. One message of each sender waits at most.
func (c *Control) handleRaft(ctx context.Context, env wire.RaftEnvelope) (struct{}, error) {
	from := env.Message.From
	if _, waiting := c.unhandled.LoadOrStore(from, true); waiting {
		return struct{}{}, errBusy
	}
	c.outbox.setAddress(from, env.Address)
	handled := make(chan struct{})
	c.enqueue(func() {
		defer close(handled)
		defer c.unhandled.Delete(from)
		if c.node != nil && !c.failed {
			c.handleEffects(c.node.Step(env.Message))
			c.answerReads()
		}
	})
	select {
	case <-handled:
	case <-ctx.Done():
	case <-c.done:
	}
	return struct{}{}, nil
}

// handleEffects carries out the effects that Raft returned, in order. After a
// failed write it does nothing.
func (c *Control) handleEffects(effects []raft.Effect) {
	for _, e := range effects {
		if c.failed {
			return
		}
		switch e := e.(type) {
		case raft.Save:
			c.save(e)
		case raft.Send:
			c.sendMessage(e.Message)
		case raft.Commit:
			c.apply(e.Entries)
		case raft.InstallSnapshot:
			c.installSnapshot(e.Snapshot)
		case raft.LeaderChange:
			c.handleLeaderChange(e)
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
		c.failed, c.shortage = true, errors.Is(err, store.ErrShortage)
		c.unwritable.Store(true)
		c.failProposals()
		c.failReads()
	}
}

func (c *Control) sendMessage(m raft.Message) {
	address, ok := c.node.Status().Members.Address(m.To)
	if !ok {
		// A joining node is in no membership yet; it knows the leader's address only
		// from the leader's messages.
		address = c.outbox.addressOf(m.To)
	}
	if address != "" {
		c.sent.entries.Add(int64(len(m.Entries)))
		c.sent.bytes.Add(int64(raft.BytesOf(m.Entries) + len(m.Piece)))
		c.outbox.send(address, m)
	}
}

func (c *Control) apply(entries []raft.Entry) {
	changed := false
	for _, e := range entries {
		c.applied = e.Index
		c.appliedBytes += len(e.Data)
		if e.Kind == raft.EntryMembers {
			c.logMembership(e)
		}
		if e.Kind == raft.EntryCommand {
			changed = c.applyCommand(e) || changed
		}
		c.completeProposal(e, nil)
	}
	if changed {
		c.publish()
	}
	c.compact()
}

// logMembership logs a change in the number of voters.
func (c *Control) logMembership(e raft.Entry) {
	var m raft.Membership
	if json.Unmarshal(e.Data, &m) != nil {
		return
	}
	switch {
	case len(m.Voters) > c.voterCount:
		c.opt.Log.Emit(event.VoterAdded, zap.ByteString("members", e.Data))
	case len(m.Voters) < c.voterCount:
		c.opt.Log.Emit(event.VoterRemoved, zap.ByteString("members", e.Data))
	}
	c.voterCount = len(m.Voters)
}

func (c *Control) applyCommand(e raft.Entry) (changed bool) {
	cmd, err := state.Decode(e.Data)
	if err != nil {
		return false // never committed: handlePropose refuses commands that don't decode
	}
	before := c.state.Revision
	r := c.state.Apply(cmd)
	c.completeProposal(e, &r)
	if c.state.Revision == before {
		return true // a refused command is in the audit trail, too
	}
	c.recentCommands = board.AppendRecent(c.recentCommands,
		board.AcceptedCommand{Revision: c.state.Revision, Command: withoutDocumentText(cmd, e.Data)})
	return true
}

// withoutDocumentText returns the encoded command as it is sent to daemons that
// keep no document text.
func withoutDocumentText(cmd state.Command, data []byte) []byte {
	shortened, err := state.Encode(state.WithoutDocumentText(cmd))
	if err != nil {
		return data
	}
	return shortened
}

// completeProposal replies to the proposer of an entry, if it is waiting here.
// Without a result the outcome is reported as unknown.
func (c *Control) completeProposal(e raft.Entry, r *state.Result) {
	p, ok := c.proposals[e.Index]
	if !ok {
		return
	}
	delete(c.proposals, e.Index)
	reply := wire.ProposeReply{OutcomeUnknown: true}
	if r != nil && p.term == e.Term {
		reply = wire.ProposeReply{Result: *r, Done: true}
	}
	p.reply(reply)
}

// failProposals replies to all proposers that the outcome is unknown.
func (c *Control) failProposals() {
	for i, p := range c.proposals {
		delete(c.proposals, i)
		p.reply(wire.ProposeReply{OutcomeUnknown: true})
	}
}

func (c *Control) installSnapshot(s raft.Snapshot) {
	next := state.New()
	if json.Unmarshal(s.Data, next) != nil {
		c.failed = true
		return
	}
	c.state, c.applied, c.appliedBytes, c.recentCommands = next, s.Index, 0, nil
	c.failProposals()
	c.publish()
}

func (c *Control) handleLeaderChange(change raft.LeaderChange) {
	id := event.LeaderElected
	if change.Leader == "" {
		id = event.LeaderSteppedDown
	}
	c.opt.Log.Emit(id, zap.Uint64("term", uint64(change.Term)), zap.String("leader", string(change.Leader)))
	c.failReads()
	if !change.Leading {
		c.failProposals()
	}
}

// compact writes a snapshot once the log has grown enough.
func (c *Control) compact() {
	if !raft.SnapshotDue(int(c.applied-c.node.SnapshotIndex()), c.appliedBytes, c.node.SnapshotBytes()) {
		return
	}
	data, err := json.Marshal(c.state)
	if err != nil {
		return
	}
	c.appliedBytes = 0
	c.handleEffects(c.node.Compact(c.applied, data))
}

// leaderAddress returns the leader's address if another node is known to lead,
// else an empty string.
func (c *Control) leaderAddress() string {
	st := c.node.Status()
	if st.Leader == "" || st.Leader == c.identity.Node {
		return ""
	}
	address, _ := st.Members.Address(st.Leader)
	return address
}

// vmOf returns the VM in a node id, which is VM or VM#TOKEN.
func vmOf(n ident.Node) ident.VM {
	for i, r := range n {
		if r == '#' {
			return ident.VM(n[:i])
		}
	}
	return ident.VM(n)
}
