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

// payload is a request body that can be sent again while it is small.
type payload struct {
	head   []byte
	rest   io.Reader
	whole  bool
	length int64
	used   bool
	over   atomic.Bool
}

// readPayload reads up to keep bytes of a body in advance. A body above the
// limit is refused, at once when its length is declared.
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

// sendable reports whether the body can be sent (again).
func (p *payload) sendable() bool {
	return p.whole || !p.used
}

// attach gives the body to a request in a form that net/http never sends a
// second time by itself.
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

// setNoBody makes a request without a body that net/http never sends again by
// itself. It does so with GET, HEAD and OPTIONS on a reused connection when
// their body is absent, which it tells by identity; an empty one is not sent
// either. TRACE would go out chunked with that, so it gets a connection of its
// own.
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
