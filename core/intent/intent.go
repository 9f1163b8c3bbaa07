// Package intent defines the declarative configuration: workspaces, services,
// routes and grants, read from an INI file and validated as a whole.
//
// # Usage
//
//	want, err := intent.Parse("shop.ini", data)
//	changes := intent.Compare(have, want)    // the lines of a plan
//	warnings := intent.Review(want, input)   // valid but suspicious settings
//	findings := intent.Inspect(want)         // settings without effect or in contradiction
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

// Intent is a complete configuration as declared by operators.
type Intent struct {
	Limits     Limits                            `json:"limits"`
	Workspaces map[ident.Workspace]WorkspaceSpec `json:"workspaces"`
	Services   map[ident.Service]ServiceSpec     `json:"services"`
	Routes     map[ident.Route]RouteSpec         `json:"routes"`
	Groups     map[ident.Group]GroupSpec         `json:"groups"`
	Grants     map[ident.Grant]GrantSpec         `json:"grants"`
	// DataCentres are the data centres among which grants are divided.
	DataCentres map[ident.DataCentre]DataCentreSpec `json:"data_centres"`
}

// Limits holds the defaults of all routes and the limits of callers' connections.
type Limits struct {
	Retries   int           `ini:"retries" json:"retries"`
	Timeout   time.Duration `ini:"timeout" json:"timeout"`
	BodyLimit int64         `ini:"body_limit" json:"body_limit"`
	// HeaderLimit (in bytes), HeaderTimeout and IdleTimeout apply to callers'
	// connections. Zero means that each daemon's own setting applies.
	HeaderLimit   int           `ini:"header_limit" json:"header_limit,omitempty"`
	HeaderTimeout time.Duration `ini:"header_timeout" json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `ini:"idle_timeout" json:"idle_timeout,omitempty"`
}

// WorkspaceSpec is one tenant.
type WorkspaceSpec struct {
	Title string `ini:"title" json:"title"`
	// Home is the data centre that stores the records of its actions.
	Home ident.DataCentre `ini:"home" json:"home,omitempty"`
	// AllRoutes lets the workspace call every route that is not internal.
	AllRoutes bool `ini:"all_routes" json:"all_routes,omitempty"`
	// Rate and Burst limit the calls to all routes together if AllRoutes is set.
	// A rate of zero means no limit.
	Rate  ident.Rate  `ini:"rate" json:"rate,omitempty"`
	Burst ident.Burst `ini:"burst" json:"burst,omitempty"`
	// Class takes precedence over the class of a called route. Empty means normal.
	Class ident.Class `ini:"class" json:"class,omitempty"`
	// Keys are the digests of keys that are valid as long as they are listed here,
	// in addition to keys that operators grant individually.
	Keys []ident.KeyDigest `ini:"key_digests" json:"key_digests,omitempty"`
}

// DataCentreSpec is one data centre. Weight is its share of every rate and burst,
// relative to the weights of the others.
type DataCentreSpec struct {
	Weight float64 `ini:"weight" json:"weight"`
}

// ServiceSpec is one service. Slots (per server), Servers and ServiceTime are the
// operator's estimates; they are used to review a plan, not to handle calls. The
// other fields describe how daemons treat the upstreams.
type ServiceSpec struct {
	Slots       int           `ini:"slots" json:"slots"`
	Servers     int           `ini:"servers" json:"servers"`
	Connections int           `ini:"connections" json:"connections"`
	ServiceTime time.Duration `ini:"service_time" json:"service_time"`
	// Warmup is how long an upstream is cold after it has started, and WarmupRate the
	// rate of calls that it bears meanwhile from all daemons together. Zero means that
	// upstreams of the service bear all calls at once.
	Warmup     time.Duration `ini:"warmup" json:"warmup,omitempty"`
	WarmupRate ident.Rate    `ini:"warmup_rate" json:"warmup_rate,omitempty"`
	// HealthPath is the path of the upstreams' health check.
	HealthPath string `ini:"health_path" json:"health_path,omitempty"`
}

// RouteSpec is one route. Path (a pattern) or Prefix selects the paths that it
// matches. A route with a prefix needs no method and then matches all methods.
type RouteSpec struct {
	// Host is the Host header of the call without the port. Empty matches any.
	Host    string        `ini:"host" json:"host,omitempty"`
	Method  string        `ini:"method" json:"method,omitempty"`
	Path    string        `ini:"path" json:"path,omitempty"`
	Prefix  string        `ini:"prefix" json:"prefix,omitempty"`
	Service ident.Service `ini:"service" json:"service,omitempty"`
	// Split distributes the calls over several services. It replaces Service.
	Split []SplitPart `ini:"split" json:"split,omitempty"`
	// Attempts is the maximum number of upstreams that one call may be sent to.
	// Zero means that the retries of Limits apply.
	Attempts int `ini:"attempts" json:"attempts,omitempty"`
	// TargetLatency is the latency within which a response is fully useful.
	TargetLatency time.Duration `ini:"target_latency" json:"target_latency,omitempty"`
	// UniqueIDs declares that no request id is ever used twice. Calls that are not
	// idempotent then need no records.
	UniqueIDs  bool          `ini:"unique_ids" json:"unique_ids,omitempty"`
	Idempotent bool          `ini:"idempotent" json:"idempotent"`
	Open       bool          `ini:"open" json:"open"`
	Internal   bool          `ini:"internal" json:"internal"`
	Class      ident.Class   `ini:"class" json:"class"`
	Timeout    time.Duration `ini:"timeout" json:"timeout"`
	BodyLimit  int64         `ini:"body_limit" json:"body_limit"`
}

// SplitPart is one service of a split with its weight, written SERVICE:WEIGHT.
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

// Services returns the services that the route's calls go to, with their weights.
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

// GrantSpec permits a workspace to call some routes. Its rate and burst apply to
// all of them together.
type GrantSpec struct {
	Workspace ident.Workspace `ini:"workspace" json:"workspace"`
	Routes    []ident.Route   `ini:"routes" json:"routes"`
	Groups    []ident.Group   `ini:"groups" json:"groups"`
	Rate      ident.Rate      `ini:"rate" json:"rate"`
	Burst     ident.Burst     `ini:"burst" json:"burst"`
}

// Empty returns the intent in force before the first confirmed plan.
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

// workspacePrefix starts the name of a grant that covers all routes of a
// workspace.
const workspacePrefix = "workspace/"

// WorkspaceGrant returns the name of the grant that covers all routes of a
// workspace.
func WorkspaceGrant(w ident.Workspace) ident.Grant {
	return ident.Grant(workspacePrefix + string(w))
}

// Grant returns a declared grant, or one made from the rate and burst of a
// workspace if name is from WorkspaceGrant.
func (in Intent) Grant(name ident.Grant) GrantSpec {
	workspace, found := strings.CutPrefix(string(name), workspacePrefix)
	if !found {
		return in.Grants[name]
	}
	w := in.Workspaces[ident.Workspace(workspace)]
	g := GrantSpec{Workspace: ident.Workspace(workspace), Rate: w.Rate, Burst: w.Burst}
	if g.Burst == 0 {
		g.Burst = ident.Burst(max(1, float64(w.Rate)))
	}
	return g
}

// GrantRoutes returns the routes that a grant covers, those of its groups
// included.
func (in Intent) GrantRoutes(g GrantSpec) []ident.Route {
	routes := append([]ident.Route(nil), g.Routes...)
	for _, group := range g.Groups {
		routes = append(routes, in.Groups[group].Routes...)
	}
	return routes
}

// Share returns a data centre's share of every rate and burst, from 0 to 1. The
// shares of all data centres add up to 1.
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

// smallBurst is the burst, in calls per data centre, below which a grant is not
// divided among data centres.
const smallBurst = 4

// GrantHome returns the data centre that alone enforces a grant whose burst is too
// small to be divided. Single is false if the grant is divided.
func (in Intent) GrantHome(name ident.Grant) (home ident.DataCentre, single bool) {
	burst := float64(in.Grant(name).Burst)
	if burst >= float64(smallBurst*len(in.DataCentres)) && len(in.DataCentres) > 0 {
		return "", false
	}
	candidates := make([]ident.VM, 0, len(in.DataCentres))
	for dc := range in.DataCentres {
		candidates = append(candidates, ident.VM(dc))
	}
	first, _ := rendez.First("grant/"+string(name), candidates)
	return ident.DataCentre(first), true
}

// RecordHome returns the data centre that stores the records of a workspace's
// actions.
func (in Intent) RecordHome(w ident.Workspace) ident.DataCentre {
	if home := in.Workspaces[w].Home; home != "" {
		return home
	}
	candidates := make([]ident.VM, 0, len(in.DataCentres))
	for dc := range in.DataCentres {
		candidates = append(candidates, ident.VM(dc))
	}
	first, _ := rendez.First("workspace/"+string(w), candidates)
	return ident.DataCentre(first)
}

// RouteTimeout returns the timeout of the route's calls.
func (in Intent) RouteTimeout(r RouteSpec) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return in.Limits.Timeout
}

// RouteBodyLimit returns the maximum request body size of the route in bytes.
func (in Intent) RouteBodyLimit(r RouteSpec) int64 {
	if r.BodyLimit > 0 {
		return r.BodyLimit
	}
	return in.Limits.BodyLimit
}

// EffectiveClass returns the workspace's class, which is normal by default.
func (w WorkspaceSpec) EffectiveClass() ident.Class {
	if w.Class == "" {
		return ident.ClassNormal
	}
	return w.Class
}

// HighestClass returns the highest class of any workspace.
func (in Intent) HighestClass() ident.Class {
	highest := ident.ClassLow
	for _, w := range in.Workspaces {
		if class := w.EffectiveClass(); class.Above(highest) {
			highest = class
		}
	}
	return highest
}
