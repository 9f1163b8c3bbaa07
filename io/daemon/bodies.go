package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxBodiesHeld is the size in bytes of the requests to an API that are in work at once,
	// each of which is decoded in memory. It holds one of the largest size.
	maxBodiesHeld = 16 << 20
	// bodyStep is the number of bytes by which a body of unknown length is read.
	bodyStep = 256 << 10
)

// limitBodies answers 503 to requests whose bodies, with those of the requests in work, would
// exceed maxBodiesHeld. A handler reads at most the largest size of a body, and a byte more.
func limitBodies(h http.Handler, largest int64) http.Handler {
	var held atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken := int64(0)
		defer func() { held.Add(-taken) }()
		take := func(n int64) bool {
			taken += n
			return held.Add(n) <= maxBodiesHeld
		}
		ok := true
		if r.ContentLength >= 0 {
			ok = take(min(r.ContentLength, largest))
		} else {
			ok = takeWhileReading(r, largest, take)
		}
		if !ok {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// takeWhileReading reads a body of unknown length into memory, and takes room for it before
// each step. The handler gets what was read, and a failure to read as an error of its own.
func takeWhileReading(r *http.Request, largest int64, take func(int64) bool) bool {
	var data bytes.Buffer
	for int64(data.Len()) <= largest {
		if !take(bodyStep) {
			return false
		}
		n, err := io.CopyN(&data, r.Body, bodyStep)
		if errors.Is(err, io.EOF) && n < bodyStep {
			r.Body = io.NopCloser(&data)
			return true
		}
		if err != nil {
			break
		}
	}
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&data, r.Body), r.Body}
	return true
}
