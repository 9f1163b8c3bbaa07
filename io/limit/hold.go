package limit

import (
	"context"
	"errors"
	"io"

	"chicorymast/core/heads"
)

// ErrNoRoom is returned by a reader whose bytes the budget has no room for.
var ErrNoRoom = errors.New("the budget has no room")

// Take charges memory to the request that is served with this context, until it has ended.
// It reports false, and charges nothing, if there is no room.
func Take(ctx context.Context, n heads.Bytes) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	s := c.share
	c.mu.Unlock()
	return c.guard.take(s, n)
}

// Reader returns a reader for a body that is kept in memory while the request of the context
// is served. Where the budget has no room it returns ErrNoRoom together with the last bytes.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	return &reader{ctx: ctx, src: r}
}

type reader struct {
	ctx context.Context
	src io.Reader
}

// growth is what a buffer takes for each byte, with the room to grow that append makes.
const growth = 2

// Read reads and charges what was read.
func (r *reader) Read(p []byte) (n int, err error) {
	n, err = r.src.Read(p)
	if n > 0 && !Take(r.ctx, growth*heads.Bytes(n)) {
		return n, ErrNoRoom
	}
	return n, err
}

// Hold is memory that is not of a single message.
type Hold struct {
	guard *Guard
	share share
}

// Hold returns memory of size zero, for what belongs to the connection.
func (c *Conn) Hold() *Hold {
	h := &Hold{guard: c.guard}
	c.guard.begin(&h.share)
	return h
}

// Resize changes the size. It reports false, and changes nothing, if there is no room. A nil
// Hold has any size.
func (h *Hold) Resize(n int) bool {
	if h == nil {
		return true
	}
	g := h.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	change := heads.Bytes(n) - h.share.Cost()
	switch {
	case change < 0:
		g.budget.Refund(&h.share.Share, -change)
	case !g.budget.Room(&h.share.Share, change):
		return false
	default:
		g.budget.Charge(&h.share.Share, change)
	}
	return true
}

func (g *Guard) take(s *share, n heads.Bytes) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.released {
		return true
	}
	g.budget.SetLimit(g.opt.Budget())
	if !g.budget.Room(&s.Share, n) {
		g.short++
		return false
	}
	g.budget.Charge(&s.Share, n)
	return true
}

// Short returns how often there was no room for a body.
func (g *Guard) Short() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.short
}
