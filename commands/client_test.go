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

type reply struct {
	Name string `json:"name"`
}

// clientOf returns the options of a command that asks handlers, in this order.
func clientOf(t *testing.T, handlers ...http.HandlerFunc) (o clientOptions) {
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

func says(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// A server that is silent must not make its successor wait until it is given up.
func TestSilentServerIsNotWaitedFor(t *testing.T) {
	var waiting atomic.Bool
	silent := func(_ http.ResponseWriter, r *http.Request) {
		waiting.Store(true)
		_, _ = io.Copy(io.Discard, r.Body) // else the end of the connection is not noticed
		<-r.Context().Done()
		waiting.Store(false)
	}
	besides := func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, waiting.Load(), "the first server was given up before the second was asked")
		says(http.StatusOK, `{"name":"second"}`)(w, nil)
	}
	got, err := get[reply](clientOf(t, silent, besides), "/v1/status")
	assert.NilError(t, err)
	assert.Equal(t, got.Name, "second")
}

func TestServersAreAskedInTurn(t *testing.T) {
	notReady := says(http.StatusServiceUnavailable, `{"reason":"not_ready","detail":"no leader"}`)
	broken := says(http.StatusBadGateway, "")
	refused := says(http.StatusConflict, `{"reason":"stale_base","detail":"someone was faster"}`)
	never := func(http.ResponseWriter, *http.Request) { t.Error("asked after a final answer") }
	t.Run("until one is ready", func(t *testing.T) {
		got, err := get[reply](clientOf(t, notReady, broken, says(http.StatusOK, `{"name":"third"}`), never), "/v1/status")
		assert.NilError(t, err)
		assert.Equal(t, got.Name, "third")
	})
	t.Run("a refusal is final", func(t *testing.T) {
		_, err := change[reply](clientOf(t, notReady, refused, never), "id", "/v1/confirm", nil)
		var p problemError
		assert.Assert(t, errors.As(err, &p))
		assert.Equal(t, p.Reason, "stale_base")
	})
	t.Run("none answers", func(t *testing.T) {
		_, err := change[reply](clientOf(t, broken, broken), "id", "/v1/confirm", nil)
		var lost lostError
		assert.Assert(t, errors.As(err, &lost), "%v", err)
	})
}
