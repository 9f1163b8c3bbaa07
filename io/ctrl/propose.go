package ctrl

import (
	"context"
	"errors"

	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/wire"
)

// propose takes a command from an operator's daemon. Only a decided entry is
// reported as done; what is lost on the way is unknown, and asking again with
// the same change id is safe.
func (c *Control) propose(ctx context.Context, q wire.ProposeRequest) (wire.ProposeReply, error) {
	if _, err := state.Decode(q.Command); err != nil {
		return wire.ProposeReply{}, err
	}
	tell := make(chan wire.ProposeReply, 1)
	c.do(func() { c.begin(q, tell) })
	select {
	case reply := <-tell:
		return reply, nil
	case <-ctx.Done():
	case <-c.done:
	}
	return wire.ProposeReply{OutcomeUnknown: true}, nil
}

func (c *Control) begin(q wire.ProposeRequest, tell chan wire.ProposeReply) {
	if c.node == nil || c.broken {
		tell <- wire.ProposeReply{}
		return
	}
	effects, at, term, err := c.node.Propose(q.Command)
	if errors.Is(err, raft.ErrNotLeader) {
		tell <- wire.ProposeReply{Leader: c.leaderAddress()}
		return
	}
	c.waiters[at] = waiter{term: term, tell: tell}
	c.carryOut(effects)
}
