package intent

import (
	"maps"
	"reflect"

	"chicorymast/core/ident"
)

// Patch is the difference between two intents. A nil item is to be removed. The
// size of a patch depends on the change, not on the configuration.
type Patch struct {
	Limits     *Limits                            `json:"limits,omitempty"`
	Workspaces map[ident.Workspace]*WorkspaceSpec `json:"workspaces,omitempty"`
	Services   map[ident.Service]*ServiceSpec     `json:"services,omitempty"`
	Routes     map[ident.Route]*RouteSpec         `json:"routes,omitempty"`
	Groups     map[ident.Group]*GroupSpec         `json:"groups,omitempty"`
	Grants     map[ident.Grant]*GrantSpec         `json:"grants,omitempty"`

	DataCentres map[ident.DataCentre]*DataCentreSpec `json:"data_centres,omitempty"`
}

// Diff returns the patch that turns one intent into another.
func Diff(have, want Intent) Patch {
	p := Patch{
		Workspaces: diffMaps(have.Workspaces, want.Workspaces),
		Services:   diffMaps(have.Services, want.Services),
		Routes:     diffMaps(have.Routes, want.Routes),
		Groups:     diffMaps(have.Groups, want.Groups),
		Grants:     diffMaps(have.Grants, want.Grants),

		DataCentres: diffMaps(have.DataCentres, want.DataCentres),
	}
	if have.Limits != want.Limits {
		p.Limits = &want.Limits
	}
	return p
}

// Empty reports whether the patch changes nothing.
func (p Patch) Empty() bool {
	return p.Limits == nil && len(p.Workspaces)+len(p.Services)+len(p.Routes)+len(p.Groups)+len(p.Grants)+len(p.DataCentres) == 0
}

// Apply returns a patched copy of an intent. Maps without changes are shared with
// the original.
func (p Patch) Apply(in Intent) Intent {
	if p.Limits != nil {
		in.Limits = *p.Limits
	}
	in.Workspaces = patchMap(in.Workspaces, p.Workspaces)
	in.Services = patchMap(in.Services, p.Services)
	in.Routes = patchMap(in.Routes, p.Routes)
	in.Groups = patchMap(in.Groups, p.Groups)
	in.Grants = patchMap(in.Grants, p.Grants)
	in.DataCentres = patchMap(in.DataCentres, p.DataCentres)
	return in
}

func diffMaps[K comparable, V any](have, want map[K]V) map[K]*V {
	out := map[K]*V{}
	for name := range have {
		if _, exists := want[name]; !exists {
			out[name] = nil
		}
	}
	for name, spec := range want {
		old, existed := have[name]
		if !existed || !sameSpec(old, spec) {
			out[name] = &spec
		}
	}
	return out
}

func sameSpec(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !sameValue(x.Field(i).Interface(), y.Field(i).Interface()) {
			return false
		}
	}
	return true
}

func patchMap[K comparable, V any](have map[K]V, patch map[K]*V) map[K]V {
	if len(patch) == 0 {
		return have
	}
	out := maps.Clone(have)
	if out == nil {
		out = map[K]V{}
	}
	for name, spec := range patch {
		if spec == nil {
			delete(out, name)
			continue
		}
		out[name] = *spec
	}
	return out
}
