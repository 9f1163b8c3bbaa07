package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"chicorymast/io/event"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// A panic that only net/http sees is lost, since the servers have no error log.
func TestPanicsOfHandlersAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		value   any
		counted float64
	}{
		"a fault":               {"invalid WriteHeader code 0", 1},
		"a response broken off": {http.ErrAbortHandler, 0},
	} {
		t.Run(name, func(t *testing.T) {
			counter, reg := newPanicCounter(), prometheus.NewRegistry()
			reg.MustRegister(counter)
			srv := httptest.NewServer(reportPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				panic(c.value)
			}), "caller", event.Discard(), counter.WithLabelValues("caller")))
			defer srv.Close()
			resp, err := http.Get(srv.URL)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Assert(t, err != nil, "the connection must end without a response")
			families, err := reg.Gather()
			assert.NilError(t, err)
			assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), c.counted)
		})
	}
}
