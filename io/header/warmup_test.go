package header

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cold upstream that counts as warm by a response that does not say so.
func TestWarmupLeftOfAHealthCheck(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		values []string
		left   time.Duration
		ok     bool
	}{
		"cold":               {200, []string{"1500"}, 1500 * time.Millisecond, true},
		"warm":               {200, []string{"0"}, 0, true},
		"unhealthy and cold": {503, []string{"20"}, 20 * time.Millisecond, true},
		"several":            {200, []string{"0", "7"}, 7 * time.Millisecond, true},
		"white space":        {200, []string{" 7 "}, 7 * time.Millisecond, true},
		"absent":             {200, nil, 0, false},
		"empty":              {200, []string{""}, 0, false},
		"below zero":         {200, []string{"-1"}, 0, false},
		"a fraction":         {200, []string{"0.5"}, 0, false},
		"beyond any time":    {200, []string{"99999999999999"}, 0, false},
		"one unreadable":     {200, []string{"0", "soon"}, 0, false},
		"another server":     {421, []string{"0"}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			resp := &http.Response{StatusCode: c.status, Header: http.Header{UpstreamWarmup: c.values}}
			left, ok := DefaultDialect().WarmupLeft(resp)
			assert.Equal(t, ok, c.ok)
			assert.Assert(t, !ok || left == c.left)
		})
	}
	for name, c := range map[string]struct {
		status int
		values []string
		ok     bool
	}{
		"healthy, without the header":   {200, nil, true},
		"unhealthy, without the header": {503, nil, false},
		"another server":                {421, nil, false},
		"an unreadable header":          {200, []string{"soon"}, false},
	} {
		t.Run("a dialect in which only cold upstreams set it: "+name, func(t *testing.T) {
			resp := &http.Response{StatusCode: c.status, Header: http.Header{UpstreamWarmup: c.values}}
			left, ok := Dialect{Warmup: UpstreamWarmup, WarmWithoutHeader: true}.WarmupLeft(resp)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, left, time.Duration(0))
		})
	}
	t.Run("a dialect without the header", func(t *testing.T) {
		_, ok := Dialect{}.WarmupLeft(&http.Response{StatusCode: 200, Header: http.Header{UpstreamWarmup: {"0"}}})
		assert.Assert(t, !ok)
	})
}
