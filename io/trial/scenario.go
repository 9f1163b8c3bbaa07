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

// Scenario is a load and what happens while it runs.
type Scenario struct {
	Name string
	// LoadShare is the offered load as a share of the layout's capacity.
	LoadShare float64
	Duration  time.Duration
	// Retries and Backoff are the customers'.
	Retries int
	Backoff time.Duration
	// SurgeFactor multiplies the load from SurgeAt on for SurgeFor.
	SurgeFactor float64
	SurgeAt     time.Duration
	SurgeFor    time.Duration
	// GrantHeadroom is the grants' rates relative to what is offered before a surge.
	GrantHeadroom float64
	// Timeout is how long customers wait.
	Timeout time.Duration
	// SurgeFirstOnly makes the surge concern the first workspace only.
	SurgeFirstOnly bool
	// Steps happen at their times.
	Steps []Step
	// DisturbanceEnd is when the last trigger is over.
	DisturbanceEnd time.Duration
}

// Step is something that happens to the fleet. Do is fault, kill, freeze,
// thaw, drain or withdraw; contrib/measure.sh carries it out.
type Step struct {
	At        time.Duration
	Operation string
	Target    string
	Args      string
}

const (
	warmUp   = 8 * time.Second
	steadily = 0.7
)

// Scenarios returns the scenarios for a layout by name.
func Scenarios(l Layout) map[string]Scenario {
	deep := string(l.Services[len(l.Services)-1].Name)
	top := string(l.Services[0].Name)
	list := []Scenario{
		{Name: "steady", LoadShare: steadily, Duration: 20 * time.Second},
		{
			Name: "surge", LoadShare: steadily, Duration: 45 * time.Second, Retries: 3, GrantHeadroom: 8, Timeout: time.Second,
			SurgeFactor: 4, SurgeAt: warmUp, SurgeFor: 20 * time.Second, DisturbanceEnd: warmUp + 20*time.Second,
		},
		{
			Name: "slow", LoadShare: steadily, Duration: 35 * time.Second, Retries: 3, GrantHeadroom: 8, Timeout: time.Second, DisturbanceEnd: warmUp + 10*time.Second,
			Steps: []Step{
				{At: warmUp, Operation: "fault", Target: deep, Args: `{"slow":10}`},
				{At: warmUp + 10*time.Second, Operation: "fault", Target: deep, Args: `{}`},
			},
		},
		{
			Name: "greedy", LoadShare: steadily, Duration: 30 * time.Second, Retries: 2, SurgeFirstOnly: true,
			SurgeFactor: 6, SurgeAt: warmUp, SurgeFor: 12 * time.Second, DisturbanceEnd: warmUp + 12*time.Second,
		},
		{
			Name: "drain", LoadShare: steadily, Duration: 30 * time.Second, DisturbanceEnd: warmUp,
			Steps: []Step{{At: warmUp, Operation: "drain", Target: top + "-1"}, {At: warmUp, Operation: "drain", Target: deep + "-1"}},
		},
		{
			Name: "silent", LoadShare: steadily, Duration: 30 * time.Second, Retries: 1, DisturbanceEnd: warmUp + 6*time.Second,
			Steps: []Step{{At: warmUp, Operation: "freeze", Target: top + "-2"}, {At: warmUp + 6*time.Second, Operation: "thaw", Target: top + "-2"}},
		},
		{
			Name: "killed", LoadShare: steadily, Duration: 30 * time.Second, Retries: 1, DisturbanceEnd: warmUp,
			Steps: []Step{{At: warmUp, Operation: "kill", Target: deep + "-2"}, {At: warmUp, Operation: "kill", Target: "control-1"}},
		},
		{
			Name: "withdraw", LoadShare: steadily, Duration: 20 * time.Second, DisturbanceEnd: warmUp,
			Steps: []Step{{At: warmUp, Operation: "withdraw", Target: string(WorkspaceNames()[7])}},
		},
	}
	byName := map[string]Scenario{}
	for _, s := range list {
		byName[s.Name] = s
	}
	return byName
}

// WorkspaceNames lists the workspaces of the deployments: a few large ones first.
func WorkspaceNames() []ident.Workspace {
	return []ident.Workspace{"mlyn", "hrad", "skauti", "tabor", "pirati", "jaskyna", "lesna", "ostrov"}
}

// shares are the workspaces' parts of the load; a few of them are large.
var shares = []float64{0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03}

const (
	// grantRoom is how far above what a workspace offers its rate is.
	grantRoom = 1.25
	// placeShare of the calls must not run twice, browseShare begin at the
	// second service.
	placeShare, browseShare = 0.3, 0.3
)

// WithScenario sets a scenario: who sends how much, under which grants.
func (l Layout) WithScenario(s Scenario) Layout {
	l.Scenario = s
	total := s.LoadShare * l.Capacity()
	first, second := l.Routes[0], l.Routes[2]
	room := cmp.Or(s.GrantHeadroom, grantRoom)
	for i, name := range WorkspaceNames() {
		rate := total * shares[i]
		l.Workspaces = append(l.Workspaces, Workspace{
			Name: name, Rate: room * rate, Burst: max(20, room*rate), Routes: []ident.Route{"place", "status", "browse"},
			Streams: []Stream{
				{Method: "POST", Path: pathOf(first), Rate: rate * placeShare},
				{Method: "GET", Path: pathOf(first), Rate: rate * (1 - placeShare - browseShare), Idempotent: true},
				{Method: "GET", Path: pathOf(second), Rate: rate * browseShare, Idempotent: true},
			},
		})
	}
	return l
}

func pathOf(r Route) string {
	return strings.Replace(r.Path, "{id}", "{n}", 1)
}

// steps renders the scenario for the script that carries it out: seconds,
// what to do, to whom, how.
func (f *Fleet) steps() string {
	var b strings.Builder
	for _, s := range f.layout.Scenario.Steps {
		fmt.Fprintf(&b, "%g\t%s\t%s\t%s\n", s.At.Seconds(), s.Operation, s.Target, s.Args)
	}
	return b.String()
}

// standIns lists the stand-ins: service, upstream, address.
func (f *Fleet) standInList() string {
	var b strings.Builder
	for _, s := range f.Stubs {
		fmt.Fprintf(&b, "%s\t%s\t%s\n", s.Service.Name, s.Upstream, s.Address)
	}
	return b.String()
}

// ScenarioNames lists all scenarios.
func ScenarioNames(l Layout) []string {
	return slices.Sorted(maps.Keys(Scenarios(l)))
}
