package ctrl

import (
	"context"
	"errors"

	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/wire"
)

// MaxProposedBytes is the size of the proposals that may wait for an outcome. It holds at
// least one of the largest size.
const MaxProposedBytes = 8 << 20

// handlePropose proposes a command that an operator's daemon sent. Done is set only
// for a committed entry. With OutcomeUnknown the change may still be committed, and
// sending the command again with the same change id is safe.
func (c *Control) handlePropose(ctx context.Context, q wire.ProposeRequest) (wire.ProposeReply, error) {
	cmd, err := state.Decode(q.Command)
	if err != nil {
		return wire.ProposeReply{}, err
	}
	size := int64(len(q.Command))
	defer c.proposedBytes.Add(-size)
	if waiting := c.proposedBytes.Add(size); waiting > MaxProposedBytes && waiting > size {
		return wire.ProposeReply{}, nil // not proposed; the client tries again
	}
	replies := make(chan wire.ProposeReply, 1)
	c.enqueue(func() { c.beginProposal(q, cmd, replies) })
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
	case <-c.done:
	}
	return wire.ProposeReply{OutcomeUnknown: true}, nil
}

func (c *Control) beginProposal(q wire.ProposeRequest, cmd state.Command, replies chan wire.ProposeReply) {
	if c.node == nil || c.failed {
		replies <- wire.ProposeReply{}
		return
	}
	if c.joinProposal(cmd, replies) {
		return
	}
	effects, index, term, err := c.node.Propose(q.Command)
	if errors.Is(err, raft.ErrNotLeader) {
		replies <- wire.ProposeReply{Leader: c.leaderAddress()}
		return
	}
	c.proposals[index] = pendingProposal{term: term, command: cmd, replies: []chan wire.ProposeReply{replies}}
	c.handleEffects(effects)
}

// joinProposal waits for the outcome of a change that is being committed already: clients
// send a change again when its outcome takes long, which another entry would only prolong.
func (c *Control) joinProposal(cmd state.Command, replies chan wire.ProposeReply) (joined bool) {
	for index, p := range c.proposals {
		if state.SameChange(p.command, cmd) {
			p.replies = append(p.replies, replies)
			c.proposals[index] = p
			return true
		}
	}
	return false
}
