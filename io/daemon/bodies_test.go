package daemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against several large documents that are decoded in memory at once.
func TestLimitBodies(t *testing.T) {
	const largest = maxBodiesHeld - 1000
	proceed, inWork := make(chan struct{}), make(chan struct{})
	h := limitBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		inWork <- struct{}{}
		<-proceed
		w.WriteHeader(http.StatusOK)
	}), largest)
	status := make(chan int)
	put := func(size int) {
		r := httptest.NewRequest(http.MethodPut, "/", bytes.NewReader(make([]byte, size)))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		status <- w.Code
	}
	go put(2 * largest)
	<-inWork
	go put(1001)
	assert.Equal(t, <-status, http.StatusServiceUnavailable)
	go put(100)
	<-inWork
	close(proceed)
	assert.Equal(t, <-status, http.StatusOK)
	assert.Equal(t, <-status, http.StatusOK)
	go put(1001)
	<-inWork
	assert.Equal(t, <-status, http.StatusOK)
}
