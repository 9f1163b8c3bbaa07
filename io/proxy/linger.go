package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lingerTime limits how long the rest of an unused body is read. It must be
	// short enough for a graceful shutdown to wait for it.
	lingerTime = 2 * time.Second
	// lingerBytes limits how much of the rest is read. It is more than the
	// socket buffers of both sides hold, so that a caller that sends the whole
	// body before it reads the response can finish sending.
	lingerBytes = 16 << 20
)

// lingering is a request body that records whether it has been read to its end.
// If the response is sent before that, net/http closes the connection, and a
// caller that is still sending gets a TCP reset instead of the response
// (RFC 9112, section 9.6).
type lingering struct {
	io.ReadCloser
	ended atomic.Bool
}

// watchBody wraps the body of a request.
func watchBody(r *http.Request) *lingering {
	l := &lingering{ReadCloser: r.Body}
	none := r.Body == nil || r.Body == http.NoBody
	// A caller that waits for 100 Continue does not send the body after a final response.
	if none || r.Header.Get("Expect") != "" {
		l.ended.Store(true)
		return l
	}
	r.Body = l
	return l
}

// Read records the end of the body.
func (l *lingering) Read(p []byte) (n int, err error) {
	n, err = l.ReadCloser.Read(p)
	if err != nil {
		l.ended.Store(true)
	}
	return n, err
}

// finish flushes the response and discards the rest of the body, up to the
// limits. Errors are ignored, since the response has been sent.
func (l *lingering) finish(w http.ResponseWriter) {
	if l.ended.Load() {
		return
	}
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, l, lingerBytes)
}
