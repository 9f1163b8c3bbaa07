// Package match finds the route of a call from its host, method and path.
//
// # Usage
//
//	table := match.NewTable(entries)
//	route, ok := table.Find(match.Call{Host: "shop.example", Method: "GET", Path: "/katalog/17"})
//
// A pattern is a path whose segments are literals, `{name}`, which matches any
// one segment, or, at the end only, `{name...}`, which matches any remaining
// segments. Literals take precedence over `{name}`, which takes precedence over
// `{name...}`. Instead of a pattern, an entry may have a prefix, with or without a
// host: of the entries for the call's host or for any host, the one with the
// longest prefix of the path applies, before all patterns. A lookup takes time
// proportional to the number of segments and allocates nothing. A Table is
// immutable.
package match

import (
	"errors"
	"fmt"
	"strings"

	"chicorymast/core/ident"
)

// ErrPattern is wrapped by all errors about malformed patterns.
var ErrPattern = errors.New("bad path pattern")

// Entry defines which calls belong to a route.
type Entry struct {
	// Host and Method may be empty if Prefix is set: any host, any method.
	Host    string
	Method  string
	Pattern string
	Prefix  string
	Route   ident.Route
}

// Table maps calls to routes.
type Table struct {
	// trees holds the pattern tree of each method.
	trees    map[string]*node
	prefixes map[prefixKey]ident.Route
}

// prefixKey is the key of a prefix entry; the host is in lower case.
type prefixKey struct{ host, method, prefix string }

// node is a node of a pattern tree, one level per path segment.
type node struct {
	literals map[string]*node
	wildcard *node
	// restRoute is the route of a pattern that ends here with `{name...}`, route
	// that of a pattern that ends here without it.
	restRoute ident.Route
	route     ident.Route
}

// NewTable builds a table. All patterns must be valid according to CheckPattern.
func NewTable(entries []Entry) *Table {
	t := &Table{trees: map[string]*node{}, prefixes: map[prefixKey]ident.Route{}}
	for _, e := range entries {
		if e.Prefix != "" {
			t.prefixes[prefixKey{strings.ToLower(e.Host), e.Method, e.Prefix}] = e.Route
			continue
		}
		root := t.trees[e.Method]
		if root == nil {
			root = &node{}
			t.trees[e.Method] = root
		}
		root.insert(segments(e.Pattern), e.Route)
	}
	return t
}

func (n *node) insert(segs []string, r ident.Route) {
	if len(segs) == 0 {
		n.route = r
		return
	}
	switch seg := segs[0]; {
	case isRest(seg):
		n.restRoute = r
	case isWildcard(seg):
		if n.wildcard == nil {
			n.wildcard = &node{}
		}
		n.wildcard.insert(segs[1:], r)
	default:
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		if n.literals[seg] == nil {
			n.literals[seg] = &node{}
		}
		n.literals[seg].insert(segs[1:], r)
	}
}

// Call holds the parts of a call that determine its route. The host may include
// a port.
type Call struct {
	Host   string
	Method string
	// Path is the decoded path, which patterns match; RawPath is the path as
	// sent, which prefixes match.
	Path    string
	RawPath string
}

// Find returns the route of a call.
func (t *Table) Find(c Call) (ident.Route, bool) {
	if r, ok := t.findPrefix(c.Host, c.Method, c.RawPath); ok {
		return r, true
	}
	root := t.trees[c.Method]
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
		for _, key := range [...]prefixKey{{host, method, prefix}, {host, "", prefix}, {"", method, prefix}, {"", "", prefix}} {
			if r, ok := t.prefixes[key]; ok {
				return r, true
			}
		}
	}
	return "", false
}

func (n *node) find(path string) ident.Route {
	if path == "" {
		return firstNonEmpty(n.route, n.restRoute)
	}
	seg, rest, _ := strings.Cut(path, "/")
	if child := n.literals[seg]; child != nil {
		if r := child.find(rest); r != "" {
			return r
		}
	}
	if n.wildcard != nil {
		if r := n.wildcard.find(rest); r != "" {
			return r
		}
	}
	return n.restRoute
}

func firstNonEmpty(a, b ident.Route) ident.Route {
	if a != "" {
		return a
	}
	return b
}

// CheckPattern returns an error that wraps ErrPattern if p is malformed.
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
		if strings.ContainsAny(seg, "{}") && !isWildcard(seg) && !isRest(seg) {
			return fmt.Errorf("%w: %q mixes text and braces in %q", ErrPattern, p, seg)
		}
	}
	return nil
}

// Canonical returns the pattern without the names of its wildcards. Patterns
// with the same canonical form match the same paths.
func Canonical(p string) string {
	segs := segments(p)
	for i, seg := range segs {
		switch {
		case isRest(seg):
			segs[i] = "{...}"
		case isWildcard(seg):
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

func isWildcard(seg string) bool {
	return len(seg) > 2 && seg[0] == '{' && seg[len(seg)-1] == '}' && !strings.ContainsAny(seg[1:len(seg)-1], "{}.")
}

func isRest(seg string) bool {
	return len(seg) > 5 && seg[0] == '{' && strings.HasSuffix(seg, "...}") && !strings.ContainsAny(seg[1:len(seg)-4], "{}.")
}
