package daemon

import (
	"bytes"
	"io"
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

// Guards against bodies of unknown length that count as nothing, or as the largest.
func TestLimitBodiesOfUnknownLength(t *testing.T) {
	const largest = maxBodiesHeld / 2
	proceed, inWork := make(chan struct{}), make(chan int)
	h := limitBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largest))
		inWork <- len(data)
		<-proceed
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}), largest)
	status := make(chan int)
	put := func(size int) {
		r := httptest.NewRequest(http.MethodPut, "/", struct{ io.Reader }{bytes.NewReader(make([]byte, size))})
		r.ContentLength = -1
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		status <- w.Code
	}
	for range 4 {
		go put(1000)
		assert.Equal(t, <-inWork, 1000)
	}
	go put(maxBodiesHeld * 6 / 10)
	assert.Equal(t, <-inWork, largest, "a larger body is not read")
	go put(maxBodiesHeld / 2)
	assert.Equal(t, <-status, http.StatusServiceUnavailable)
	close(proceed)
	codes := map[int]int{}
	for range 5 {
		codes[<-status]++
	}
	assert.DeepEqual(t, codes, map[int]int{http.StatusOK: 4, http.StatusBadRequest: 1})
}
