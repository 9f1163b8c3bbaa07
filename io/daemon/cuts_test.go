package daemon

import (
	"context"
	"errors"
	"net"
	"sync"

	"chicorymast/core/ident"
	"chicorymast/io/trial"
	"chicorymast/io/wire"
)

// cuts stands between daemons and silences chosen connections: open ones
// swallow everything, new ones do not come about.
type cuts struct {
	owner map[string]ident.VM
	mu    sync.Mutex
	cut   map[[2]ident.VM]bool
}

var errCut = errors.New("cut off")

func newCuts(files *trial.Fleet) *cuts {
	c := &cuts{owner: map[string]ident.VM{}, cut: map[[2]ident.VM]bool{}}
	for _, d := range files.Daemons {
		for _, address := range d.Addresses {
			c.owner[address] = d.VM
		}
	}
	return c
}

func (c *cuts) is(from, to ident.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]ident.VM{from, to}]
}

// between cuts both ways between any VM of one side and any of the other.
func (c *cuts) between(one, other []ident.VM, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range one {
		for _, b := range other {
			c.cut[[2]ident.VM{a, b}] = on
			c.cut[[2]ident.VM{b, a}] = on
		}
	}
}

func (c *cuts) wrap(from ident.VM) func(wire.DialFunc) wire.DialFunc {
	return func(dial wire.DialFunc) wire.DialFunc {
		return func(ctx context.Context, address string) (net.Conn, error) {
			to := c.owner[address]
			if c.is(from, to) {
				return nil, errCut
			}
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &cutConn{Conn: conn, cuts: c, from: from, to: to}, nil
		}
	}
}

// cutConn says nothing and hears nothing while it is cut.
type cutConn struct {
	net.Conn
	cuts     *cuts
	from, to ident.VM
}

// Write swallows what a cut connection would lose.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.cuts.is(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read drops what arrives on a cut connection.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.cuts.is(c.from, c.to) {
			return n, err
		}
	}
}
