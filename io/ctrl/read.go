package ctrl

import (
	"context"

	"chicorymast/io/wire"
)

// reader waits until a majority confirms that this node leads.
type reader struct {
	round uint64
	tell  chan wire.ReadReply
}

// read answers with the newest decided revision, or names the leader.
func (c *Control) read(ctx context.Context, _ wire.ReadRequest) (wire.ReadReply, error) {
	tell := make(chan wire.ReadReply, 1)
	c.do(func() { c.beginRead(tell) })
	select {
	case reply := <-tell:
		return reply, nil
	case <-ctx.Done():
	case <-c.done:
	}
	return wire.ReadReply{}, nil
}

func (c *Control) beginRead(tell chan wire.ReadReply) {
	if c.node == nil || c.broken {
		tell <- wire.ReadReply{}
		return
	}
	effects, round, err := c.node.BeginRead()
	if err != nil {
		tell <- wire.ReadReply{Leader: c.leaderAddress()}
		return
	}
	c.reads = append(c.reads, reader{round: round, tell: tell})
	c.carryOut(effects)
	c.answerReads()
}

// answerReads answers the reads whose round is confirmed.
func (c *Control) answerReads() {
	if c.broken {
		c.failReads()
		return
	}
	confirmed := c.node.ConfirmedRound()
	waiting := c.reads[:0]
	for _, r := range c.reads {
		if r.round > confirmed {
			waiting = append(waiting, r)
			continue
		}
		r.tell <- wire.ReadReply{Revision: c.state.Revision, Done: true}
	}
	c.reads = waiting
}

// failReads makes all who read ask again, elsewhere or later.
func (c *Control) failReads() {
	for _, r := range c.reads {
		r.tell <- wire.ReadReply{}
	}
	c.reads = nil
}
