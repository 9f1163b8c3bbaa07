package daemon

import (
	"maps"
	"slices"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/io/event"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// evacuationWatch logs when an evacuation begins or ends on this daemon.
type evacuationWatch struct {
	board *board.Board
	log   *event.Log
	// known are the evacuations that were logged; only tick uses them.
	known map[ident.DataCentre]bool
}

func (w *evacuationWatch) tick(time.Time) {
	st := w.board.Config.Read().State
	if maps.Equal(w.known, st.Evacuations) {
		return
	}
	w.emit(event.EvacuationBegun, st.Revision, st.Evacuations, w.known)
	w.emit(event.EvacuationEnded, st.Revision, w.known, st.Evacuations)
	w.known = st.Evacuations
}

// emit logs the data centres of set that are not in other.
func (w *evacuationWatch) emit(id event.ID, r ident.Revision, set, other map[ident.DataCentre]bool) {
	for _, dc := range slices.Sorted(maps.Keys(set)) {
		if !other[dc] {
			w.log.Emit(id, zap.String("data_centre", string(dc)), zap.Uint64("revision", uint64(r)))
		}
	}
}

// registerEvacuationMetrics registers what shows that data centres are evacuated.
func (d *Daemon) registerEvacuationMetrics() {
	d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chicorymast_evacuated_data_centres", Help: "Data centres whose upstreams get no new calls, as this daemon knows.",
	}, func() float64 { return float64(len(d.board.Config.Read().State.Evacuations)) }))
}
