// Package trial writes the files of a small fleet on loopback: settings for
// every daemon, the intent, load plans, and the list of processes to start.
// A script starts them, since no process of the system starts another.
//
// # Usage
//
//	layout := trial.Small()
//	fleet, err := trial.Write(dir, layout)
//
// Ports are free when the files are written. docs/MEASUREMENTS.md says how
// the layouts relate to real deployments.
package trial

import (
	"errors"
	"time"

	"chicorymast/core/ident"
)

// ErrUnknownLayout is returned for a layout name that is not known.
var ErrUnknownLayout = errors.New("unknown layout")

// Layout describes a fleet.
type Layout struct {
	DataCentres []ident.DataCentre
	// ControlDaemons is the number of control daemons, spread over data centres.
	ControlDaemons int
	Services       []Service
	Routes         []Route
	Workspaces     []Workspace
	// Mode is the daemons' mode.
	Mode string
	// Scenario changes the load and says what happens while it runs.
	Scenario Scenario
	// TraceSample is the share of calls that are traced.
	TraceSample float64
}

// Service is one service of a layout.
type Service struct {
	Name            ident.Service
	Servers         int
	Slots           int
	MaxOpenCalls    int
	MeanServiceTime time.Duration
	// Calls are child calls as "PREFIX METHOD PATH".
	Calls []string
}

// Route is one route of a layout.
type Route struct {
	Name       ident.Route
	Method     string
	Path       string
	Service    ident.Service
	Idempotent bool
	Internal   bool
	Open       bool
	Class      ident.Class
}

// Workspace is one workspace with its grants and its load.
type Workspace struct {
	Name   ident.Workspace
	Rate   float64
	Burst  float64
	Routes []ident.Route
	// Streams is what the tenant sends, as "METHOD PATH" with its rate; a path
	// may hold {n}.
	Streams []Stream
}

// Stream is one kind of call that a tenant sends.
type Stream struct {
	Method     string
	Path       string
	Rate       float64
	Idempotent bool
}

var layouts = map[string]func() Layout{"small": Small, "mapa": Mapa, "coinex": Coinex}

// LayoutByName returns a layout.
func LayoutByName(name string) (Layout, error) {
	build, ok := layouts[name]
	if !ok {
		return Layout{}, ErrUnknownLayout
	}
	return build(), nil
}

// Small is two data centres, three services of two upstreams each in a chain
// three deep, three control daemons and three workspaces.
func Small() Layout {
	const mean = 5 * time.Millisecond
	return Layout{
		DataCentres:    []ident.DataCentre{"kosice-1", "kosice-2"},
		ControlDaemons: 3,
		TraceSample:    0.01,
		Services: []Service{
			{Name: "objednavky", Servers: 2, Slots: 20, MeanServiceTime: mean, Calls: []string{"/objednavky GET /katalog/item"}},
			{Name: "katalog", Servers: 2, Slots: 20, MeanServiceTime: mean, Calls: []string{"/katalog GET /grafika/thumb"}},
			{Name: "grafika", Servers: 2, Slots: 20, MeanServiceTime: mean},
		},
		Routes: []Route{
			{Name: "order_status", Method: "GET", Path: "/objednavky/{id}", Service: "objednavky", Idempotent: true, Class: ident.ClassNormal},
			{Name: "order_place", Method: "POST", Path: "/objednavky/{id}", Service: "objednavky", Class: ident.ClassCritical},
			{Name: "item", Method: "GET", Path: "/katalog/{id}", Service: "katalog", Idempotent: true, Class: ident.ClassNormal},
			{Name: "thumb", Method: "GET", Path: "/grafika/{id}", Service: "grafika", Idempotent: true, Internal: true, Class: ident.ClassLow},
		},
		Workspaces: []Workspace{
			smallTenant("mlyn", 60),
			smallTenant("skauti", 30),
			smallTenant("hrad", 30),
		},
	}
}

func smallTenant(name ident.Workspace, rate float64) Workspace {
	const share = 0.8
	return Workspace{
		Name: name, Rate: rate, Burst: rate, Routes: []ident.Route{"order_status", "order_place", "item"},
		Streams: []Stream{
			{Method: "GET", Path: "/objednavky/{n}", Rate: rate * share / 2, Idempotent: true},
			{Method: "POST", Path: "/objednavky/{n}", Rate: rate * share / 2},
		},
	}
}
