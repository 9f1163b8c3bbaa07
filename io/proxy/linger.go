package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout limits how long the rest of an unused body is read. It must
	// be short enough for a graceful shutdown to wait for it.
	lingerTimeout = 2 * time.Second
	// lingerLimitBytes limits how much of the rest is read. It is more than the
	// socket buffers of both sides hold, so that a caller that sends the whole
	// body before it reads the response can finish sending.
	lingerLimitBytes = 16 << 20
)

// lingeringBody is a request body that records whether it has been read to its
// end. If the response is sent before that, net/http closes the connection, and
// a caller that is still sending gets a TCP reset instead of the response
// (RFC 9112, section 9.6).
type lingeringBody struct {
	io.ReadCloser
	readToEnd atomic.Bool
}

// trackBody wraps the body of a request. It returns nil if there is none to be read: a
// caller that waits for 100 Continue does not send the body after a final response.
func trackBody(r *http.Request) *lingeringBody {
	if r.Body == nil || r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return nil
	}
	l := &lingeringBody{ReadCloser: r.Body}
	r.Body = l
	return l
}

// Read records the end of the body.
func (l *lingeringBody) Read(p []byte) (n int, err error) {
	n, err = l.ReadCloser.Read(p)
	if err != nil {
		l.readToEnd.Store(true)
	}
	return n, err
}

// flushAndDiscard flushes the response and discards the rest of the body, up to
// the limits. Errors are ignored, since the response has been sent.
func (l *lingeringBody) flushAndDiscard(w http.ResponseWriter) {
	if l == nil || l.readToEnd.Load() {
		return
	}
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, l, lingerLimitBytes)
}
