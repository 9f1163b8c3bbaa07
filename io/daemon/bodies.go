package daemon

import (
	"net/http"
	"sync/atomic"
)

// maxBodiesHeld is the size in bytes of the requests to an API that are in work at once, each
// of which is decoded in memory. It holds one of the largest size.
const maxBodiesHeld = 16 << 20

// limitBodies answers 503 to requests whose bodies, with those of the requests in work, would
// exceed maxBodiesHeld. A body of unknown length counts as the largest.
func limitBodies(h http.Handler, largest int64) http.Handler {
	var held atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 || size > largest {
			size = largest // no more of it is read
		}
		defer held.Add(-size)
		if held.Add(size) > maxBodiesHeld {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}
