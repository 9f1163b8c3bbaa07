package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/match"
	"chicorymast/core/schema"
)

// Bounds on the values of an intent.
const (
	MaxRetries = 16
	MaxRate    = 10_000_000 // calls per second
	MaxWeight  = 1000
	// MaxTimeout is the maximum timeout of a route.
	MaxTimeout = 10 * time.Minute
	// MaxTargetExcess bounds by how much a target latency may exceed the timeout.
	MaxTargetExcess = time.Minute
	// MaxWarmup is the longest warm-up time of an upstream.
	MaxWarmup = time.Hour
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Check validates an intent: all references must resolve and all values must be in
// range. Parse calls it; call it for an intent from another source. The name is used
// as the file name in errors, which are *schema.Error values.
func Check(name string, in Intent) error {
	c := checker{file: name, in: in}
	steps := []func() error{c.limits, c.dataCentres, c.workspaces, c.services, c.routes, c.overlaps, c.groups, c.grants}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

type checker struct {
	file string
	in   Intent
}

func (c checker) fail(kind, name, key, format string, args ...any) error {
	section := strings.TrimSpace(kind + " " + name)
	return &schema.Error{File: c.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)}
}

func (c checker) limits() error {
	l := c.in.Limits
	if l.Retries < 0 || l.Retries > MaxRetries {
		return c.fail("limits", "", "retries", "%d is not between 0 and %d", l.Retries, MaxRetries)
	}
	if l.Timeout <= 0 {
		return c.fail("limits", "", "timeout", "must be above zero")
	}
	if l.BodyLimit <= 0 {
		return c.fail("limits", "", "body_limit", "must be above zero")
	}
	if l.HeaderLimit < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return c.fail("limits", "", "header_limit", "limits of connections can't be below zero")
	}
	return nil
}

func (c checker) dataCentres() error {
	for _, name := range sorted(c.in.DataCentres) {
		if w := c.in.DataCentres[name].Weight; !(w > 0 && w <= MaxWeight) {
			return c.fail("data_centre", string(name), "weight", "%v is not above 0 and at most %d", w, MaxWeight)
		}
	}
	if len(c.in.DataCentres) == 0 && len(c.in.Grants) > 0 {
		return c.fail("data_centre", "", "", "grants need at least one [data_centre NAME]: rates are divided among them")
	}
	return nil
}

func (c checker) workspaces() error {
	owners := map[ident.KeyDigest]ident.Workspace{}
	for _, name := range sorted(c.in.Workspaces) {
		w := c.in.Workspaces[name]
		if err := c.workspace(string(name), w); err != nil {
			return err
		}
		for _, key := range w.Keys {
			if other, taken := owners[key]; taken && other != name {
				return c.fail("workspace", string(name), "key_digests", "a key is already that of workspace %s", other)
			}
			owners[key] = name
		}
	}
	return nil
}

func (c checker) workspace(name string, w WorkspaceSpec) error {
	if _, ok := c.in.DataCentres[w.Home]; w.Home != "" && !ok {
		return c.fail("workspace", name, "home", "no data centre %q", w.Home)
	}
	if w.Class != "" && !w.Class.Valid() {
		return c.fail("workspace", name, "class", "%q is not one of %v", w.Class, ident.Classes)
	}
	if !(w.Rate >= 0 && w.Rate <= MaxRate) {
		return c.fail("workspace", name, "rate", "%v is not between 0 and %d calls per second", w.Rate, MaxRate)
	}
	if !(w.Burst >= 0 && w.Burst <= MaxRate) {
		return c.fail("workspace", name, "burst", "%v is not between 0 and %d calls", w.Burst, MaxRate)
	}
	if (w.Rate > 0 || w.Burst > 0) && !w.AllRoutes {
		return c.fail("workspace", name, "rate", "holds with all_routes = true only; otherwise rates stand in grants")
	}
	for _, key := range w.Keys {
		if len(key) != hex.EncodedLen(sha256.Size) {
			return c.fail("workspace", name, "key_digests", "%q is not a SHA-256 in hex", key)
		}
	}
	return nil
}

func (c checker) services() error {
	for _, name := range sorted(c.in.Services) {
		s := c.in.Services[name]
		if s.Slots < 0 || s.Servers < 0 || s.Connections < 0 {
			return c.fail("service", string(name), "", "slots, servers and connections can't be below zero")
		}
		if err := c.warmup(string(name), s); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) warmup(name string, s ServiceSpec) error {
	if s.Warmup < 0 || s.Warmup > MaxWarmup {
		return c.fail("service", name, "warmup", "%s is not between 0 and %s", s.Warmup, MaxWarmup)
	}
	if !(s.WarmupRate >= 0 && s.WarmupRate <= MaxRate) {
		return c.fail("service", name, "warmup_rate", "%v is not between 0 and %d calls per second", s.WarmupRate, MaxRate)
	}
	if (s.Warmup > 0) != (s.WarmupRate > 0) {
		return c.fail("service", name, "warmup", "warmup and warmup_rate are set together")
	}
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		return c.fail("service", name, "health_path", "%q does not begin with /", s.HealthPath)
	}
	return nil
}

func (c checker) routes() error {
	for _, name := range sorted(c.in.Routes) {
		if err := c.route(string(name), c.in.Routes[name]); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) route(name string, r RouteSpec) error {
	if err := c.routePattern(name, r); err != nil {
		return err
	}
	if err := c.routeServices(name, r); err != nil {
		return err
	}
	if !r.Class.Valid() {
		return c.fail("route", name, "class", "%q is not one of %v", r.Class, ident.Classes)
	}
	if r.Open && r.Internal {
		return c.fail("route", name, "open", "a route is either open or internal")
	}
	if r.BodyLimit < 0 {
		return c.fail("route", name, "body_limit", "can't be below zero")
	}
	if r.Attempts < 0 || r.Attempts > MaxRetries+1 {
		return c.fail("route", name, "attempts", "%d is not between 0 and %d", r.Attempts, MaxRetries+1)
	}
	return c.routeTimes(name, r)
}

// routePattern checks the host, method and path or prefix of a route.
func (c checker) routePattern(name string, r RouteSpec) error {
	anyMethod := r.Method == "" && r.Prefix != ""
	if !anyMethod && !slices.Contains(methods, r.Method) {
		return c.fail("route", name, "method", "%q is not one of %s", r.Method, strings.Join(methods, " "))
	}
	if r.Prefix == "" {
		if r.Host != "" {
			return c.fail("route", name, "host", "needs a prefix, too")
		}
		if err := match.CheckPattern(r.Path); err != nil {
			return c.fail("route", name, "path", "%v", err)
		}
		return nil
	}
	if r.Path != "" {
		return c.fail("route", name, "path", "a route has either a path or a prefix")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return c.fail("route", name, "prefix", "%q does not begin and end with /", r.Prefix)
	}
	return nil
}

func (c checker) routeServices(name string, r RouteSpec) error {
	if len(r.Split) > 0 && r.Service != "" {
		return c.fail("route", name, "split", "a route has either a service or a split")
	}
	total := 0
	for _, part := range r.Services() {
		if _, ok := c.in.Services[part.Service]; !ok {
			return c.fail("route", name, "service", "no service %q", part.Service)
		}
		if part.Weight < 0 {
			return c.fail("route", name, "split", "the weight of %s is below zero", part.Service)
		}
		total += part.Weight
	}
	if total == 0 {
		return c.fail("route", name, "split", "no part has a weight")
	}
	return nil
}

func (c checker) routeTimes(name string, r RouteSpec) error {
	if r.Timeout < 0 || r.Timeout > MaxTimeout {
		return c.fail("route", name, "timeout", "%s is not between 0 and %s", r.Timeout, MaxTimeout)
	}
	if r.TargetLatency < 0 || r.TargetLatency >= c.in.RouteTimeout(r)+MaxTargetExcess {
		return c.fail("route", name, "target_latency", "%s lies %s or more above the timeout", r.TargetLatency, MaxTargetExcess)
	}
	return nil
}

func (c checker) overlaps() error {
	seen := map[string]ident.Route{}
	for _, name := range sorted(c.in.Routes) {
		r := c.in.Routes[name]
		pattern := r.Method + " " + strings.ToLower(r.Host) + match.Canonical(r.Path)
		if r.Prefix != "" {
			pattern = r.Method + " " + strings.ToLower(r.Host) + r.Prefix + "..."
		}
		if other, taken := seen[pattern]; taken {
			return c.fail("route", string(name), "path", "matches the same calls as route %s", other)
		}
		seen[pattern] = name
	}
	return nil
}

func (c checker) groups() error {
	for _, name := range sorted(c.in.Groups) {
		for _, r := range c.in.Groups[name].Routes {
			if _, ok := c.in.Routes[r]; !ok {
				return c.fail("group", string(name), "routes", "no route %q", r)
			}
		}
	}
	return nil
}

func (c checker) grants() error {
	grantOf := map[string]ident.Grant{}
	for _, name := range sorted(c.in.Grants) {
		g := c.in.Grants[name]
		if err := c.grant(string(name), g); err != nil {
			return err
		}
		for _, r := range c.in.GrantRoutes(g) {
			pair := string(g.Workspace) + " " + string(r)
			if other, dup := grantOf[pair]; dup && other != name {
				return c.fail("grant", string(name), "routes", "route %s is already granted to %s by %s", r, g.Workspace, other)
			}
			grantOf[pair] = name
		}
	}
	return nil
}

func (c checker) grant(name string, g GrantSpec) error {
	if _, ok := c.in.Workspaces[g.Workspace]; !ok {
		return c.fail("grant", name, "workspace", "no workspace %q", g.Workspace)
	}
	if !(g.Rate > 0 && g.Rate <= MaxRate) {
		return c.fail("grant", name, "rate", "%v is not above 0 and at most %d calls per second", g.Rate, MaxRate)
	}
	if !(g.Burst >= 1 && g.Burst <= MaxRate) {
		return c.fail("grant", name, "burst", "%v is not between 1 and %d calls", g.Burst, MaxRate)
	}
	for _, group := range g.Groups {
		if _, ok := c.in.Groups[group]; !ok {
			return c.fail("grant", name, "groups", "no group %q", group)
		}
	}
	for _, r := range g.Routes {
		if _, ok := c.in.Routes[r]; !ok {
			return c.fail("grant", name, "routes", "no route %q", r)
		}
	}
	if len(c.in.GrantRoutes(g)) == 0 {
		return c.fail("grant", name, "routes", "covers no route")
	}
	return nil
}

func sorted[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
