package ctrl

import (
	"context"

	"chicorymast/core/raft"
	"chicorymast/io/wire"
)

// members lists or changes the control daemons; a change is begun at the
// leader only and goes one step at a time.
func (c *Control) members(_ context.Context, q wire.MembershipRequest) (reply wire.MembershipReply, err error) {
	var joiner raft.Peer
	if q.Op == wire.MembershipAdd {
		probed, err := c.probeOne(q.Address)
		if err != nil || probed.Node == "" {
			return wire.MembershipReply{Refused: "no control daemon that waits to be added answers at " + q.Address}, nil
		}
		joiner = raft.Peer{ID: probed.Node, Address: q.Address}
	}
	c.wait(func() { reply = c.changeMembers(q, joiner) })
	return reply, nil
}

func (c *Control) changeMembers(q wire.MembershipRequest, joiner raft.Peer) wire.MembershipReply {
	if c.node == nil || c.broken {
		return wire.MembershipReply{Refused: "this control daemon is not set up"}
	}
	if !c.node.Status().Leading {
		return wire.MembershipReply{Leader: c.leaderAddress()}
	}
	var effects []raft.Effect
	var err error
	switch q.Op {
	case wire.MembershipAdd:
		effects, err = c.addLearner(joiner)
	case wire.MembershipRemove:
		effects, err = c.node.Remove(q.Node)
	}
	c.carryOut(effects)
	reply := c.listMembers()
	reply.Done = true
	if err != nil {
		reply.Refused = err.Error()
	}
	return reply
}

func (c *Control) listMembers() wire.MembershipReply {
	st := c.node.Status()
	line := func(p raft.Peer) wire.ControlDaemon {
		behind := uint64(0)
		if p.ID != c.identity.Node {
			behind = uint64(st.Last - min(st.Last, st.Match[p.ID]))
		}
		return wire.ControlDaemon{Node: p.ID, Address: p.Address, Leading: p.ID == st.Leader, EntriesBehind: behind}
	}
	var reply wire.MembershipReply
	for _, p := range st.Members.Voters {
		reply.Voters = append(reply.Voters, line(p))
	}
	for _, p := range st.Members.Learners {
		reply.Learners = append(reply.Learners, line(p))
	}
	return reply
}
