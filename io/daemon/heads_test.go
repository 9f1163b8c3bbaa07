package daemon

import (
	"net"
	"net/http"

	"chicorymast/core/heads"
	"chicorymast/io/limit"
	"chicorymast/io/timer"
)

// countHeads counts the heads of a connection, as a daemon does.
func countHeads(c net.Conn) net.Conn {
	const budget = 16 << 20
	g := limit.New(limit.Options{
		Budget: func() heads.Bytes { return budget }, Clock: timer.NewClock(), Report: func(uint64, heads.Bytes) {},
	})
	return g.Accepted(c, func(w http.ResponseWriter) { w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge) })
}
