// Package change sends configuration changes to the leader of the control
// daemons, and reads the latest committed configuration.
//
// # Usage
//
//	c := change.New(change.Options{...})
//	result, err := c.Propose(ctx, command) // any command
//	result, err = c.PutDocument(ctx, doc, actor) // an intent that needs no confirmation
//	doc, err := c.GetDocument(ctx) // the latest document
//	result, err = c.SetEvacuation(ctx, dc, true, actor) // without a plan
//
// Reads are linearizable: they return at least what was acknowledged before they
// began, or they fail. Errors: ErrOutcomeUnknown.
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

	"github.com/google/uuid"
)

// Options are the dependencies of a client.
type Options struct {
	Board *board.Board
	Clock timer.Clock
	Pool  *wire.Pool
	// ControlAddresses returns the addresses of all known control daemons.
	ControlAddresses func() []string
}

// Client sends one daemon's changes and reads to the leader.
type Client struct {
	opt    Options
	leader *LeaderClient
}

// New returns a client; it opens no connection.
func New(opt Options) *Client {
	return &Client{opt: opt, leader: NewLeaderClient(opt.Pool, opt.ControlAddresses)}
}

// Document is an intent in the form of its author, with the author's version
// numbers.
type Document struct {
	Base    state.DocumentVersion
	Version state.DocumentVersion
	Text    string
	Intent  intent.Intent
}

// Propose sends a command until its outcome is known. Sending it again is safe,
// since its change id identifies the change.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	data, err := state.Encode(cmd)
	if err != nil {
		return state.Result{}, err
	}
	reply, err := CallLeader[wire.ProposeReply](ctx, c.leader, wire.MethodPropose, wire.ProposeRequest{Command: data})
	return reply.Result, err
}

// Membership lists or changes the control daemons.
func (c *Client) Membership(ctx context.Context, q wire.MembershipRequest) (wire.MembershipReply, error) {
	return CallLeader[wire.MembershipReply](ctx, c.leader, wire.MethodMembership, q)
}

// CatchUp waits until this daemon has applied everything that was committed
// before the call.
func (c *Client) CatchUp(ctx context.Context) error {
	reply, err := CallLeader[wire.ReadReply](ctx, c.leader, wire.MethodRead, wire.ReadRequest{})
	if err != nil {
		return err
	}
	return c.waitForRevision(ctx, reply.Revision)
}

// waitForRevision returns when this daemon has applied revision r.
func (c *Client) waitForRevision(ctx context.Context, r ident.Revision) error {
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

// GetDocument returns the latest document. Only control daemons keep its text.
func (c *Client) GetDocument(ctx context.Context) (state.Document, error) {
	if err := c.CatchUp(ctx); err != nil {
		return state.Document{}, err
	}
	return c.opt.Board.Config.Read().State.Document, nil
}

// PutDocument submits a document. Of several documents with the same base exactly
// one is accepted; one that was accepted before is acknowledged again.
func (c *Client) PutDocument(ctx context.Context, d Document, actor ident.Actor) (state.Result, error) {
	digest := state.DocumentDigest(d.Text)
	id := state.DocumentChangeID(d.Version, digest)
	for ctx.Err() == nil {
		st := c.opt.Board.Config.Read().State
		if r, known := st.Results[id]; known {
			return r, nil
		}
		if d.Base > st.Document.Version {
			// This daemon may lag; after catching up, its own state is decisive.
			if err := c.CatchUp(ctx); err != nil {
				return state.Result{}, err
			}
			st = c.opt.Board.Config.Read().State
		}
		r, err := c.Propose(ctx, documentCommand(st, d, id, digest, actor, c.opt.Clock.Now()))
		if err != nil {
			return r, err
		}
		if r.Outcome != state.OutcomeConflict || !c.overtaken(ctx, d, st) {
			return r, nil
		}
	}
	return state.Result{}, ErrOutcomeUnknown
}

// SetEvacuation starts or ends the evacuation of a data centre, without a plan. Each call
// is a change of its own, which is accepted also if it is in force already.
func (c *Client) SetEvacuation(ctx context.Context, dc ident.DataCentre, evacuating bool, actor ident.Actor) (state.Result, error) {
	m := state.Metadata{ChangeID: ident.ChangeID(uuid.NewString()), Actor: actor, AtMillis: c.opt.Clock.Now().UnixMilli()}
	return c.Propose(ctx, state.SetEvacuation{Metadata: m, DataCentre: dc, Evacuating: evacuating})
}

// overtaken reports whether a conflict came from a confirmation without a document,
// so that the document can be submitted again on top of that change.
func (c *Client) overtaken(ctx context.Context, d Document, planned *state.State) bool {
	if c.CatchUp(ctx) != nil {
		return false
	}
	st := c.opt.Board.Config.Read().State
	return st.Document.Version == d.Base && st.ConfirmedAt != planned.ConfirmedAt
}

func documentCommand(st *state.State, d Document, id ident.ChangeID, digest string, actor ident.Actor, now time.Time) state.Confirm {
	return state.Confirm{
		Metadata: state.Metadata{ChangeID: id, Actor: actor, AtMillis: now.UnixMilli()},
		Base:     st.ConfirmedAt,
		Patch:    intent.Diff(st.Intent, d.Intent),
		Document: &state.DocumentChange{
			Base: d.Base, Version: d.Version, Digest: digest, Delta: delta.Between(st.Document.Text, d.Text),
		},
	}
}
