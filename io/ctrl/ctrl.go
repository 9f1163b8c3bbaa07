// Package ctrl is the control part of a daemon: it takes changes from
// operators and keeps the accepted ones.
package ctrl

import (
	"context"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

// Control holds the configuration.
type Control struct {
	vm    ident.VM
	clock timer.Clock
	board *board.Board
	mu    sync.Mutex
	state *state.State
	steps []board.Step
}

// New returns a control part with an empty configuration.
func New(vm ident.VM, clock timer.Clock, b *board.Board) *Control {
	return &Control{vm: vm, clock: clock, board: b, state: state.New()}
}

// Register adds the control part's methods.
func (c *Control) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodPropose, c.propose)
}

// Start keeps the configuration fresh.
func (c *Control) Start() (stop func()) {
	const interval = 200 * time.Millisecond
	return c.clock.Every(interval, func(now time.Time) {
		c.board.Freshness.Write(&board.Freshness{AsOf: now, Source: c.vm})
	})
}

func (c *Control) propose(_ context.Context, q wire.ProposeRequest) (wire.ProposeReply, error) {
	cmd, err := state.Decode(q.Command)
	if err != nil {
		return wire.ProposeReply{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state.Revision
	r := c.state.Apply(cmd)
	if c.state.Revision != before {
		c.steps = append(c.steps, board.Step{Revision: c.state.Revision, Command: q.Command})
		c.board.Config.Write(board.NewConfig(c.state.Clone(), c.steps))
	}
	return wire.ProposeReply{Result: r, Done: true}, nil
}
