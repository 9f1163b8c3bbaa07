package header

import (
	"net/http"
	"strings"
)

// roomToAdd is the number of headers that are usually added to those of a message.
const roomToAdd = 4

// FromCaller returns the headers of a caller's request that are forwarded. They share the
// values with h, which must not be changed in place.
func FromCaller(h http.Header) http.Header {
	out := FromPeer(h)
	delete(out, "Expect")
	return out
}

// FromPeer returns the headers of a peer's request that are forwarded to the upstream. They
// share the values with h, which must not be changed in place.
func FromPeer(h http.Header) http.Header {
	out := make(http.Header, len(h)+roomToAdd)
	for name, values := range h {
		if !isHopByHop(name) && !isInternal(name) && name != authorization {
			out[name] = values
		}
	}
	stripNamed(out, h)
	return out
}

// CopyResponse adds the headers of a response that are forwarded to dst. They share the
// values with src.
func CopyResponse(dst, src http.Header) {
	for name, values := range src {
		if !isHopByHop(name) && !isInternal(name) {
			dst[name] = values
		}
	}
	stripNamed(dst, src)
}

// authorization holds a caller's key.
const authorization = "Authorization"

// isHopByHop reports whether a header is one of the hop-by-hop headers (RFC 9110, section
// 7.6.1). Names are canonical, as net/http reads them.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// isInternal reports whether the name of a header begins with Prefix.
func isInternal(name string) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix)
}

// stripNamed removes the headers that the Connection header of a message names.
func stripNamed(h, message http.Header) {
	for _, value := range message["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
}

// retryHeaders are the headers for which net/http retries a request without a body on its
// own, whatever its method, with the names under which net/http does not know them.
var retryHeaders = map[string]string{
	IdempotencyKey:      strings.ToLower(IdempotencyKey),
	"X-Idempotency-Key": "x-idempotency-key",
}

// LowerRetryHeaders moves these headers to their lower-case names.
func LowerRetryHeaders(h http.Header) {
	for name, lower := range retryHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[lower] = values
		}
	}
}
