package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lingerTime bounds how long the rest of a body is read that nobody needs;
	// a planned stop has to be able to wait for it.
	lingerTime = 2 * time.Second
	// lingerBytes bounds what is read of it: more than the buffers of both
	// sides hold, so that a caller who sends first and reads then gets through.
	lingerBytes = 16 << 20
)

// lingering is a request's body that knows whether it has been read to its end.
// When a request is answered before that, net/http closes the connection, and
// a caller who is still sending then loses the answer to a reset (RFC 9112,
// section 9.6).
type lingering struct {
	io.ReadCloser
	ended atomic.Bool
}

// watchBody puts itself in place of the request's body.
func watchBody(r *http.Request) *lingering {
	l := &lingering{ReadCloser: r.Body}
	none := r.Body == nil || r.Body == http.NoBody
	// A caller that waits for leave to send the body does not send it any more.
	if none || r.Header.Get("Expect") != "" {
		l.ended.Store(true)
		return l
	}
	r.Body = l
	return l
}

// Read notes the end.
func (l *lingering) Read(p []byte) (n int, err error) {
	n, err = l.ReadCloser.Read(p)
	if err != nil {
		l.ended.Store(true)
	}
	return n, err
}

// finish sends the answer on its way and reads what is left of the body, within
// bounds. It fails silently: the answer has been given.
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
