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
	// Share is the offered load as a share of the layout's capacity.
	Share    float64
	Duration time.Duration
	// Retries and Backoff are the customers'.
	Retries int
	Backoff time.Duration
	// Surge multiplies the load from SurgeAt on for SurgeFor.
	Surge    float64
	SurgeAt  time.Duration
	SurgeFor time.Duration
	// Room is the grants' rates relative to what is offered before a surge.
	Room float64
	// Timeout is how long customers wait.
	Timeout time.Duration
	// Greedy makes the surge concern the first workspace only.
	Greedy bool
	// Steps happen at their times.
	Steps []Step
	// TroubleEnds is when the last trigger is over.
	TroubleEnds time.Duration
}

// Step is something that happens to the fleet. Do is fault, kill, freeze,
// thaw, drain or withdraw; contrib/measure.sh carries it out.
type Step struct {
	At   time.Duration
	Do   string
	What string
	Args string
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
		{Name: "steady", Share: steadily, Duration: 20 * time.Second},
		{
			Name: "surge", Share: steadily, Duration: 45 * time.Second, Retries: 3, Room: 8, Timeout: time.Second,
			Surge: 4, SurgeAt: warmUp, SurgeFor: 20 * time.Second, TroubleEnds: warmUp + 20*time.Second,
		},
		{
			Name: "slow", Share: steadily, Duration: 35 * time.Second, Retries: 3, Room: 8, Timeout: time.Second, TroubleEnds: warmUp + 10*time.Second,
			Steps: []Step{
				{At: warmUp, Do: "fault", What: deep, Args: `{"slow":10}`},
				{At: warmUp + 10*time.Second, Do: "fault", What: deep, Args: `{}`},
			},
		},
		{
			Name: "greedy", Share: steadily, Duration: 30 * time.Second, Retries: 2, Greedy: true,
			Surge: 6, SurgeAt: warmUp, SurgeFor: 12 * time.Second, TroubleEnds: warmUp + 12*time.Second,
		},
		{
			Name: "drain", Share: steadily, Duration: 30 * time.Second, TroubleEnds: warmUp,
			Steps: []Step{{At: warmUp, Do: "drain", What: top + "-1"}, {At: warmUp, Do: "drain", What: deep + "-1"}},
		},
		{
			Name: "silent", Share: steadily, Duration: 30 * time.Second, Retries: 1, TroubleEnds: warmUp + 6*time.Second,
			Steps: []Step{{At: warmUp, Do: "freeze", What: top + "-2"}, {At: warmUp + 6*time.Second, Do: "thaw", What: top + "-2"}},
		},
		{
			Name: "killed", Share: steadily, Duration: 30 * time.Second, Retries: 1, TroubleEnds: warmUp,
			Steps: []Step{{At: warmUp, Do: "kill", What: deep + "-2"}, {At: warmUp, Do: "kill", What: "control-1"}},
		},
		{
			Name: "withdraw", Share: steadily, Duration: 20 * time.Second, TroubleEnds: warmUp,
			Steps: []Step{{At: warmUp, Do: "withdraw", What: string(TenantNames()[7])}},
		},
	}
	byName := map[string]Scenario{}
	for _, s := range list {
		byName[s.Name] = s
	}
	return byName
}

// TenantNames lists the workspaces of the deployments: a few large ones first.
func TenantNames() []ident.Workspace {
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

// With sets a scenario: who sends how much, under which grants.
func (l Layout) With(s Scenario) Layout {
	l.Load = s
	total := s.Share * l.Capacity()
	first, second := l.Routes[0], l.Routes[2]
	room := cmp.Or(s.Room, grantRoom)
	for i, name := range TenantNames() {
		rate := total * shares[i]
		l.Tenants = append(l.Tenants, Tenant{
			Name: name, Rate: room * rate, Burst: max(20, room*rate), Routes: []ident.Route{"place", "status", "browse"},
			Offer: []Offer{
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
	for _, s := range f.layout.Load.Steps {
		fmt.Fprintf(&b, "%g\t%s\t%s\t%s\n", s.At.Seconds(), s.Do, s.What, s.Args)
	}
	return b.String()
}

// standIns lists the stand-ins: service, upstream, address.
func (f *Fleet) standInList() string {
	var b strings.Builder
	for _, s := range f.StandIns {
		fmt.Fprintf(&b, "%s\t%s\t%s\n", s.Service.Name, s.Upstream, s.Address)
	}
	return b.String()
}

// ScenarioNames lists all scenarios.
func ScenarioNames(l Layout) []string {
	return slices.Sorted(maps.Keys(Scenarios(l)))
}
