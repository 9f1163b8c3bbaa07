package admin

import (
	"context"
	"net/http"
	"time"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/io/wire"
)

// ControlChange adds or removes a control daemon.
type ControlChange struct {
	Op wire.MembershipOp `json:"op"`
	// Address is the control address of the daemon to add.
	Address string `json:"address,omitempty"`
	// Node is the control daemon to remove.
	Node ident.Node `json:"node,omitempty"`
}

// backup returns the whole state, including the results of past changes, which
// only control daemons keep.
func (a *api) backup(*http.Request, ident.Actor) (any, *Problem) {
	if a.opt.Config().Daemon.Role != config.RoleControl {
		return nil, problem(http.StatusNotFound, "no_resource", "ask a control daemon: this one does not keep the audit trail")
	}
	return a.opt.Board.Config.Read().State, nil
}

func (a *api) listControl(r *http.Request, _ ident.Actor) (any, *Problem) {
	return a.callLeader(r.Context(), wire.MembershipRequest{Op: wire.MembershipList})
}

func (a *api) changeControl(r *http.Request, _ ident.Actor) (any, *Problem) {
	q, p := decode[ControlChange](r)
	if p != nil {
		return nil, p
	}
	if q.Op != wire.MembershipAdd && q.Op != wire.MembershipRemove {
		return nil, problem(http.StatusBadRequest, "bad_request", "op must be add or remove")
	}
	return a.callLeader(r.Context(), wire.MembershipRequest{Op: q.Op, Address: q.Address, Node: q.Node})
}

// callLeader sends a request about control daemons to the leader. A change that
// was started is committed like any other one; the list shows its result.
func (a *api) callLeader(ctx context.Context, q wire.MembershipRequest) (any, *Problem) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := a.opt.Changes.Membership(ctx, q)
	if err != nil {
		return nil, problem(http.StatusGatewayTimeout, "outcome_unknown",
			"%v; list the control daemons to see what was done", err)
	}
	if reply.Refused != "" {
		return nil, problem(http.StatusConflict, "refused", "%s", reply.Refused)
	}
	return reply, nil
}
