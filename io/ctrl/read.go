package ctrl

import (
	"context"

	"chicorymast/io/wire"
)

// pendingRead is a read that waits until a majority confirms that this node
// leads.
type pendingRead struct {
	round   uint64
	replies chan wire.ReadReply
}

// handleRead returns the latest committed revision, or the leader's address.
func (c *Control) handleRead(ctx context.Context, _ wire.ReadRequest) (wire.ReadReply, error) {
	replies := make(chan wire.ReadReply, 1)
	c.enqueue(func() { c.beginRead(replies) })
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
	case <-c.done:
	}
	return wire.ReadReply{}, nil
}

func (c *Control) beginRead(replies chan wire.ReadReply) {
	if c.node == nil || c.failed {
		replies <- wire.ReadReply{}
		return
	}
	effects, round, err := c.node.BeginRead()
	if err != nil {
		replies <- wire.ReadReply{Leader: c.leaderAddress()}
		return
	}
	c.pendingReads = append(c.pendingReads, pendingRead{round: round, replies: replies})
	c.handleEffects(effects)
	c.answerReads()
}

// answerReads answers the reads whose round a majority has confirmed.
func (c *Control) answerReads() {
	if c.failed {
		c.failReads()
		return
	}
	confirmed := c.node.ConfirmedRound()
	waiting := c.pendingReads[:0]
	for _, r := range c.pendingReads {
		if r.round > confirmed {
			waiting = append(waiting, r)
			continue
		}
		r.replies <- wire.ReadReply{Revision: c.state.Revision, Done: true}
	}
	c.pendingReads = waiting
}

// failReads makes all pending readers ask again, here or at another node.
func (c *Control) failReads() {
	for _, r := range c.pendingReads {
		r.replies <- wire.ReadReply{}
	}
	c.pendingReads = nil
}
