package crowd

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against bodies that are kept for a retry, of which each is within its limit and all
// together are not within the memory.
func TestBodiesHeldOpen(t *testing.T) {
	const replayLimit = 512 << 10
	v := startVictim(t, fmt.Sprintf("replay_limit = %d", replayLimit))
	address := v.daemon.Addresses["caller"]
	g := &crowd{}
	v.assertWithstands(func() {
		g.gather(address)
		g.send(fmt.Sprintf("POST /katalog/plain HTTP/1.1\r\nHost: crowd\r\nContent-Length: %d\r\n\r\n", replayLimit) +
			strings.Repeat("x", replayLimit-1))
		v.awaitTaken(address, listening)
	}, g.leave)
}

// Guards against responses that are kept for a retry while their callers read nothing.
func TestSlowReadersOfResponses(t *testing.T) {
	const replayLimit = 512 << 10
	v := startVictim(t, fmt.Sprintf("replay_limit = %d", replayLimit))
	v.upstream.partial = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", replayLimit) + strings.Repeat("x", replayLimit-1)
	g := &crowd{}
	v.assertWithstands(func() {
		g.gather(v.daemon.Addresses["caller"])
		g.send(crowdGet + headEnd)
		v.awaitTaken(v.daemon.Addresses["caller"], listening)
		v.awaitTaken(v.daemon.Addresses["peer"], listening)
	}, func() {
		g.leave()
		v.upstream.release()
	})
}
