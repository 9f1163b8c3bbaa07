// Package intent describes what operators want: workspaces, services, routes
// and grants, read from one INI text and checked as a whole.
//
// # Usage
//
//	want, err := intent.Parse("shop.ini", data)
//	diff := intent.Compare(have, want)       // what would change, for whom
//	warnings := intent.Review(want, facts)   // what a careful operator asks
//
// Rates are in calls per second, bursts and slots in calls. Errors name the
// file, section and key (see package schema). All functions are pure.
package intent

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/rendez"
)

// Defaults of the limits section.
const (
	DefaultRetries   = 3
	DefaultTimeout   = 5 * time.Second
	DefaultBodyLimit = 32 << 20 // bytes
)

// Intent is one whole configuration.
type Intent struct {
	Limits     Limits                            `json:"limits"`
	Workspaces map[ident.Workspace]WorkspaceSpec `json:"workspaces"`
	Services   map[ident.Service]ServiceSpec     `json:"services"`
	Routes     map[ident.Route]RouteSpec         `json:"routes"`
	Groups     map[ident.Group]GroupSpec         `json:"groups"`
	Grants     map[ident.Grant]GrantSpec         `json:"grants"`
	// DataCentres divide every grant among them.
	DataCentres map[ident.DataCentre]DataCentreSpec `json:"data_centres"`
}

// Limits holds what applies to every route that does not say otherwise.
type Limits struct {
	Retries   int           `ini:"retries" json:"retries"`
	Timeout   time.Duration `ini:"timeout" json:"timeout"`
	BodyLimit int64         `ini:"body_limit" json:"body_limit"`
	// HeaderLimit, in bytes, HeaderTimeout and IdleTimeout bound callers'
	// connections; zero leaves them to each daemon's settings.
	HeaderLimit   int           `ini:"header_limit" json:"header_limit,omitempty"`
	HeaderTimeout time.Duration `ini:"header_timeout" json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `ini:"idle_timeout" json:"idle_timeout,omitempty"`
}

// WorkspaceSpec is one tenant.
type WorkspaceSpec struct {
	Title string `ini:"title" json:"title"`
	// Home is the data centre that keeps the records of its actions.
	Home ident.DataCentre `ini:"home" json:"home,omitempty"`
	// AllRoutes lets the workspace call every route that is not internal.
	AllRoutes bool `ini:"all_routes" json:"all_routes,omitempty"`
	// Rate and Burst hold for all routes together, when AllRoutes is set. A
	// rate of zero is no limit.
	Rate  ident.Rate  `ini:"rate" json:"rate,omitempty"`
	Burst ident.Burst `ini:"burst" json:"burst,omitempty"`
	// Class goes before the class of the routes that the workspace calls; one
	// without stands among the normal ones.
	Class ident.Class `ini:"class" json:"class,omitempty"`
	// Keys are digests of keys that are valid as long as they stand here,
	// besides those that operators grant one by one.
	Keys []ident.KeyDigest `ini:"key_digests" json:"key_digests,omitempty"`
}

// DataCentreSpec is one data centre. Weight is its part of every rate and
// burst, relative to the others'.
type DataCentreSpec struct {
	Weight float64 `ini:"weight" json:"weight"`
}

// ServiceSpec is one service. Slots and Servers are what the operator expects
// to run; they serve the review of a plan, not the traffic.
type ServiceSpec struct {
	Slots       int           `ini:"slots" json:"slots"`
	Servers     int           `ini:"servers" json:"servers"`
	Connections int           `ini:"connections" json:"connections"`
	ServiceTime time.Duration `ini:"service_time" json:"service_time"`
}

// RouteSpec is one kind of call. Either Path, a pattern, or Prefix says which
// paths it takes; a prefix may leave the method open.
type RouteSpec struct {
	// Host is the caller's Host without a port; empty takes any.
	Host    string        `ini:"host" json:"host,omitempty"`
	Method  string        `ini:"method" json:"method,omitempty"`
	Path    string        `ini:"path" json:"path,omitempty"`
	Prefix  string        `ini:"prefix" json:"prefix,omitempty"`
	Service ident.Service `ini:"service" json:"service,omitempty"`
	// Split spreads the calls over several services, in place of Service.
	Split []SplitPart `ini:"split" json:"split,omitempty"`
	// Attempts is the most upstreams that one call may be sent to; zero
	// leaves it to the retries of the limits.
	Attempts int `ini:"attempts" json:"attempts,omitempty"`
	// TargetLatency is the time in which an answer is of full use.
	TargetLatency time.Duration `ini:"target_latency" json:"target_latency,omitempty"`
	// UniqueIDs says that every request has an id of its own that never comes
	// back: calls that are not idempotent then need no records.
	UniqueIDs  bool          `ini:"unique_ids" json:"unique_ids,omitempty"`
	Idempotent bool          `ini:"idempotent" json:"idempotent"`
	Open       bool          `ini:"open" json:"open"`
	Internal   bool          `ini:"internal" json:"internal"`
	Class      ident.Class   `ini:"class" json:"class"`
	Timeout    time.Duration `ini:"timeout" json:"timeout"`
	BodyLimit  int64         `ini:"body_limit" json:"body_limit"`
}

// SplitPart is one service of a split and its weight, written SERVICE:WEIGHT.
type SplitPart struct {
	Service ident.Service
	Weight  int
}

// MarshalText writes SERVICE:WEIGHT.
func (p SplitPart) MarshalText() ([]byte, error) {
	return []byte(string(p.Service) + ":" + strconv.Itoa(p.Weight)), nil
}

// UnmarshalText reads SERVICE:WEIGHT.
func (p *SplitPart) UnmarshalText(text []byte) (err error) {
	defer fault.Note(&err, "split part %q", text)
	at := bytes.LastIndexByte(text, ':')
	if at < 0 {
		return errors.New("want SERVICE:WEIGHT")
	}
	p.Service = ident.Service(text[:at])
	p.Weight, err = strconv.Atoi(string(text[at+1:]))
	return err
}

// Services lists where the calls of the route go.
func (r RouteSpec) Services() []SplitPart {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []SplitPart{{Service: r.Service, Weight: 1}}
}

// GroupSpec is a named set of routes.
type GroupSpec struct {
	Routes []ident.Route `ini:"routes" json:"routes"`
}

// GrantSpec lets one workspace call some routes at one shared rate and burst.
type GrantSpec struct {
	Workspace ident.Workspace `ini:"workspace" json:"workspace"`
	Routes    []ident.Route   `ini:"routes" json:"routes"`
	Groups    []ident.Group   `ini:"groups" json:"groups"`
	Rate      ident.Rate      `ini:"rate" json:"rate"`
	Burst     ident.Burst     `ini:"burst" json:"burst"`
}

// Empty returns the configuration that is in force before the first plan.
func Empty() Intent {
	return Intent{
		Limits:     defaultLimits(),
		Workspaces: map[ident.Workspace]WorkspaceSpec{},
		Services:   map[ident.Service]ServiceSpec{},
		Routes:     map[ident.Route]RouteSpec{},
		Groups:     map[ident.Group]GroupSpec{},
		Grants:     map[ident.Grant]GrantSpec{},

		DataCentres: map[ident.DataCentre]DataCentreSpec{},
	}
}

func defaultLimits() Limits {
	return Limits{Retries: DefaultRetries, Timeout: DefaultTimeout, BodyLimit: DefaultBodyLimit}
}

// wholePrefix begins the name of the grant of a workspace's own rate.
const wholePrefix = "workspace/"

// WorkspaceGrant names the grant that covers all routes of a workspace.
func WorkspaceGrant(w ident.Workspace) ident.Grant {
	return ident.Grant(wholePrefix + string(w))
}

// Grant returns a grant, or the one of a workspace's own rate.
func (in Intent) Grant(name ident.Grant) GrantSpec {
	label, whole := strings.CutPrefix(string(name), wholePrefix)
	if !whole {
		return in.Grants[name]
	}
	w := in.Workspaces[ident.Workspace(label)]
	g := GrantSpec{Workspace: ident.Workspace(label), Rate: w.Rate, Burst: w.Burst}
	if g.Burst == 0 {
		g.Burst = ident.Burst(max(1, float64(w.Rate)))
	}
	return g
}

// GrantRoutes returns the routes that a grant covers, groups included.
func (in Intent) GrantRoutes(g GrantSpec) []ident.Route {
	routes := append([]ident.Route(nil), g.Routes...)
	for _, group := range g.Groups {
		routes = append(routes, in.Groups[group].Routes...)
	}
	return routes
}

// Share returns the part of every rate and burst that is a data centre's
// own, from 0 to 1. The shares of all data centres add up to 1.
func (in Intent) Share(dc ident.DataCentre) float64 {
	total := 0.0
	for _, name := range sorted(in.DataCentres) {
		total += in.DataCentres[name].Weight
	}
	if total == 0 {
		return 0
	}
	return in.DataCentres[dc].Weight / total
}

// smallBurst is how many calls of burst each data centre needs for a grant to
// be divided among them.
const smallBurst = 4

// GrantHome returns the one data centre that holds a grant whose burst is too
// small to be divided.
func (in Intent) GrantHome(name ident.Grant) (home ident.DataCentre, single bool) {
	burst := float64(in.Grant(name).Burst)
	if burst >= float64(smallBurst*len(in.DataCentres)) && len(in.DataCentres) > 0 {
		return "", false
	}
	vms := make([]ident.VM, 0, len(in.DataCentres))
	for dc := range in.DataCentres {
		vms = append(vms, ident.VM(dc))
	}
	first, _ := rendez.First("grant/"+string(name), vms)
	return ident.DataCentre(first), true
}

// RecordHome returns the data centre that keeps the records of a workspace's
// actions.
func (in Intent) RecordHome(w ident.Workspace) ident.DataCentre {
	if home := in.Workspaces[w].Home; home != "" {
		return home
	}
	vms := make([]ident.VM, 0, len(in.DataCentres))
	for dc := range in.DataCentres {
		vms = append(vms, ident.VM(dc))
	}
	first, _ := rendez.First("workspace/"+string(w), vms)
	return ident.DataCentre(first)
}

// RouteTimeout returns how long a call of the route may take.
func (in Intent) RouteTimeout(r RouteSpec) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return in.Limits.Timeout
}

// RouteBodyLimit returns the largest request body of the route in bytes.
func (in Intent) RouteBodyLimit(r RouteSpec) int64 {
	if r.BodyLimit > 0 {
		return r.BodyLimit
	}
	return in.Limits.BodyLimit
}

// EffectiveClass returns the workspace's class, or what counts as one.
func (w WorkspaceSpec) EffectiveClass() ident.Class {
	if w.Class == "" {
		return ident.ClassNormal
	}
	return w.Class
}

// HighestClass returns the class of the most important workspace.
func (in Intent) HighestClass() ident.Class {
	foremost := ident.ClassLow
	for _, w := range in.Workspaces {
		if class := w.EffectiveClass(); class.Above(foremost) {
			foremost = class
		}
	}
	return foremost
}
