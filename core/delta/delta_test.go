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

// A change of one route among 500 costs its own size, not that of the whole.
func TestOneRouteAmongMany(t *testing.T) {
	have := document(500)
	want := strings.Replace(have, `"/p250/"`, `"/moved/"`, 1)
	d := Between(have, want)
	got, err := Apply(have, d)
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 300, "%d bytes", len(data))
}

func TestAnyTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("ab{},é")), 0, 60, -1)
		have, want := text.Draw(t, "have"), text.Draw(t, "want")
		got, err := Apply(have, Between(have, want))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

func TestWrongBase(t *testing.T) {
	_, err := Apply("short", Delta{{From: 2, To: 99}})
	assert.ErrorIs(t, err, ErrBase)
}
