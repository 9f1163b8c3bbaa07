package match

import (
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

func TestFind(t *testing.T) {
	table := NewTable([]Entry{
		{"GET", "/", "root"},
		{"GET", "/shop/{item}", "item"},
		{"GET", "/shop/new", "new"},
		{"GET", "/shop/{item}/parts", "parts"},
		{"GET", "/files/{path...}", "files"},
		{"POST", "/shop/{item}", "order"},
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
			got, _ := table.Find(call[0], call[1])
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
	table := NewTable([]Entry{{"GET", "/shop/{item}/parts/{part}", "part"}})
	b.ReportAllocs()
	for b.Loop() {
		table.Find("GET", "/shop/17/parts/4")
	}
}
