package daemon

import (
	"chicorymast/core/heads"
	"chicorymast/io/event"
	"chicorymast/io/limit"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// limitHeads creates the guard of the memory that message heads take, and its metrics.
func (d *Daemon) limitHeads() {
	d.heads = limit.New(limit.Options{
		Budget: func() heads.Bytes { return heads.Bytes(d.Config().HeaderMemory()) },
		Clock:  d.clock,
		Report: func(refused uint64, held heads.Bytes) {
			d.log.Emit(event.HeadsRefused, zap.Uint64("refused", refused), zap.Int64("bytes", int64(held)))
		},
	})
	d.reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chicorymast_header_bytes", Help: "Memory that the headers of requests and responses take now, with a cost for each line.",
		}, func() float64 {
			held, _ := d.heads.Held()
			return float64(held)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "chicorymast_headers_refused_total", Help: "Requests and responses refused because headers take too much memory.",
		}, func() float64 {
			_, refused := d.heads.Held()
			return float64(refused)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "chicorymast_bodies_without_room_total", Help: "Bodies that could not be kept in memory: requests refused, responses passed on unkept.",
		}, func() float64 { return float64(d.heads.Short()) }),
	)
}
