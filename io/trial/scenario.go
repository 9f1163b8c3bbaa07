package trial

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"chicorymast/core/ident"
)

// Scenario describes a load and the events during it.
type Scenario struct {
	Name string
	// LoadShare is the offered load relative to the capacity of the layout.
	LoadShare float64
	Duration  time.Duration
	// Retries and Backoff configure the retries of clients, as in load.Settings.
	Retries int
	Backoff time.Duration
	// SurgeFactor multiplies the load for the time SurgeFor, beginning at SurgeAt.
	SurgeFactor float64
	SurgeAt     time.Duration
	SurgeFor    time.Duration
	// GrantHeadroom is the ratio of the granted rates to the offered rates without a
	// surge; zero means defaultGrantHeadroom.
	GrantHeadroom float64
	// Timeout is the client timeout of a call.
	Timeout time.Duration
	// SurgeFirstOnly limits the surge to the first workspace.
	SurgeFirstOnly bool
	// Steps are the events during the load, in order of their times.
	Steps []Step
	// DisturbanceEnd is when the surge or the last fault is over; for a fault that lasts,
	// it is when the fault begins.
	DisturbanceEnd time.Duration
}

// Step is an event during the load, which contrib/measure.sh carries out. Operation is
// fault, kill, freeze, thaw, drain or withdraw; At is relative to the start of the load.
type Step struct {
	At        time.Duration
	Operation string
	Target    string
	Args      string
}

const (
	warmUp          = 8 * time.Second
	steadyLoadShare = 0.7
)

// Scenarios returns the scenarios for a layout, by name.
func Scenarios(l Layout) map[string]Scenario {
	last := string(l.Services[len(l.Services)-1].Name)
	first := string(l.Services[0].Name)
	list := []Scenario{
		{Name: "steady", LoadShare: steadyLoadShare, Duration: 20 * time.Second},
		{
			Name: "surge", LoadShare: steadyLoadShare, Duration: 45 * time.Second, Retries: 3, GrantHeadroom: 8, Timeout: time.Second,
			SurgeFactor: 4, SurgeAt: warmUp, SurgeFor: 20 * time.Second, DisturbanceEnd: warmUp + 20*time.Second,
		},
		{
			Name: "slow", LoadShare: steadyLoadShare, Duration: 35 * time.Second, Retries: 3, GrantHeadroom: 8, Timeout: time.Second,
			DisturbanceEnd: warmUp + 10*time.Second,
			Steps: []Step{
				{At: warmUp, Operation: "fault", Target: last, Args: `{"slow":10}`},
				{At: warmUp + 10*time.Second, Operation: "fault", Target: last, Args: `{}`},
			},
		},
		{
			Name: "greedy", LoadShare: steadyLoadShare, Duration: 30 * time.Second, Retries: 2, SurgeFirstOnly: true,
			SurgeFactor: 6, SurgeAt: warmUp, SurgeFor: 12 * time.Second, DisturbanceEnd: warmUp + 12*time.Second,
		},
		{
			Name: "drain", LoadShare: steadyLoadShare, Duration: 30 * time.Second, DisturbanceEnd: warmUp,
			Steps: []Step{{At: warmUp, Operation: "drain", Target: first + "-1"}, {At: warmUp, Operation: "drain", Target: last + "-1"}},
		},
		{
			Name: "silent", LoadShare: steadyLoadShare, Duration: 30 * time.Second, Retries: 1, DisturbanceEnd: warmUp + 6*time.Second,
			Steps: []Step{{At: warmUp, Operation: "freeze", Target: first + "-2"}, {At: warmUp + 6*time.Second, Operation: "thaw", Target: first + "-2"}},
		},
		{
			Name: "killed", LoadShare: steadyLoadShare, Duration: 30 * time.Second, Retries: 1, DisturbanceEnd: warmUp,
			Steps: []Step{{At: warmUp, Operation: "kill", Target: last + "-2"}, {At: warmUp, Operation: "kill", Target: "control-1"}},
		},
		{
			Name: "withdraw", LoadShare: steadyLoadShare, Duration: 20 * time.Second, DisturbanceEnd: warmUp,
			Steps: []Step{{At: warmUp, Operation: "withdraw", Target: string(WorkspaceNames()[7])}},
		},
	}
	byName := map[string]Scenario{}
	for _, s := range list {
		byName[s.Name] = s
	}
	return byName
}

// WorkspaceNames returns the workspaces of the deployments, those with the most load first.
func WorkspaceNames() []ident.Workspace {
	return []ident.Workspace{"mlyn", "hrad", "skauti", "tabor", "pirati", "jaskyna", "lesna", "ostrov"}
}

// workspaceShares are the shares of the workspaces in the load; a few large ones send
// most of it.
var workspaceShares = []float64{0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03}

const (
	// defaultGrantHeadroom is the ratio of a workspace's granted rate to its offered
	// rate.
	defaultGrantHeadroom = 1.25
	// placeShare is the share of calls that are not idempotent, browseShare the share
	// of calls to the second service.
	placeShare, browseShare = 0.3, 0.3
)

// WithScenario returns the layout with a scenario, and with the workspaces, grants and
// load that follow from it.
func (l Layout) WithScenario(s Scenario) Layout {
	l.Scenario = s
	total := s.LoadShare * l.Capacity()
	first, second := l.Routes[0], l.Routes[2]
	headroom := cmp.Or(s.GrantHeadroom, defaultGrantHeadroom)
	for i, name := range WorkspaceNames() {
		rate := total * workspaceShares[i]
		l.Workspaces = append(l.Workspaces, Workspace{
			Name: name, Rate: headroom * rate, Burst: max(20, headroom*rate), Routes: []ident.Route{"place", "status", "browse"},
			Streams: []Stream{
				{Method: "POST", Path: pathOf(first), Rate: rate * placeShare},
				{Method: "GET", Path: pathOf(first), Rate: rate * (1 - placeShare - browseShare), Idempotent: true},
				{Method: "GET", Path: pathOf(second), Rate: rate * browseShare, Idempotent: true},
			},
		})
	}
	return l
}

// pathOf returns the path of calls on a route, with {n} in place of the parameter.
func pathOf(r Route) string {
	return strings.Replace(r.Path, "{id}", "{n}", 1)
}

// steps returns the steps of the scenario for the script, one a line: seconds,
// operation, target and arguments, separated by tabs.
func (f *Fleet) steps() string {
	var b strings.Builder
	for _, s := range f.layout.Scenario.Steps {
		fmt.Fprintf(&b, "%g\t%s\t%s\t%s\n", s.At.Seconds(), s.Operation, s.Target, s.Args)
	}
	return b.String()
}

// stubList lists the stub upstreams, one a line: service, upstream and address,
// separated by tabs.
func (f *Fleet) stubList() string {
	var b strings.Builder
	for _, s := range f.Stubs {
		fmt.Fprintf(&b, "%s\t%s\t%s\n", s.Service.Name, s.Upstream, s.Address)
	}
	return b.String()
}

// ScenarioNames returns the sorted names of the scenarios for a layout.
func ScenarioNames(l Layout) []string {
	return slices.Sorted(maps.Keys(Scenarios(l)))
}
