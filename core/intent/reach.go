package intent

import (
	"cmp"
	"strings"

	"chicorymast/core/ident"
	"chicorymast/core/match"
)

// reachability reports routes that no call reaches. It looks up sample calls in the
// table that daemons use, so that both apply the same precedence.
func (i *inspector) reachability() {
	s := newSampler(i.in)
	for _, name := range sorted(i.in.Routes) {
		r := i.in.Routes[name]
		winner, reached := s.winner(name, r)
		switch section := "route " + string(name); {
		case reached:
		case winner == "":
			i.report(RuleRouteUnreachable, section, "host", "no call matches %q: the host of a call is compared without its port", r.Host)
		case i.in.Routes[winner].Prefix != "" && r.Prefix == "":
			i.report(RuleRouteUnreachable, section, "path", "no call reaches it: route %s matches them by its prefix, and prefixes apply before paths", winner)
		default:
			i.report(RuleRouteUnreachable, section, "path", "no call reaches it: others, such as route %s, take precedence", winner)
		}
	}
}

// sampler makes calls that match a route and as few others as possible.
type sampler struct {
	table *match.Table
	// fresh occurs in no host, method, path or prefix of the intent.
	fresh string
	// depth is the largest number of segments of a path.
	depth int
}

func newSampler(in Intent) sampler {
	s := sampler{fresh: "x"}
	entries := make([]match.Entry, 0, len(in.Routes))
	var text strings.Builder
	for name, r := range in.Routes {
		entries = append(entries, match.Entry{Host: r.Host, Method: r.Method, Pattern: r.Path, Prefix: r.Prefix, Route: name})
		text.WriteString(strings.ToLower(r.Host) + " " + r.Method + " " + r.Path + " " + r.Prefix + " ")
		s.depth = max(s.depth, strings.Count(r.Path, "/"))
	}
	for all := text.String(); strings.Contains(all, s.fresh); {
		s.fresh += "x"
	}
	s.table = match.NewTable(entries)
	return s
}

// winner looks up sample calls of a route and reports whether the route gets one of
// them. If it gets none, winner is the route that gets the last one.
func (s sampler) winner(name ident.Route, r RouteSpec) (winner ident.Route, reached bool) {
	for _, call := range s.calls(r) {
		if winner, _ = s.table.Find(call); winner == name {
			return winner, true
		}
	}
	return winner, false
}

// calls returns sample calls of a route. A pattern that ends with {name...} has one
// for each number of remaining segments up to one more than other patterns have.
func (s sampler) calls(r RouteSpec) []match.Call {
	call := match.Call{Host: cmp.Or(r.Host, s.fresh), Method: cmp.Or(r.Method, s.fresh)}
	if r.Prefix != "" {
		call.Path, call.RawPath = r.Prefix, r.Prefix
		return []match.Call{call}
	}
	path, rest := strings.CutSuffix(match.Canonical(r.Path), "/{...}")
	path = strings.ReplaceAll(path, "{}", s.fresh)
	call.Path, call.RawPath = cmp.Or(path, "/"), cmp.Or(path, "/")
	calls := []match.Call{call}
	for n := 0; rest && n <= s.depth; n++ {
		path += "/" + s.fresh
		call.Path, call.RawPath = path, path
		calls = append(calls, call)
	}
	return calls
}
