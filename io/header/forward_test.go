package header

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func message() http.Header {
	return http.Header{
		"Accept": {"a", "b"}, "Authorization": {"Token k"}, "Chicorymast-Call": {"{}"}, "chicorymast-x": {"1"}, "Connection": {"close, x-one ,X-Two"},
		"Expect": {"100-continue"}, "Keep-Alive": {"5"}, "Proxy-Authorization": {"p"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"h2c"}, "X-One": {"1"}, "X-Three": {"3"}, "X-Two": {"2"},
	}
}

// A header of one connection, a caller's key or a header of the daemons must not be passed on.
func TestHeadersThatPass(t *testing.T) {
	assert.DeepEqual(t, FromCaller(message()), http.Header{"Accept": {"a", "b"}, "X-Three": {"3"}})
	assert.DeepEqual(t, FromPeer(message()), http.Header{"Accept": {"a", "b"}, "Expect": {"100-continue"}, "X-Three": {"3"}})
	response := http.Header{}
	CopyResponse(response, message())
	assert.DeepEqual(t, response, http.Header{
		"Accept": {"a", "b"}, "Authorization": {"Token k"}, "Expect": {"100-continue"}, "X-Three": {"3"},
	})
}

// A message that is passed on must not change with what is set on the copy: it may be sent
// again, and refusals are decided on it.
func TestForwardedHeadersLeaveTheMessageAsItIs(t *testing.T) {
	h := message()
	out := FromCaller(h)
	out.Set("Accept", "c")
	out.Del("X-Three")
	customDialect.SetUpstream(out, UpstreamHeaders{Workspace: "acme"})
	LowerRetryHeaders(out)
	assert.DeepEqual(t, h, message())
}
