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

// partition simulates network partitions between daemons: open connections between
// separated VMs lose all data, and new ones fail.
type partition struct {
	owner map[string]ident.VM
	mu    sync.Mutex
	pairs map[[2]ident.VM]bool
}

var errBlocked = errors.New("blocked by the partition")

func newPartition(files *trial.Fleet) *partition {
	p := &partition{owner: map[string]ident.VM{}, pairs: map[[2]ident.VM]bool{}}
	for _, d := range files.Daemons {
		for _, address := range d.Addresses {
			p.owner[address] = d.VM
		}
	}
	return p
}

func (p *partition) blocked(from, to ident.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pairs[[2]ident.VM{from, to}]
}

// set blocks or restores the traffic, in both directions, between each VM of a
// and each VM of b.
func (p *partition) set(a, b []ident.VM, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, from := range a {
		for _, to := range b {
			p.pairs[[2]ident.VM{from, to}] = blocked
			p.pairs[[2]ident.VM{to, from}] = blocked
		}
	}
}

func (p *partition) wrap(from ident.VM) func(wire.DialFunc) wire.DialFunc {
	return func(dial wire.DialFunc) wire.DialFunc {
		return func(ctx context.Context, address string) (net.Conn, error) {
			to := p.owner[address]
			if p.blocked(from, to) {
				return nil, errBlocked
			}
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &partitionConn{Conn: conn, partition: p, from: from, to: to}, nil
		}
	}
}

// partitionConn loses all data in both directions while its VMs are separated.
type partitionConn struct {
	net.Conn
	partition *partition
	from, to  ident.VM
}

// Write discards p while the connection is blocked.
func (c *partitionConn) Write(p []byte) (int, error) {
	if c.partition.blocked(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read discards received data while the connection is blocked.
func (c *partitionConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.partition.blocked(c.from, c.to) {
			return n, err
		}
	}
}
