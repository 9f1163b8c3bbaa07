package intent

import (
	"fmt"
	"strings"

	"chicorymast/core/ident"
)

// Rule names the check that a finding comes from. The names are stable, so that
// scripts can select findings.
type Rule string

// The rules of Inspect.
const (
	RuleRouteUnreachable   Rule = "route_unreachable"
	RuleSplitWeightZero    Rule = "split_weight_zero"
	RuleGrantWithoutEffect Rule = "grant_without_effect"
	RuleKeysWithoutRoute   Rule = "keys_without_route"
	RuleServiceUnused      Rule = "service_unused"
	RuleGroupEmpty         Rule = "group_empty"
	RuleBurstWithoutRate   Rule = "burst_without_rate"
	RuleBurstBelowOne      Rule = "burst_below_one"
	RuleRateUndivided      Rule = "rate_without_data_centre"
	RuleGrantAboveRate     Rule = "grant_above_workspace"
	RuleTargetAboveTimeout Rule = "target_above_timeout"
	RuleAttemptsUnpaid     Rule = "attempts_above_retries"
	RuleAttemptsAboveVMs   Rule = "attempts_above_servers"
	RuleWarmupUnchecked    Rule = "warmup_without_health_path"
	RuleTimeoutTooLong     Rule = "timeout_too_long"
)

// Finding is a setting that is valid but never takes effect or contradicts another.
type Finding struct {
	Rule    Rule   `json:"rule"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// String formats the finding as `[section] key: problem`.
func (f Finding) String() string {
	out := "[" + f.Section + "]"
	if f.Key != "" {
		out += " " + f.Key
	}
	return out + ": " + f.Problem
}

// Inspect returns the settings of an intent that never take effect or contradict
// each other, in a stable order. Unlike Review it needs the intent only.
func Inspect(in Intent) []Finding {
	i := inspector{in: in}
	i.limits()
	i.workspaces()
	i.services()
	i.reachability()
	i.routes()
	i.groups()
	i.grants()
	return i.findings
}

type inspector struct {
	in       Intent
	findings []Finding
}

func (i *inspector) report(rule Rule, section, key, format string, args ...any) {
	i.findings = append(i.findings, Finding{Rule: rule, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (i *inspector) limits() {
	if i.in.Limits.Timeout > MaxTimeout {
		i.report(RuleTimeoutTooLong, "limits", "timeout", "%s is above %s, the maximum of a route", i.in.Limits.Timeout, MaxTimeout)
	}
}

func (i *inspector) workspaces() {
	grants := i.grantsByWorkspace()
	for _, name := range sorted(i.in.Workspaces) {
		w, section := i.in.Workspaces[name], "workspace "+string(name)
		if w.Burst > 0 && w.Rate == 0 {
			i.report(RuleBurstWithoutRate, section, "burst", "has no effect: with rate 0 calls are not limited")
		}
		if w.Burst > 0 && w.Burst < 1 {
			i.report(RuleBurstBelowOne, section, "burst", "%v is below 1 call", w.Burst)
		}
		if w.Rate > 0 && len(i.in.DataCentres) == 0 {
			i.report(RuleRateUndivided, section, "rate", "rates are divided among the data centres, and there is no [data_centre NAME]")
		}
		if len(w.Keys) > 0 && !w.AllRoutes && !i.anyNeedsGrant(grants[name]) {
			i.report(RuleKeysWithoutRoute, section, "key_digests", "no route needs them: no grant of the workspace covers a route that is neither open nor internal")
		}
	}
}

func (i *inspector) grantsByWorkspace() map[ident.Workspace][]GrantSpec {
	grants := map[ident.Workspace][]GrantSpec{}
	for _, g := range i.in.Grants {
		grants[g.Workspace] = append(grants[g.Workspace], g)
	}
	return grants
}

func (i *inspector) anyNeedsGrant(grants []GrantSpec) bool {
	for _, g := range grants {
		for _, route := range i.in.GrantRoutes(g) {
			if r := i.in.Routes[route]; !r.Open && !r.Internal {
				return true
			}
		}
	}
	return false
}

func (i *inspector) services() {
	used := map[ident.Service]bool{}
	for _, r := range i.in.Routes {
		for _, part := range r.Services() {
			used[part.Service] = true
		}
	}
	for _, name := range sorted(i.in.Services) {
		s, section := i.in.Services[name], "service "+string(name)
		if !used[name] {
			i.report(RuleServiceUnused, section, "", "no route names it")
		}
		// Upstreams may announce a path of their own, which the intent does not show.
		if s.Warmup > 0 && s.HealthPath == "" {
			i.report(RuleWarmupUnchecked, section, "health_path", "missing: daemons can't ask upstreams that announce no path whether they are warm")
		}
	}
}

func (i *inspector) routes() {
	for _, name := range sorted(i.in.Routes) {
		r, section := i.in.Routes[name], "route "+string(name)
		for _, part := range r.Split {
			if part.Weight == 0 {
				i.report(RuleSplitWeightZero, section, "split", "service %s has weight 0 and gets no calls", part.Service)
			}
		}
		if timeout := i.in.RouteTimeout(r); r.TargetLatency > timeout {
			i.report(RuleTargetAboveTimeout, section, "target_latency", "%s is above the timeout of %s", r.TargetLatency, timeout)
		}
		i.attempts(section, r)
	}
}

// attempts compares the attempts of a route with its retries and servers. Only calls
// between services take their retries from the limits: on other routes, attempts
// replace them.
func (i *inspector) attempts(section string, r RouteSpec) {
	if retries := i.in.Limits.Retries; r.Internal && r.Attempts > retries+1 {
		i.report(RuleAttemptsUnpaid, section, "attempts", "%d attempts need %d retries; calls between services have %d (retries in [limits])",
			r.Attempts, r.Attempts-1, retries)
	}
	for _, part := range r.Services() {
		if servers := i.in.Services[part.Service].Servers; part.Weight > 0 && servers > 0 && r.Attempts > servers {
			i.report(RuleAttemptsAboveVMs, section, "attempts", "%d is above the servers of service %s, %d", r.Attempts, part.Service, servers)
		}
	}
}

func (i *inspector) groups() {
	for _, name := range sorted(i.in.Groups) {
		if len(i.in.Groups[name].Routes) == 0 {
			i.report(RuleGroupEmpty, "group "+string(name), "routes", "has no members")
		}
	}
}

func (i *inspector) grants() {
	for _, name := range sorted(i.in.Grants) {
		g, section := i.in.Grants[name], "grant "+string(name)
		w := i.in.Workspaces[g.Workspace]
		if w.Rate > 0 && g.Rate > w.Rate {
			i.report(RuleGrantAboveRate, section, "rate", "%v is above the rate of workspace %s, %v", g.Rate, g.Workspace, w.Rate)
		}
		if w.AllRoutes {
			i.report(RuleGrantWithoutEffect, section, "workspace", "has no effect: workspace %s may call all routes at its own rate", g.Workspace)
			continue
		}
		if exempt := i.exemptRoutes(g); len(exempt) > 0 {
			i.report(RuleGrantWithoutEffect, section, "routes", "has no effect on %s", strings.Join(exempt, ", "))
		}
	}
}

// exemptRoutes describes the routes of a grant that are called without grants.
func (i *inspector) exemptRoutes(g GrantSpec) []string {
	var exempt []string
	seen := map[ident.Route]bool{}
	for _, name := range i.in.GrantRoutes(g) {
		r := i.in.Routes[name]
		if seen[name] || (!r.Open && !r.Internal) {
			continue
		}
		seen[name] = true
		kind := "open"
		if r.Internal {
			kind = "internal"
		}
		exempt = append(exempt, fmt.Sprintf("%s (%s)", name, kind))
	}
	return exempt
}
