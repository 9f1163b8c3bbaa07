package intent

import (
	"fmt"
	"reflect"
	"time"

	"chicorymast/core/ident"
)

// Verb is the operation of a change on one item.
type Verb string

// The verbs of a plan.
const (
	VerbAdd    Verb = "add"
	VerbRemove Verb = "remove"
	VerbModify Verb = "modify"
)

// Change is one line of a plan.
type Change struct {
	Verb   Verb   `json:"verb"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
	// Workspaces are the workspaces affected by the change.
	Workspaces []ident.Workspace `json:"workspaces,omitempty"`
}

// Compare returns the changes that turn one intent into another, in a stable order.
func Compare(have, want Intent) []Change {
	changes := compareLimits(have.Limits, want.Limits)
	changes = append(changes, compareMaps("data_centre", have.DataCentres, want.DataCentres)...)
	changes = append(changes, compareMaps("workspace", have.Workspaces, want.Workspaces)...)
	changes = append(changes, compareMaps("service", have.Services, want.Services)...)
	changes = append(changes, compareMaps("route", have.Routes, want.Routes)...)
	changes = append(changes, compareMaps("group", have.Groups, want.Groups)...)
	changes = append(changes, compareMaps("grant", have.Grants, want.Grants)...)
	for i := range changes {
		changes[i].Workspaces = affectedWorkspaces(changes[i], have, want)
	}
	return changes
}

func compareLimits(have, want Limits) []Change {
	if have == want {
		return nil
	}
	return []Change{{Verb: VerbModify, Kind: "limits", Detail: fieldChanges(have, want)}}
}

func compareMaps[K ~string, V any](kind string, have, want map[K]V) []Change {
	var changes []Change
	for _, name := range sorted(have) {
		if _, exists := want[name]; !exists {
			changes = append(changes, Change{Verb: VerbRemove, Kind: kind, Name: string(name)})
		}
	}
	for _, name := range sorted(want) {
		old, existed := have[name]
		if !existed {
			changes = append(changes, Change{Verb: VerbAdd, Kind: kind, Name: string(name), Detail: describeNew(want[name])})
			continue
		}
		if detail := fieldChanges(old, want[name]); detail != "" {
			changes = append(changes, Change{Verb: VerbModify, Kind: kind, Name: string(name), Detail: detail})
		}
	}
	return changes
}

func describeNew(spec any) string {
	return fieldChanges(reflect.Zero(reflect.TypeOf(spec)).Interface(), spec)
}

// fieldChanges describes the fields that differ between two structs of one type,
// under the names of their ini tags.
func fieldChanges(have, want any) string {
	a, b := reflect.ValueOf(have), reflect.ValueOf(want)
	out := ""
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if sameValue(x, y) {
			continue
		}
		if out != "" {
			out += ", "
		}
		name := a.Type().Field(i).Tag.Get("ini")
		if a.Field(i).IsZero() {
			out += fmt.Sprintf("%s %v", name, y)
			continue
		}
		out += fmt.Sprintf("%s %v -> %v", name, x, y)
	}
	return out
}

func sameValue(x, y any) bool {
	a, b := reflect.ValueOf(x), reflect.ValueOf(y)
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(x, y)
}

func affectedWorkspaces(c Change, have, want Intent) []ident.Workspace {
	switch c.Kind {
	case "workspace":
		return []ident.Workspace{ident.Workspace(c.Name)}
	case "grant":
		if g, ok := want.Grants[ident.Grant(c.Name)]; ok {
			return []ident.Workspace{g.Workspace}
		}
		return []ident.Workspace{have.Grants[ident.Grant(c.Name)].Workspace}
	case "route":
		return permittedWorkspaces(ident.Route(c.Name), have, want)
	}
	return nil
}

// permittedWorkspaces returns the workspaces that may call the route in any of the intents.
func permittedWorkspaces(r ident.Route, intents ...Intent) []ident.Workspace {
	set := map[ident.Workspace]bool{}
	for _, in := range intents {
		for _, g := range in.Grants {
			for _, route := range in.GrantRoutes(g) {
				if route == r {
					set[g.Workspace] = true
				}
			}
		}
		for name, w := range in.Workspaces {
			if w.AllRoutes {
				set[name] = true
			}
		}
	}
	return sorted(set)
}

// ReviewInput is the data that a review needs besides the intent.
type ReviewInput struct {
	// KeyCounts is the number of granted keys of each workspace.
	KeyCounts map[ident.Workspace]int
}

// Review returns warnings about settings that are valid but suspicious.
func Review(in Intent, input ReviewInput) []string {
	warnings := reviewCapacity(in)
	warnings = append(warnings, reviewRoutes(in)...)
	for _, w := range sorted(in.Workspaces) {
		if input.KeyCounts[w]+len(in.Workspaces[w].Keys) == 0 {
			warnings = append(warnings, fmt.Sprintf("workspace %s has no key: it can call open routes only", w))
		}
	}
	return warnings
}

func reviewRoutes(in Intent) []string {
	var warnings []string
	for _, name := range sorted(in.Routes) {
		r := in.Routes[name]
		if r.Open || r.Internal {
			continue
		}
		if len(permittedWorkspaces(name, in)) == 0 {
			warnings = append(warnings, fmt.Sprintf("route %s can be called by no workspace", name))
		}
	}
	return warnings
}

// reviewCapacity compares the rate of each grant, and of all grants together, with
// the capacity of the services in calls per second.
func reviewCapacity(in Intent) []string {
	var warnings []string
	total := map[ident.Service]ident.Rate{}
	for _, name := range sorted(in.Grants) {
		g := in.Grants[name]
		for _, svc := range grantServices(in, g) {
			total[svc] += g.Rate
			if limit, known := serviceRate(in.Services[svc]); known && g.Rate > limit {
				warnings = append(warnings, fmt.Sprintf(
					"grant %s: rate %v is above the %.0f calls per second that the slots of service %s carry", name, g.Rate, limit, svc))
			}
		}
	}
	for _, svc := range sorted(total) {
		if limit, known := serviceRate(in.Services[svc]); known && total[svc] > limit {
			warnings = append(warnings, fmt.Sprintf(
				"service %s: all grants together are %v calls per second, its slots carry %.0f", svc, total[svc], limit))
		}
	}
	return warnings
}

func grantServices(in Intent, g GrantSpec) []ident.Service {
	set := map[ident.Service]bool{}
	for _, r := range in.GrantRoutes(g) {
		for _, part := range in.Routes[r].Services() {
			set[part.Service] = true
		}
	}
	return sorted(set)
}

func serviceRate(s ServiceSpec) (rate ident.Rate, known bool) {
	if s.Slots == 0 || s.Servers == 0 || s.ServiceTime == 0 {
		return 0, false
	}
	perSlot := float64(time.Second) / float64(s.ServiceTime)
	return ident.Rate(float64(s.Slots*s.Servers) * perSlot), true
}
