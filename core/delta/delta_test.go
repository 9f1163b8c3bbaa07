package delta

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func document(routes int) string {
	items := make([]string, 0, routes)
	for i := range routes {
		items = append(items, fmt.Sprintf(`{"name":"r%d","match":{"prefix":"/p%d/"},"action":{"service":"s"}}`, i, i))
	}
	return `{"routes":[` + strings.Join(items, ",") + `]}`
}

// The delta for a change of one route among 500 must be about as large as the
// change, not as the document.
func TestChangeOfOneRouteAmongMany(t *testing.T) {
	base := document(500)
	target := strings.Replace(base, `"/p250/"`, `"/moved/"`, 1)
	d := Between(base, target)
	got, err := Apply(base, d)
	assert.NilError(t, err)
	assert.Equal(t, got, target)
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 300, "%d bytes", len(data))
}

func TestApplyReturnsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("ab{},é")), 0, 60, -1)
		base, target := text.Draw(t, "have"), text.Draw(t, "want")
		got, err := Apply(base, Between(base, target))
		assert.NilError(t, err)
		assert.Equal(t, got, target)
	})
}

func TestApplyToWrongBase(t *testing.T) {
	_, err := Apply("short", Delta{{From: 2, To: 99}})
	assert.ErrorIs(t, err, ErrBase)
}
