package proxy

import (
	"net/http/httptest"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// Without a trace context, the nested calls of one action must share its rank.
func TestNestedCallsShareTheRankOfTheirAction(t *testing.T) {
	cfg := config.Default()
	b := board.New()
	st := state.New()
	st.Intent.Workspaces = map[ident.Workspace]intent.WorkspaceSpec{"acme": {}}
	b.Config.Write(board.NewConfig(st, nil))
	clock := timer.NewManual(time.Unix(1000, 0))
	opt := Options{
		Log: event.Discard(), Clock: clock, Board: b, Config: func() *config.Config { return &cfg },
		Dialect: header.Dialect{Action: "Action", Timeout: "Left-Ms", TimeoutUnit: time.Millisecond},
	}
	p := &Proxy{opt: opt, calls: newCallTable(), entryAdmission: newEntryAdmission(opt)}
	parent := &servedCall{call: header.Call{Route: "shop", Rank: 77}, deadline: clock.Now().Add(time.Second)}
	p.calls.add("t", parent)
	for _, action := range []string{"1", "2", "3"} {
		r := httptest.NewRequest("GET", "http://rates.example/", nil)
		r.Header.Set("Action", action)
		r.Header.Set("Left-Ms", "1000")
		in := &incomingCall{config: b.Config.Read(), action: ident.ActionID(action), route: "rates", spec: intent.RouteSpec{Open: true}, body: &payload{}}
		p.setParent(r, in)
		assert.Assert(t, in.parent == parent)
		assert.Equal(t, int(p.newOutboundCall(r, in).call.Rank), 77)
	}
}

// parentsFixture runs two calls with equal deadlines at the upstream.
func parentsFixture(t *testing.T, separator string) *Proxy {
	t.Helper()
	cfg := config.Default()
	clock := timer.NewManual(time.Unix(1000, 0))
	opt := Options{
		Log: event.Discard(), Clock: clock, Board: board.New(), Config: func() *config.Config { return &cfg },
		Dialect: header.Dialect{Action: "Action", Timeout: "Left-Ms", TimeoutUnit: time.Millisecond, NestedAction: separator},
	}
	p := &Proxy{opt: opt, calls: newCallTable()}
	for token, action := range map[string]ident.ActionID{"s": "a", "t": "b", "u": "a.1"} {
		p.calls.add(token, &servedCall{call: header.Call{Action: action}, deadline: clock.Now().Add(5 * time.Second)})
	}
	return p
}

// A nested call with a shorter deadline than its parent's must not get the priority and
// rank of another call: a full upstream would then shed some calls of every tree.
func TestParentOfANestedCall(t *testing.T) {
	for name, c := range map[string]struct {
		separator string
		action    ident.ActionID
		left      time.Duration
		want      ident.ActionID
	}{
		"named by the id":                  {".", "b.7", 700 * time.Millisecond, "b"},
		"the nearest of several":           {".", "a.1.9", 700 * time.Millisecond, "a.1"},
		"of a call that has ended":         {".", "gone.7", 5 * time.Second, ""},
		"an id that names none":            {".", "7", 700 * time.Millisecond, ""},
		"a separator at the start":         {".", ".7", 700 * time.Millisecond, ""},
		"ids that upstreams do not derive": {"", "b.7", 700 * time.Millisecond, ""},
	} {
		t.Run(name, func(t *testing.T) {
			parent := parentsFixture(t, c.separator).findParent(c.action, c.left)
			if c.want == "" {
				assert.Assert(t, parent == nil)
				return
			}
			assert.Equal(t, parent.call.Action, c.want)
		})
	}
	t.Run("by the deadline, without derived ids", func(t *testing.T) {
		assert.Assert(t, parentsFixture(t, "").findParent("7", 5*time.Second) != nil)
	})
	t.Run("a call that has ended is not found", func(t *testing.T) {
		p := parentsFixture(t, ".")
		p.calls.add("v", &servedCall{call: header.Call{Action: "b"}})
		p.calls.remove("t")
		assert.Assert(t, p.findParent("b.7", time.Second) != nil, "the id was sent again and still runs")
		p.calls.remove("v")
		assert.Assert(t, p.findParent("b.7", time.Second) == nil)
	})
}
