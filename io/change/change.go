// Package change brings changes of the configuration to the control daemon
// that leads, and reads what was decided last.
//
// # Usage
//
//	c := change.New(change.Options{...})
//	result, err := c.Propose(ctx, command)     // any command
//	result, err = c.Put(ctx, document)         // an intent that counts as confirmed
//	have, err := c.Get(ctx)                    // the newest document
//
// Reads are linearizable: they never return less than what was acknowledged
// before they began, or they fail. Errors: ErrUnknown.
package change

import (
	"context"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/delta"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/state"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

// Options is what changes need.
type Options struct {
	Board *board.Board
	Clock timer.Clock
	Pool  *wire.Pool
	// ControlAddresses are the control addresses of all known control daemons.
	ControlAddresses func() []string
}

// Client is one daemon's way to the leader.
type Client struct {
	opt    Options
	leader *LeaderClient
}

// New returns a way that has asked nobody yet.
func New(opt Options) *Client {
	return &Client{opt: opt, leader: NewLeaderClient(opt.Pool, opt.ControlAddresses)}
}

// Document is an intent in its writer's own form, with the writer's numbers.
type Document struct {
	Base    state.DocumentVersion
	Version state.DocumentVersion
	Text    string
	Intent  intent.Intent
}

// Propose sends a command until its outcome is known. Its change id makes it
// safe to send again.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	data, err := state.Encode(cmd)
	if err != nil {
		return state.Result{}, err
	}
	reply, err := CallLeader[wire.ProposeReply](ctx, c.leader, wire.MethodPropose, wire.ProposeRequest{Command: data})
	return reply.Result, err
}

// Members lists or changes the control daemons.
func (c *Client) Members(ctx context.Context, q wire.MembershipRequest) (wire.MembershipReply, error) {
	return CallLeader[wire.MembershipReply](ctx, c.leader, wire.MethodMembership, q)
}

// CatchUp waits until this daemon has everything that was decided before.
func (c *Client) CatchUp(ctx context.Context) error {
	reply, err := CallLeader[wire.ReadReply](ctx, c.leader, wire.MethodRead, wire.ReadRequest{})
	if err != nil {
		return err
	}
	return c.await(ctx, reply.Revision)
}

// await returns when a revision is in force on this daemon.
func (c *Client) await(ctx context.Context, r ident.Revision) error {
	for {
		changed := c.opt.Board.Config.Changed()
		if c.opt.Board.Config.Read().State.Revision >= r {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrOutcomeUnknown
		}
	}
}

// GetDocument returns the newest document. It is for control daemons, which keep the
// text.
func (c *Client) GetDocument(ctx context.Context) (state.Document, error) {
	if err := c.CatchUp(ctx); err != nil {
		return state.Document{}, err
	}
	return c.opt.Board.Config.Read().State.Document, nil
}

// PutDocument puts a document in force. Of several on one base exactly one wins; one
// that was accepted before is acknowledged again.
func (c *Client) PutDocument(ctx context.Context, d Document, who ident.Actor) (state.Result, error) {
	digest := state.DocumentDigest(d.Text)
	id := state.DocumentChangeID(d.Version, digest)
	for ctx.Err() == nil {
		st := c.opt.Board.Config.Read().State
		if r, decided := st.Results[id]; decided {
			return r, nil
		}
		if d.Base > st.Document.Version {
			// This daemon may be behind; what it has then decides.
			if err := c.CatchUp(ctx); err != nil {
				return state.Result{}, err
			}
			st = c.opt.Board.Config.Read().State
		}
		r, err := c.Propose(ctx, documentCommand(st, d, id, digest, who, c.opt.Clock.Now()))
		if err != nil {
			return r, err
		}
		if r.Outcome != state.OutcomeConflict || !c.outpaced(ctx, d, st) {
			return r, nil
		}
	}
	return state.Result{}, ErrOutcomeUnknown
}

// outpaced reports whether a conflict came from a change other than of the
// document, so that it can be tried again on top of it.
func (c *Client) outpaced(ctx context.Context, d Document, planned *state.State) bool {
	if c.CatchUp(ctx) != nil {
		return false
	}
	st := c.opt.Board.Config.Read().State
	return st.Document.Version == d.Base && st.ConfirmedAt != planned.ConfirmedAt
}

func documentCommand(st *state.State, d Document, id ident.ChangeID, digest string, who ident.Actor, now time.Time) state.Confirm {
	return state.Confirm{
		Metadata: state.Metadata{ChangeID: id, Actor: who, AtMillis: now.UnixMilli()},
		Base:     st.ConfirmedAt,
		Patch:    intent.Diff(st.Intent, d.Intent),
		Document: &state.DocumentChange{
			Base: d.Base, Version: d.Version, Digest: digest, Delta: delta.Between(st.Document.Text, d.Text),
		},
	}
}
