package ctrl

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// newLoneLeader returns the control of one of two voters, made leader by hand: its
// proposals wait until commit is called.
func newLoneLeader(t *testing.T) (c *Control, commit func()) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	c, err := Open(Options{
		VM: "a", Address: "a", Folder: t.TempDir(), Clock: clock, Board: board.New(), Pool: wire.NewPool(nil), Log: event.Discard(), Seed: 1,
		Voters: []raft.Peer{{ID: "a", Address: ""}, {ID: "b", Address: ""}},
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		go c.loop()
		c.Stop()
	})
	c.identity.Node, c.initialTokens = "a", map[ident.VM]string{"a": c.token}
	c.startNode()
	reply := func(kind raft.MessageKind, term raft.Term, at raft.Index) {
		c.handleEffects(c.node.Step(raft.Message{Kind: kind, From: "b", To: "a", Term: term, Granted: true, Index: at}))
	}
	for range 4 * electionTicks {
		if c.handleEffects(c.node.Tick()); c.node.Status().Leading {
			break
		}
		term := c.node.Status().Term
		reply(raft.KindPreVoteReply, term+1, 0)
		reply(raft.KindVoteReply, c.node.Status().Term, 0)
	}
	assert.Assert(t, c.node.Status().Leading)
	commit = func() { reply(raft.KindAppendReply, c.node.Status().Term, c.node.Status().Last) }
	commit()
	return c, commit
}

func drain(t *testing.T, id, vm string) wire.ProposeRequest {
	t.Helper()
	data, err := state.Encode(state.SetDrain{Metadata: state.Metadata{ChangeID: ident.ChangeID(id)}, VM: ident.VM(vm)})
	assert.NilError(t, err)
	return wire.ProposeRequest{Command: data}
}

// Guards against a slow commit that is made slower by each client that asks again.
func TestChangeThatIsSentAgainIsNotProposedAgain(t *testing.T) {
	c, commit := newLoneLeader(t)
	before := c.node.Status().Last
	outcomes := make(chan wire.ProposeReply, 10)
	propose := func(q wire.ProposeRequest) {
		go func() {
			reply, err := c.handlePropose(t.Context(), q)
			assert.Check(t, err)
			outcomes <- reply
		}()
		(<-c.queue)()
	}
	for range 5 {
		propose(drain(t, "change", "vm"))
	}
	assert.Equal(t, c.node.Status().Last, before+1)
	propose(drain(t, "change", "another vm"))
	assert.Equal(t, c.node.Status().Last, before+2, "another change under the same id is refused on its own")
	commit()
	accepted := 0
	for range 6 {
		if r := <-outcomes; r.Done && r.Result.Outcome == state.OutcomeAccepted {
			accepted++
		}
	}
	assert.Equal(t, accepted, 5)
}

// Guards against proposals that pile up in memory while none is committed.
func TestProposalsAreBoundedInBytes(t *testing.T) {
	c, commit := newLoneLeader(t)
	outcomes := make(chan wire.ProposeReply, 100)
	const size = 1 << 20
	for i := range 30 {
		go func() {
			reply, err := c.handlePropose(t.Context(), drain(t, fmt.Sprint(i), strings.Repeat("v", size)))
			assert.Check(t, err)
			outcomes <- reply
		}()
		select {
		case f := <-c.queue:
			f()
		case r := <-outcomes:
			assert.DeepEqual(t, r, wire.ProposeReply{})
		}
	}
	held := 0
	for range c.proposals {
		held += size
	}
	assert.Assert(t, held <= MaxProposedBytes, "%d bytes", held)
	assert.Assert(t, held > 0)
	commit()
}
