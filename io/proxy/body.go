package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"chicorymast/core/fault"
	"chicorymast/io/limit"
)

// payload is a request body of which the start is buffered. It can be resent if
// the buffer holds all of it.
type payload struct {
	buffered  []byte
	remainder io.Reader
	complete  bool
	// length is the declared length in bytes, or the actual one if complete; -1
	// if unknown.
	length int64
	// sent is set when the body has been sent once.
	sent bool
	// overLimit is set when the body turned out to exceed the limit.
	overLimit atomic.Bool
}

// readPayload buffers up to bufferLimit bytes of a body. A body above maxBytes is
// refused, without reading it if its length is declared.
func readPayload(r *http.Request, bufferLimit int, maxBytes int64) (*payload, error) {
	if r.ContentLength > maxBytes {
		return nil, fault.Refuse(fault.ReasonBodyTooLarge, "the body has %d bytes, the route takes %d", r.ContentLength, maxBytes)
	}
	p := &payload{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		p.complete = true
		return p, nil
	}
	prefix, err := io.ReadAll(limit.Reader(r.Context(), io.LimitReader(r.Body, int64(bufferLimit)+1)))
	if errors.Is(err, limit.ErrNoRoom) {
		return nil, fault.Refuse(fault.ReasonOverload, "requests take too much memory")
	}
	if err != nil {
		return nil, fault.Refuse(fault.ReasonBadRequest, "the body ended early: %v", err)
	}
	if int64(len(prefix)) > maxBytes {
		return nil, fault.Refuse(fault.ReasonBodyTooLarge, "the body is above the %d bytes that the route takes", maxBytes)
	}
	p.buffered = prefix
	p.complete = len(prefix) <= bufferLimit
	if p.complete {
		p.length = int64(len(prefix))
		return p, nil
	}
	p.remainder = &limitedBody{src: r.Body, remaining: maxBytes - int64(len(prefix)), overLimit: &p.overLimit}
	return p, nil
}

// sendable reports whether the body can be sent or resent.
func (p *payload) sendable() bool {
	return p.complete || !p.sent
}

// attach sets the body of a request such that net/http does not retry the
// request on its own.
func (p *payload) attach(r *http.Request) {
	p.sent = true
	r.GetBody = nil
	r.ContentLength = p.length
	if p.complete && len(p.buffered) == 0 {
		setNoBody(r)
		return
	}
	if p.complete {
		r.Body = memoryBody(p.buffered)
		return
	}
	r.Body = unretriableBody{io.MultiReader(bytes.NewReader(p.buffered), p.remainder)}
}

// setNoBody makes a request without a body that net/http does not retry on its
// own. On a reused connection it retries GET, HEAD and OPTIONS requests whose
// Body is nil or http.NoBody. Any other Body prevents that, and none is sent if
// the Body is empty. The transfer encoding identity, which is not sent, keeps
// net/http from reading the Body in a goroutine to learn whether it is empty. A TRACE
// request uses http.NoBody on a connection that is not reused.
func setNoBody(r *http.Request) {
	r.Body, r.ContentLength = http.NoBody, 0
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		r.Body, r.TransferEncoding = emptyBody{}, identity
	case http.MethodTrace:
		r.Close = true
	}
}

var identity = []string{"identity"}

// emptyBody is an empty body other than http.NoBody. net/http copies it without a buffer.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error)         { return 0, io.EOF }
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }
func (emptyBody) Close() error                     { return nil }

// memoryBody returns a body of which net/http knows that reading it never blocks, so that
// head and body are sent in one write. Without GetBody it is not sent again.
func memoryBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// maxJoinedBody is the largest body in bytes that is sent in one write with the head: that
// of a write buffer of net/http, less the room for a usual head.
const maxJoinedBody = 3 << 10

// isSmallBody reports whether a body is declared to be small, and the sender does not wait to
// be asked for it.
func isSmallBody(r *http.Request) bool {
	return r.ContentLength > 0 && r.ContentLength <= maxJoinedBody && r.Header.Get("Expect") == ""
}

// limitSmallBody limits how long readSmallBody waits for the body: no context ends its reads.
func limitSmallBody(w http.ResponseWriter, r *http.Request, left time.Duration) {
	if isSmallBody(r) {
		r.Body = readTimeoutBody{Reader: r.Body, control: http.NewResponseController(w), timeout: left}
	}
}

// readSmallBody reads the body of a request into memory if it is small.
func readSmallBody(r *http.Request) io.ReadCloser {
	if !isSmallBody(r) {
		return unretriableBody{r.Body}
	}
	data := make([]byte, r.ContentLength)
	n, err := io.ReadFull(r.Body, data)
	if err != nil {
		return unretriableBody{io.MultiReader(bytes.NewReader(data[:n]), failedReader{err})}
	}
	return memoryBody(data)
}

// failedReader returns the error with which reading a body has ended.
type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }

type unretriableBody struct{ io.Reader }

func (unretriableBody) Close() error { return nil }

var errBodyTooLarge = errors.New("body is above the limit")

type limitedBody struct {
	src       io.Reader
	remaining int64
	overLimit *atomic.Bool
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.overLimit.Store(true)
		return 0, errBodyTooLarge
	}
	return n, err
}
