package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"chicorymast/core/fault"
)

// payload is a request body of which the start is buffered. It can be resent if
// the buffer holds all of it.
type payload struct {
	head  []byte
	rest  io.Reader
	whole bool
	// length is the declared or, if whole, the actual length in bytes; -1 if
	// unknown.
	length int64
	// used is set when the body has been sent once.
	used bool
	// over is set when the body turned out to exceed the limit.
	over atomic.Bool
}

// readPayload buffers up to keep bytes of a body. A body above the limit is
// refused, without reading it if its length is declared.
func readPayload(r *http.Request, keep int, limit int64) (*payload, error) {
	if r.ContentLength > limit {
		return nil, fault.Refuse(fault.ReasonBodyTooLarge, "the body has %d bytes, the route takes %d", r.ContentLength, limit)
	}
	p := &payload{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		p.whole = true
		return p, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, int64(keep)+1))
	if err != nil {
		return nil, fault.Refuse(fault.ReasonBadRequest, "the body ended early: %v", err)
	}
	if int64(len(head)) > limit {
		return nil, fault.Refuse(fault.ReasonBodyTooLarge, "the body is above the %d bytes that the route takes", limit)
	}
	p.head = head
	p.whole = len(head) <= keep
	if p.whole {
		p.length = int64(len(head))
		return p, nil
	}
	p.rest = &limitedBody{from: r.Body, left: limit - int64(len(head)), over: &p.over}
	return p, nil
}

// sendable reports whether the body can be sent or resent.
func (p *payload) sendable() bool {
	return p.whole || !p.used
}

// attach sets the body of a request such that net/http does not retry the
// request on its own.
func (p *payload) attach(r *http.Request) {
	p.used = true
	r.GetBody = nil
	r.ContentLength = p.length
	if p.whole && len(p.head) == 0 {
		setNoBody(r)
		return
	}
	if p.whole {
		r.Body = onceBody{bytes.NewReader(p.head)}
		return
	}
	r.Body = onceBody{io.MultiReader(bytes.NewReader(p.head), p.rest)}
}

// setNoBody makes a request without a body that net/http does not retry on its
// own. On a reused connection it retries GET, HEAD and OPTIONS requests whose
// Body is nil or http.NoBody. Any other Body prevents that, and none is sent if
// the Body is empty. A TRACE request would be sent chunked with such a Body, so
// it uses http.NoBody on a connection that is not reused.
func setNoBody(r *http.Request) {
	r.Body, r.ContentLength = http.NoBody, 0
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		r.Body = onceBody{strings.NewReader("")}
	case http.MethodTrace:
		r.Close = true
	}
}

type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

var errBodyTooLarge = errors.New("body is above the limit")

type limitedBody struct {
	from io.Reader
	left int64
	over *atomic.Bool
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		b.over.Store(true)
		return 0, errBodyTooLarge
	}
	return n, err
}
