package trial

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"chicorymast/core/ident"
)

// defaultDuration is the duration of the load when there is no scenario.
const defaultDuration = 15 * time.Second

// intent returns the intent file for the layout.
func (f *Fleet) intent() string {
	var b strings.Builder
	b.WriteString("[limits]\nretries = 3\ntimeout = 5s\n")
	for _, dc := range f.layout.DataCentres {
		fmt.Fprintf(&b, "\n[data_centre %s]\nweight = 1\n", dc)
	}
	for _, s := range f.layout.Services {
		fmt.Fprintf(&b, "\n[service %s]\nslots = %d\nservers = %d\nservice_time = %s\n", s.Name, s.Slots, s.Servers, s.MeanServiceTime)
	}
	for _, r := range f.layout.Routes {
		fmt.Fprintf(&b, "\n[route %s]\nmethod = %s\npath = %s\nservice = %s\nclass = %s\nidempotent = %t\ninternal = %t\nopen = %t\n",
			r.Name, r.Method, r.Path, r.Service, r.Class, r.Idempotent, r.Internal, r.Open)
	}
	for _, w := range f.layout.Workspaces {
		fmt.Fprintf(&b, "\n[workspace %s]\ntitle = Trial workspace %s\n", w.Name, w.Name)
		fmt.Fprintf(&b, "\n[grant %s_calls]\nworkspace = %s\nroutes = %s\nrate = %g\nburst = %g\n",
			w.Name, w.Name, joinRoutes(w.Routes), w.Rate, w.Burst)
	}
	return b.String()
}

func joinRoutes(routes []ident.Route) string {
	names := make([]string, len(routes))
	for i, r := range routes {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

// loadPlan returns the load plan for all workspaces. Its targets are the daemons
// beside the upstreams or, with direct, the stub upstreams themselves.
func (f *Fleet) loadPlan(direct bool) string {
	var b strings.Builder
	s := f.layout.Scenario
	duration := s.Duration
	if duration == 0 {
		duration = defaultDuration
	}
	fmt.Fprintf(&b, "[load]\ntargets = %s\nduration = %s\ndirect = %t\nseed = 1\n", strings.Join(f.targets(), ", "), duration, direct)
	fmt.Fprintf(&b, "retries = %d\nbackoff = %s\n", s.Retries, s.Backoff)
	if s.Timeout > 0 {
		fmt.Fprintf(&b, "timeout = %s\n", s.Timeout)
	}
	if s.SurgeFactor > 0 {
		fmt.Fprintf(&b, "surge_at = %s\nsurge_for = %s\nsurge_factor = %g\n", s.SurgeAt, s.SurgeFor, s.SurgeFactor)
	}
	for n, w := range f.layout.Workspaces {
		for i, stream := range w.Streams {
			fmt.Fprintf(&b, "\n[stream %s_%d]\nworkspace = %s\nmethod = %s\npath = %s\nrate = %g\nidempotent = %t\n",
				w.Name, i+1, w.Name, stream.Method, stream.Path, stream.Rate, stream.Idempotent)
			fmt.Fprintf(&b, "grant_rate = %g\ngrant_burst = %g\n", w.Rate, w.Burst)
			if s.SurgeFirstOnly {
				fmt.Fprintf(&b, "surge_only = %t\n", n == 0)
			}
			if direct {
				fmt.Fprintf(&b, "targets = %s\n", strings.Join(f.directTargets(stream.Path), ", "))
				continue
			}
			fmt.Fprintf(&b, "key_file = %s\n", filepath.Join(f.Dir, "key-"+string(w.Name)))
		}
	}
	return b.String()
}

func (f *Fleet) targets() []string {
	var targets []string
	for _, d := range f.Daemons {
		if !d.Control {
			targets = append(targets, d.Addresses["caller"])
		}
	}
	return targets
}

func (f *Fleet) directTargets(path string) []string {
	var targets []string
	for _, s := range f.Stubs {
		if strings.HasPrefix(path, "/"+string(s.Service.Name)) {
			targets = append(targets, s.Address)
		}
	}
	return targets
}
