// Package trial writes the files of a small fleet on loopback for trials: settings
// for every daemon, the intent, load plans and the list of processes. A script starts
// the processes, since no process of the system starts another.
//
// # Usage
//
//	layout := trial.Small()
//	fleet, err := trial.Write(dir, layout, tokenDigest)
//
// The ports are unused when the files are written, and no other process draws them as
// long as this one runs. docs/MEASUREMENTS.md describes how the layouts relate to real
// deployments.
package trial

import (
	"errors"
	"time"

	"chicorymast/core/ident"
)

// ErrUnknownLayout is returned for the name of a layout that does not exist.
var ErrUnknownLayout = errors.New("unknown layout")

// Layout describes a fleet and its load.
type Layout struct {
	DataCentres []ident.DataCentre
	// ControlDaemons is the number of control daemons; they are spread over the data centres.
	ControlDaemons int
	Services       []Service
	Routes         []Route
	Workspaces     []Workspace
	// Mode is the mode of the daemons as in their settings; the default if empty.
	Mode string
	// Scenario sets the load and the events during it; optional.
	Scenario Scenario
	// TraceSample is the share of actions that are traced, from 0 to 1.
	TraceSample float64
}

// Service is one service of a layout.
type Service struct {
	Name            ident.Service
	Servers         int
	Slots           int
	MaxOpenCalls    int
	MeanServiceTime time.Duration
	// Calls are the child calls as "PREFIX METHOD PATH".
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

// Workspace is a workspace with its grant and its load.
type Workspace struct {
	Name   ident.Workspace
	Rate   float64
	Burst  float64
	Routes []ident.Route
	// Streams are the calls that the workspace sends.
	Streams []Stream
}

// Stream is the load of a workspace on one path. Rate is in calls per second; {n} in
// the path stands for the sequence number of the call.
type Stream struct {
	Method     string
	Path       string
	Rate       float64
	Idempotent bool
}

var layouts = map[string]func() Layout{"small": Small, "mapa": Mapa, "coinex": Coinex}

// LayoutByName returns the layout with this name, or ErrUnknownLayout.
func LayoutByName(name string) (Layout, error) {
	build, ok := layouts[name]
	if !ok {
		return Layout{}, ErrUnknownLayout
	}
	return build(), nil
}

// Small returns a layout with two data centres, a chain of three services with two
// upstreams each, three control daemons and three workspaces.
func Small() Layout {
	const serviceTime = 5 * time.Millisecond
	return Layout{
		DataCentres:    []ident.DataCentre{"kosice-1", "kosice-2"},
		ControlDaemons: 3,
		TraceSample:    0.01,
		Services: []Service{
			{Name: "objednavky", Servers: 2, Slots: 20, MeanServiceTime: serviceTime, Calls: []string{"/objednavky GET /katalog/item"}},
			{Name: "katalog", Servers: 2, Slots: 20, MeanServiceTime: serviceTime, Calls: []string{"/katalog GET /grafika/thumb"}},
			{Name: "grafika", Servers: 2, Slots: 20, MeanServiceTime: serviceTime},
		},
		Routes: []Route{
			{Name: "order_status", Method: "GET", Path: "/objednavky/{id}", Service: "objednavky", Idempotent: true, Class: ident.ClassNormal},
			{Name: "order_place", Method: "POST", Path: "/objednavky/{id}", Service: "objednavky", Class: ident.ClassCritical},
			{Name: "item", Method: "GET", Path: "/katalog/{id}", Service: "katalog", Idempotent: true, Class: ident.ClassNormal},
			{Name: "thumb", Method: "GET", Path: "/grafika/{id}", Service: "grafika", Idempotent: true, Internal: true, Class: ident.ClassLow},
		},
		Workspaces: []Workspace{
			smallWorkspace("mlyn", 60),
			smallWorkspace("skauti", 30),
			smallWorkspace("hrad", 30),
		},
	}
}

func smallWorkspace(name ident.Workspace, rate float64) Workspace {
	const loadShare = 0.8 // of the granted rate
	return Workspace{
		Name: name, Rate: rate, Burst: rate, Routes: []ident.Route{"order_status", "order_place", "item"},
		Streams: []Stream{
			{Method: "GET", Path: "/objednavky/{n}", Rate: rate * loadShare / 2, Idempotent: true},
			{Method: "POST", Path: "/objednavky/{n}", Rate: rate * loadShare / 2},
		},
	}
}
