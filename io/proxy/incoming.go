package proxy

import (
	"net/http"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/match"
)

// incomingCall is a request from a caller that has passed the checks at entry.
type incomingCall struct {
	workspace ident.Workspace
	route     ident.Route
	spec      intent.RouteSpec
	service   ident.Service
	config    *board.Config
	action    ident.ActionID
	body      *payload
	// waited is how long the request waited for the configuration to be confirmed.
	waited time.Duration
	// parent is the call for which the upstream on this VM made this one, if
	// known.
	parent *servedCall
	// entryShare is the share of calls of this route and priority that this
	// entry admits at present.
	entryShare float64
	// grant is the grant under which the workspace calls the route, if granted is set.
	grant     ident.Grant
	grantSpec intent.GrantSpec
	granted   bool
	// chargedGrant is the grant that the call was charged to, empty for none.
	chargedGrant ident.Grant
}

// recorded reports whether replicas keep a record of the action, so that a
// repeated request does not run it again.
func (in *incomingCall) recorded() bool {
	return !in.spec.Idempotent && !in.spec.UniqueIDs
}

// priority returns the priority of the parent call if there is one, else that
// of the workspace and the route.
func (in *incomingCall) priority() ident.Priority {
	if in.parent != nil {
		return in.parent.call.Priority()
	}
	return ident.Priority{WorkspaceTier: in.config.WorkspaceTier(in.workspace), Class: in.spec.Class}
}

// findRoute returns the route that matches a request.
func findRoute(c *board.Config, r *http.Request) (ident.Route, bool) {
	return c.Table.Find(match.Call{Host: r.Host, Method: r.Method, Path: r.URL.Path, RawPath: r.URL.EscapedPath()})
}

// setParent sets the parent of a nested call where upstreams do not propagate a
// trace context. The parent determines the priority, and the nested call is
// counted in the profile of the parent's route.
func (p *Proxy) setParent(r *http.Request, in *incomingCall) {
	left, ok := p.opt.Dialect.TimeLeft(r.Header)
	if p.opt.Dialect.PropagateTrace || !in.isNested() || !ok {
		return // with a trace context the tracestate header names the parent
	}
	parent := p.findParent(in.action, left)
	if parent == nil {
		return
	}
	in.parent = parent
	p.entryAdmission.recordNestedCall(parent.call.Route, in.route)
}

// findParent returns the call that the upstream made a nested call for, nil if it is unknown.
// The action id tells it where upstreams derive ids. Deadlines are a guess: nested calls may
// have a shorter one than their parent, which then looks like another call's.
func (p *Proxy) findParent(nested ident.ActionID, left time.Duration) *servedCall {
	if action, ok := p.opt.Dialect.ParentAction(nested); ok {
		return p.calls.findByAction(action)
	}
	return p.calls.findByDeadline(p.opt.Clock.Now().Add(left))
}

// isNested reports whether the call is nested. If workspaces with keys exist, calls
// without a key on open routes are those between services.
func (in *incomingCall) isNested() bool {
	return in.workspace == "" && in.spec.Open && len(in.config.State.Intent.Workspaces) > 0
}

// admittedShare returns the share of calls that was admitted when the action
// entered; for a nested call it is that of the parent.
func (in *incomingCall) admittedShare() float64 {
	switch {
	case in.parent != nil:
		return in.parent.call.AdmittedShare
	case in.entryShare > 0:
		return in.entryShare
	}
	return 1
}

// fairShareWorkspace returns the workspace of the action; for a nested call it is
// that of the parent.
func (in *incomingCall) fairShareWorkspace() ident.Workspace {
	if in.parent != nil {
		return in.parent.call.FairShareWorkspace
	}
	return in.workspace
}

// rank returns the rank of the action; for a nested call it is that of the parent,
// so that an overloaded upstream sheds the calls of few actions, not a few calls
// of every action.
func (in *incomingCall) rank(action ident.ActionID) admit.Rank {
	if in.parent != nil {
		return in.parent.call.Rank
	}
	return rankOf(in.workspace, action)
}

// retryBudget returns the number of retries for the call and its nested calls.
func (in *incomingCall) retryBudget() int {
	if in.spec.Attempts > 0 {
		return in.spec.Attempts - 1
	}
	return in.config.State.Intent.Limits.Retries
}
