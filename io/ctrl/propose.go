package ctrl

import (
	"context"
	"errors"

	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/wire"
)

// handlePropose proposes a command that an operator's daemon sent. Done is set only
// for a committed entry. With OutcomeUnknown the change may still be committed, and
// sending the command again with the same change id is safe.
func (c *Control) handlePropose(ctx context.Context, q wire.ProposeRequest) (wire.ProposeReply, error) {
	if _, err := state.Decode(q.Command); err != nil {
		return wire.ProposeReply{}, err
	}
	replies := make(chan wire.ProposeReply, 1)
	c.enqueue(func() { c.beginProposal(q, replies) })
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
	case <-c.done:
	}
	return wire.ProposeReply{OutcomeUnknown: true}, nil
}

func (c *Control) beginProposal(q wire.ProposeRequest, replies chan wire.ProposeReply) {
	if c.node == nil || c.failed {
		replies <- wire.ProposeReply{}
		return
	}
	effects, index, term, err := c.node.Propose(q.Command)
	if errors.Is(err, raft.ErrNotLeader) {
		replies <- wire.ProposeReply{Leader: c.leaderAddress()}
		return
	}
	c.proposals[index] = pendingProposal{term: term, replies: replies}
	c.handleEffects(effects)
}
