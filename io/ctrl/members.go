package ctrl

import (
	"context"

	"chicorymast/core/raft"
	"chicorymast/io/wire"
)

// handleMembership lists or changes the control daemons. Only the leader starts
// a change, and it makes one change at a time.
func (c *Control) handleMembership(_ context.Context, q wire.MembershipRequest) (reply wire.MembershipReply, err error) {
	var joiner raft.Peer
	if q.Op == wire.MembershipAdd {
		probed, err := c.probeAddress(q.Address)
		if err != nil || probed.Node == "" {
			return wire.MembershipReply{Refused: "no control daemon that waits to be added answers at " + q.Address}, nil
		}
		joiner = raft.Peer{ID: probed.Node, Address: q.Address}
	}
	c.enqueueAndWait(func() { reply = c.changeMembers(q, joiner) })
	return reply, nil
}

func (c *Control) changeMembers(q wire.MembershipRequest, joiner raft.Peer) wire.MembershipReply {
	if c.node == nil || c.failed {
		return wire.MembershipReply{Refused: "this control daemon is not set up"}
	}
	if !c.node.Status().Leading {
		return wire.MembershipReply{Leader: c.leaderAddress()}
	}
	var effects []raft.Effect
	var err error
	switch q.Op {
	case wire.MembershipAdd:
		effects, err = c.node.AddLearner(joiner)
	case wire.MembershipRemove:
		effects, err = c.node.Remove(q.Node)
	}
	c.handleEffects(effects)
	reply := c.listMembers()
	reply.Done = true
	if err != nil {
		reply.Refused = err.Error()
	}
	return reply
}

func (c *Control) listMembers() wire.MembershipReply {
	st := c.node.Status()
	controlDaemon := func(p raft.Peer) wire.ControlDaemon {
		entriesBehind := uint64(0)
		if p.ID != c.identity.Node {
			entriesBehind = uint64(st.Last - min(st.Last, st.Match[p.ID]))
		}
		return wire.ControlDaemon{Node: p.ID, Address: p.Address, Leading: p.ID == st.Leader, EntriesBehind: entriesBehind}
	}
	var reply wire.MembershipReply
	for _, p := range st.Members.Voters {
		reply.Voters = append(reply.Voters, controlDaemon(p))
	}
	for _, p := range st.Members.Learners {
		reply.Learners = append(reply.Learners, controlDaemon(p))
	}
	return reply
}
