package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"chicorymast/io/event"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

func newPanicCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chicorymast_handler_panics_total", Help: "Requests whose handler panicked, by listener.",
	}, []string{"listener"})
}

// reportPanics logs and counts the panics of a handler. The servers have no error log of
// their own, so net/http would end them in silence.
func reportPanics(h http.Handler, listener string, log *event.Log, panics prometheus.Counter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panics.Inc()
				log.Emit(event.HandlerPanicked, zap.String("listener", listener), zap.String("panic", fmt.Sprint(v)),
					zap.ByteString("stack", debug.Stack()))
			}
			panic(http.ErrAbortHandler) // ends the connection, so that nothing looks complete
		}()
		h.ServeHTTP(w, r)
	})
}
