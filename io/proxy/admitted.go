package proxy

import (
	"net/http"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/match"
)

// admitted is a call that has passed the checks at entry.
type admitted struct {
	workspace ident.Workspace
	route     ident.Route
	spec      intent.RouteSpec
	service   ident.Service
	config    *board.Config
	action    ident.ActionID
	body      *payload
	// parent is the call that this one was made for, if it is known.
	parent *servedCall
	// share is which part of the calls of its kind is let in at the moment.
	share float64
	// charged is the grant that has paid for the call.
	charged ident.Grant
}

// recorded reports whether replicas keep a record of the call, so that it does
// not run again when it comes again.
func (in *admitted) recorded() bool {
	return !in.spec.Idempotent && !in.spec.UniqueIDs
}

// standing is that of the call that this one serves; otherwise it follows from
// the workspace, where there is one, and the route.
func (in *admitted) standing() ident.Priority {
	if in.parent != nil {
		return in.parent.call.Priority()
	}
	return ident.Priority{WorkspaceTier: in.config.WorkspaceTier(in.workspace), Class: in.spec.Class}
}

// findRoute returns the route of a request as it stands in a configuration.
func findRoute(c *board.Config, r *http.Request) (ident.Route, bool) {
	return c.Table.Find(match.Call{Host: r.Host, Method: r.Method, Path: r.URL.Path, RawPath: r.URL.EscapedPath()})
}

// tie finds the call that the upstream on this VM made this one for. It tells
// how important this one is, and what calls of that route need.
func (p *Proxy) tie(r *http.Request, in *admitted) {
	left, ok := p.opt.Dialect.TimeLeft(r.Header)
	if p.opt.Dialect.PropagateTrace || !in.inner() || !ok {
		return // with a trace context, an upstream says itself whom it serves
	}
	parent := p.calls.byDeadline(p.opt.Clock.Now().Add(left))
	if parent == nil {
		return
	}
	in.parent = parent
	p.intake.called(parent.call.Route, in.route)
}

// inner reports whether the call was made by an upstream for one of its own:
// where workspaces call with keys, open routes are those between services.
func (in *admitted) inner() bool {
	return in.workspace == "" && in.spec.Open && len(in.config.State.Intent.Workspaces) > 0
}

// letIn is the share at which the action was let in that the call belongs to.
func (in *admitted) letIn() float64 {
	switch {
	case in.parent != nil:
		return in.parent.call.AdmittedShare
	case in.share > 0:
		return in.share
	}
	return 1
}

// payer is the workspace of the action that the call belongs to.
func (in *admitted) payer() ident.Workspace {
	if in.parent != nil {
		return in.parent.call.FairShareWorkspace
	}
	return in.workspace
}

// retries is how often the call may be sent again.
func (in *admitted) retries() int {
	if in.spec.Attempts > 0 {
		return in.spec.Attempts - 1
	}
	return in.config.State.Intent.Limits.Retries
}
