package daemon

import (
	"net"
	"testing"

	"chicorymast/core/heads"
	"chicorymast/io/limit"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// Guards against memory that stays accounted for until the process ends, since nothing
// releases what a connection is charged after its end.
func TestClosedConnectionIsChargedNothing(t *testing.T) {
	g := limit.New(limit.Options{
		Budget: func() heads.Bytes { return 1 << 20 }, Clock: timer.NewClock(), Report: func(uint64, heads.Bytes) {},
	})
	near, far := net.Pipe()
	defer far.Close()
	c := &aheadConn{Conn: near}
	c.hold = g.Accepted(c, nil).Hold()
	c.Unread([]byte("behind"))
	assert.NilError(t, c.Close())
	p := make([]byte, 2)
	n, err := c.Read(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), "be")
	held, _ := g.Held()
	assert.Equal(t, held, heads.Bytes(0))
}
