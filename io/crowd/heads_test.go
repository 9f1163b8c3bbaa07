package crowd

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fill returns a head of the given size that begins with a text and goes on with lines, and
// lacks its end.
func fill(begin string, size int, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(begin)
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next) > size {
			return b.String()
		}
		b.WriteString(next)
	}
}

// shortLine returns a header line with a name of its own and no value.
func shortLine(i int) string { return name(i) + ":\r\n" }

// name returns a short name of a header that differs for each i.
func name(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	text := string(letters[i%len(letters)])
	for i /= len(letters); i > 0; i /= 10 {
		text += string(rune('0' + i%10))
	}
	return text
}

func sameName(int) string { return "a:\r\n" }

// oddLine returns a line whose name is legal, needs another spelling and differs for each i.
func oddLine(i int) string { return "~" + strings.ToUpper(name(i)) + ":\r\n" }

const (
	plainGet = "GET /katalog/plain HTTP/1.1\r\nHost: crowd\r\n"
	crowdGet = "GET /katalog/crowd HTTP/1.1\r\nHost: crowd\r\n"
	headEnd  = "\r\n"
)

// Guards against a process that runs out of memory because many callers each hold open a
// legal head of very many lines, on any of its listeners.
func TestHeadsHeldOpen(t *testing.T) {
	for _, c := range []struct {
		listener string
		line     func(int) string
	}{
		{"caller", shortLine},
		{"caller", sameName},
		{"caller", oddLine},
		{"peer", shortLine},
		{"local", shortLine},
		{"admin", shortLine},
		{"ready", shortLine},
	} {
		t.Run(fmt.Sprintf("%s, %q", c.listener, c.line(0)), func(t *testing.T) {
			v := startVictim(t)
			address := v.daemon.Addresses[c.listener]
			if c.listener == "ready" {
				address = v.ready
			}
			g := &crowd{}
			v.assertWithstands(func() {
				g.gather(address)
				g.send(fill(plainGet, headBytes, c.line))
				v.awaitTaken(address, listening)
			}, g.leave)
		})
	}
}

// Guards against heads that are counted for the first request of a connection only.
func TestHeadsOnKeptConnections(t *testing.T) {
	const rounds = 3
	v := startVictim(t)
	address := v.daemon.Addresses["caller"]
	g := &crowd{}
	v.assertWithstands(func() {
		g.gather(address)
		for range rounds {
			g.send(fill(plainGet, headBytes/16, shortLine) + headEnd)
			g.receive(1)
		}
		g.send(fill(plainGet, headBytes, shortLine))
		v.awaitTaken(address, listening)
	}, g.leave)
}

// Guards against heads that are not counted because they come behind a request, in the bytes
// that a server reads ahead.
func TestHeadsBehindOtherRequests(t *testing.T) {
	const before = 3
	v := startVictim(t)
	address := v.daemon.Addresses["caller"]
	g := &crowd{}
	v.assertWithstands(func() {
		g.gather(address)
		g.send(strings.Repeat(plainGet+headEnd, before) + fill(plainGet, headBytes, shortLine))
		g.receive(before)
		v.awaitTaken(address, listening)
	}, g.leave)
}

// Guards against the copies of heads that are made while their requests run.
func TestHeadsOfRunningRequests(t *testing.T) {
	v := startVictim(t)
	address := v.daemon.Addresses["caller"]
	g := &crowd{}
	v.assertWithstands(func() {
		g.gather(address)
		g.send(fill(crowdGet, headBytes/2, shortLine) + headEnd)
		v.awaitTaken(address, listening)
		v.awaitTaken(v.daemon.Addresses["peer"], listening)
		v.awaitTaken(v.daemon.Stub.Address, dialling)
	}, func() {
		g.leave()
		v.upstream.release()
	})
}

// Guards against trailers and chunk extensions, which are read after the head.
func TestTrailersAndChunkExtensions(t *testing.T) {
	const post = "POST /katalog/crowd HTTP/1.1\r\nHost: crowd\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"trailers":         "2\r\nab\r\n" + fill("0\r\n", 4000, shortLine) + headEnd,
		"chunk extensions": strings.Repeat("1;"+strings.Repeat("a=b;", 900)+"\r\na\r\n", 8),
		"no trailers' end": "2\r\nab\r\n" + fill("0\r\n", headBytes, shortLine),
	} {
		t.Run(name, func(t *testing.T) {
			v := startVictim(t)
			address := v.daemon.Addresses["caller"]
			g := &crowd{}
			v.assertWithstands(func() {
				g.gather(address)
				g.send(post + body)
				v.awaitTaken(address, listening)
			}, func() {
				g.leave()
				v.upstream.release()
			})
		})
	}
}

// Guards against an upstream whose responses have heads of very many lines, interim ones
// included.
func TestHeadsOfResponses(t *testing.T) {
	for name, partial := range map[string]string{
		"final":   fill("HTTP/1.1 200 OK\r\n", headBytes, shortLine),
		"interim": fill("HTTP/1.1 103 Early Hints\r\n", headBytes/2, shortLine) + headEnd + fill("HTTP/1.1 103 Early Hints\r\n", headBytes/2, shortLine),
		"ended":   fill("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n", headBytes, shortLine) + headEnd + "begun",
	} {
		t.Run(name, func(t *testing.T) {
			v := startVictim(t)
			v.upstream.partial = partial
			g := &crowd{}
			v.assertWithstands(func() {
				g.gather(v.daemon.Addresses["caller"])
				g.send(crowdGet + headEnd)
				v.awaitTaken(v.daemon.Addresses["caller"], listening)
				v.awaitTaken(v.daemon.Addresses["peer"], listening)
				v.awaitTaken(v.daemon.Stub.Address, dialling)
			}, func() {
				g.leave()
				v.upstream.release()
			})
		})
	}
}

// Guards against a refused response whose request is reported as one that has not run.
func TestRefusedResponsesMayHaveRun(t *testing.T) {
	v := startVictim(t)
	v.upstream.partial = fill("HTTP/1.1 200 OK\r\n", headBytes, shortLine)
	g := &crowd{}
	g.gather(v.daemon.Addresses["caller"])
	path := func(i int) string { return fmt.Sprintf("/katalog/crowd-%d", i) }
	for i, conn := range g.conns {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: crowd\r\nContent-Length: 0\r\n\r\n", path(i))
		assert.NilError(t, err)
	}
	v.awaitTaken(v.daemon.Stub.Address, dialling)
	v.upstream.release()
	ran := 0
	for i, conn := range g.conns {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(patience)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue // a closed connection promises nothing
		}
		assert.NilError(t, resp.Body.Close())
		v.upstream.mu.Lock()
		began := v.upstream.ran[path(i)]
		v.upstream.mu.Unlock()
		if !began {
			continue
		}
		ran++
		switch resp.StatusCode {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
			http.StatusRequestHeaderFieldsTooLarge:
			t.Errorf("%s has reached the upstream and was answered %s", path(i), resp.Status)
		}
	}
	assert.Assert(t, ran > 0, "no response of a request that ran was seen")
	g.leave()
	v.assertServes()
}
