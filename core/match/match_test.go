package match

import (
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

func TestFindByPattern(t *testing.T) {
	table := NewTable([]Entry{
		{Method: "GET", Pattern: "/", Route: "root"},
		{Method: "GET", Pattern: "/shop/{item}", Route: "item"},
		{Method: "GET", Pattern: "/shop/new", Route: "new"},
		{Method: "GET", Pattern: "/shop/{item}/parts", Route: "parts"},
		{Method: "GET", Pattern: "/files/{path...}", Route: "files"},
		{Method: "POST", Pattern: "/shop/{item}", Route: "order"},
	})
	for call, want := range map[[2]string]ident.Route{
		{"GET", "/"}:               "root",
		{"GET", "/shop/7"}:         "item",
		{"GET", "/shop/new"}:       "new",
		{"GET", "/shop/new/parts"}: "parts",
		{"GET", "/shop/7/parts"}:   "parts",
		{"GET", "/files/a/b/c"}:    "files",
		{"POST", "/shop/7"}:        "order",
		{"PUT", "/shop/7"}:         "",
		{"GET", "/shop/7/other"}:   "",
		{"GET", "/nowhere"}:        "",
	} {
		t.Run(call[0]+" "+call[1], func(t *testing.T) {
			got, _ := table.Find(Call{Method: call[0], Path: call[1], RawPath: call[1]})
			assert.Equal(t, got, want)
		})
	}
}

func TestFindByHostAndPrefix(t *testing.T) {
	table := NewTable([]Entry{
		{Host: "Shop.example", Prefix: "/a/", Route: "short"},
		{Host: "shop.example", Prefix: "/a/b/", Route: "long"},
		{Host: "other.example", Prefix: "/a/", Route: "other"},
		{Host: "shop.example", Method: "POST", Prefix: "/a/b/", Route: "post"},
		{Prefix: "/any/", Route: "any"},
		{Method: "GET", Pattern: "/a/{rest...}", Route: "pattern"},
	})
	for call, want := range map[[3]string]ident.Route{
		{"shop.example", "GET", "/a/x"}:        "short",
		{"SHOP.example:8080", "GET", "/a/x"}:   "short",
		{"shop.example", "GET", "/a/"}:         "short",
		{"shop.example", "GET", "/a/b"}:        "short",
		{"shop.example", "GET", "/a/b/"}:       "long",
		{"shop.example", "GET", "/a/b/c/d"}:    "long",
		{"shop.example", "POST", "/a/b/c"}:     "post",
		{"shop.example", "GET", "/a/b%2Fc/d"}:  "short",
		{"other.example", "DELETE", "/a/b/c"}:  "other",
		{"third.example", "GET", "/a/b"}:       "pattern",
		{"third.example", "PUT", "/any/thing"}: "any",
		{"shop.example", "PUT", "/a"}:          "",
		{"shop.example", "PUT", "/ab/c"}:       "",
		{"shop.example.evil", "PUT", "/a/x"}:   "",
	} {
		t.Run(call[0]+" "+call[1]+" "+call[2], func(t *testing.T) {
			got, _ := table.Find(Call{Host: call[0], Method: call[1], Path: call[2], RawPath: call[2]})
			assert.Equal(t, got, want)
		})
	}
}

func TestCheckPattern(t *testing.T) {
	for _, good := range []string{"/", "/a", "/a/{b}", "/a/{b...}"} {
		assert.NilError(t, CheckPattern(good), good)
	}
	for _, bad := range []string{"", "a", "/a//b", "/{a...}/b", "/a{b}", "/{}", "/{a.b}"} {
		assert.ErrorIs(t, CheckPattern(bad), ErrPattern, bad)
	}
}

func BenchmarkFind(b *testing.B) {
	table := NewTable([]Entry{{Method: "GET", Pattern: "/shop/{item}/parts/{part}", Route: "part"}})
	b.ReportAllocs()
	for b.Loop() {
		table.Find(Call{Method: "GET", Path: "/shop/17/parts/4"})
	}
}
