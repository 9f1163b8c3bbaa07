package cmds

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

type resource struct {
	Name string `json:"name"`
}

// optionsFor returns client options with one server for each handler, in order.
func optionsFor(t *testing.T, handlers ...http.HandlerFunc) (o clientOptions) {
	t.Helper()
	o.TokenFile = filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(o.TokenFile, []byte("secret\n"), 0o600))
	for _, h := range handlers {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		o.Servers = append(o.Servers, strings.TrimPrefix(srv.URL, "http://"))
	}
	return o
}

// respond returns a handler that always sends this response.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// A server that does not respond must not delay the request to the next one until
// its own request times out.
func TestUnresponsiveServerIsHedged(t *testing.T) {
	var firstPending atomic.Bool
	unresponsive := func(_ http.ResponseWriter, r *http.Request) {
		firstPending.Store(true)
		_, _ = io.Copy(io.Discard, r.Body) // an unread body keeps the server from noticing a closed connection
		<-r.Context().Done()
		firstPending.Store(false)
	}
	second := func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, firstPending.Load(), "the request to the first server was cancelled before the second one was tried")
		respond(http.StatusOK, `{"name":"second"}`)(w, nil)
	}
	got, err := get[resource](optionsFor(t, unresponsive, second), "/v1/status")
	assert.NilError(t, err)
	assert.Equal(t, got.Name, "second")
}

func TestServersAreTriedInOrder(t *testing.T) {
	notReady := respond(http.StatusServiceUnavailable, `{"reason":"not_ready","detail":"no leader"}`)
	badGateway := respond(http.StatusBadGateway, "")
	conflict := respond(http.StatusConflict, `{"reason":"stale_base","detail":"another plan was confirmed first"}`)
	neverCalled := func(http.ResponseWriter, *http.Request) { t.Error("request after a final response") }
	t.Run("until one is ready", func(t *testing.T) {
		got, err := get[resource](optionsFor(t, notReady, badGateway, respond(http.StatusOK, `{"name":"third"}`), neverCalled), "/v1/status")
		assert.NilError(t, err)
		assert.Equal(t, got.Name, "third")
	})
	t.Run("a refusal is final", func(t *testing.T) {
		_, err := change[resource](optionsFor(t, notReady, conflict, neverCalled), "id", "/v1/confirm", nil)
		var p problemError
		assert.Assert(t, errors.As(err, &p))
		assert.Equal(t, p.Reason, "stale_base")
	})
	t.Run("no server is available", func(t *testing.T) {
		_, err := change[resource](optionsFor(t, badGateway, badGateway), "id", "/v1/confirm", nil)
		var unknown unknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
	})
}
