// Package match finds the route of a call from its method and path.
//
// # Usage
//
//	table := match.NewTable(entries)
//	route, ok := table.Find(match.Call{Host: "shop.example", Method: "GET", Path: "/katalog/17"})
//
// A pattern is a path whose segments are literals, `{name}` for any one
// segment, or, at the end only, `{name...}` for any rest. Literals win over
// `{name}`, which wins over `{name...}`. An entry may instead have a prefix,
// and a host: the longest prefix of the host's that begins the path wins, and
// goes before all patterns. Lookup takes time in the number of
// segments and allocates nothing. A Table is immutable.
package match

import (
	"errors"
	"fmt"
	"strings"

	"chicorymast/core/ident"
)

// ErrPattern is wrapped by every error about a malformed pattern.
var ErrPattern = errors.New("bad path pattern")

// Entry is one route to be found.
type Entry struct {
	// Host and Method may be empty when Prefix is set: any host, any method.
	Host    string
	Method  string
	Pattern string
	Prefix  string
	Route   ident.Route
}

// Table maps calls to routes.
type Table struct {
	roots    map[string]*node
	prefixes map[place]ident.Route
}

// place is where a prefix stands; the host is in lower case.
type place struct{ host, method, prefix string }

type node struct {
	literal map[string]*node
	any     *node
	rest    ident.Route
	here    ident.Route
}

// NewTable builds a table; patterns must have passed CheckPattern.
func NewTable(entries []Entry) *Table {
	t := &Table{roots: map[string]*node{}, prefixes: map[place]ident.Route{}}
	for _, e := range entries {
		if e.Prefix != "" {
			t.prefixes[place{strings.ToLower(e.Host), e.Method, e.Prefix}] = e.Route
			continue
		}
		root := t.roots[e.Method]
		if root == nil {
			root = &node{}
			t.roots[e.Method] = root
		}
		root.insert(segments(e.Pattern), e.Route)
	}
	return t
}

func (n *node) insert(segs []string, r ident.Route) {
	if len(segs) == 0 {
		n.here = r
		return
	}
	switch seg := segs[0]; {
	case isRest(seg):
		n.rest = r
	case isAny(seg):
		if n.any == nil {
			n.any = &node{}
		}
		n.any.insert(segs[1:], r)
	default:
		if n.literal == nil {
			n.literal = map[string]*node{}
		}
		if n.literal[seg] == nil {
			n.literal[seg] = &node{}
		}
		n.literal[seg].insert(segs[1:], r)
	}
}

// Call is what of a call decides on its route. The host may have a port.
type Call struct {
	Host   string
	Method string
	// Path is decoded, RawPath as it was sent: prefixes compare the latter.
	Path    string
	RawPath string
}

// Find returns the route of a call.
func (t *Table) Find(c Call) (ident.Route, bool) {
	if r, ok := t.findPrefix(c.Host, c.Method, c.RawPath); ok {
		return r, true
	}
	root := t.roots[c.Method]
	if root == nil {
		return "", false
	}
	r := root.find(strings.TrimPrefix(c.Path, "/"))
	return r, r != ""
}

func (t *Table) findPrefix(host, method, path string) (ident.Route, bool) {
	if len(t.prefixes) == 0 {
		return "", false
	}
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		prefix := path[:end+1]
		for _, at := range [...]place{{host, method, prefix}, {host, "", prefix}, {"", method, prefix}, {"", "", prefix}} {
			if r, ok := t.prefixes[at]; ok {
				return r, true
			}
		}
	}
	return "", false
}

func (n *node) find(path string) ident.Route {
	if path == "" {
		return firstOf(n.here, n.rest)
	}
	seg, rest, _ := strings.Cut(path, "/")
	if child := n.literal[seg]; child != nil {
		if r := child.find(rest); r != "" {
			return r
		}
	}
	if n.any != nil {
		if r := n.any.find(rest); r != "" {
			return r
		}
	}
	return n.rest
}

func firstOf(a, b ident.Route) ident.Route {
	if a != "" {
		return a
	}
	return b
}

// CheckPattern returns an error that wraps ErrPattern unless p is well formed.
func CheckPattern(p string) error {
	if !strings.HasPrefix(p, "/") {
		return fmt.Errorf("%w: %q does not begin with /", ErrPattern, p)
	}
	segs := segments(p)
	for i, seg := range segs {
		if seg == "" {
			return fmt.Errorf("%w: %q has an empty segment", ErrPattern, p)
		}
		if isRest(seg) && i != len(segs)-1 {
			return fmt.Errorf("%w: %q has %s before its end", ErrPattern, p, seg)
		}
		if strings.ContainsAny(seg, "{}") && !isAny(seg) && !isRest(seg) {
			return fmt.Errorf("%w: %q mixes text and braces in %q", ErrPattern, p, seg)
		}
	}
	return nil
}

// Canonical returns the pattern with its names removed; two patterns of one shape
// match the same paths.
func Canonical(p string) string {
	segs := segments(p)
	for i, seg := range segs {
		switch {
		case isRest(seg):
			segs[i] = "{...}"
		case isAny(seg):
			segs[i] = "{}"
		}
	}
	return "/" + strings.Join(segs, "/")
}

func segments(p string) []string {
	p = strings.Trim(p, "/")
	if p == "" {
		return nil
	}
	return strings.Split(p, "/")
}

func isAny(seg string) bool {
	return len(seg) > 2 && seg[0] == '{' && seg[len(seg)-1] == '}' && !strings.ContainsAny(seg[1:len(seg)-1], "{}.")
}

func isRest(seg string) bool {
	return len(seg) > 5 && seg[0] == '{' && strings.HasSuffix(seg, "...}") && !strings.ContainsAny(seg[1:len(seg)-4], "{}.")
}
