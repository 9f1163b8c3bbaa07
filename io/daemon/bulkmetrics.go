package daemon

import "github.com/prometheus/client_golang/prometheus"

// registerBulkMetrics registers what shows how much this daemon holds and sends for others.
func (d *Daemon) registerBulkMetrics() {
	gauge := func(name, help string, value func() float64) {
		d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	counter := func(name, help string, value func() float64) {
		d.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	gauge("chicorymast_relay_large_reply_bytes", "Size of the large replies to syncs that are made and sent now.", func() float64 {
		held, _ := d.relay.LargeReplies()
		return float64(held)
	})
	counter("chicorymast_relay_large_replies_put_off_total", "Syncs whose large reply was put off because others were being sent.", func() float64 {
		_, putOff := d.relay.LargeReplies()
		return float64(putOff)
	})
	if d.control == nil {
		return
	}
	counter("chicorymast_raft_entries_sent_total", "Log entries sent to other control daemons, repeated ones included.", func() float64 {
		entries, _ := d.control.Sent()
		return float64(entries)
	})
	counter("chicorymast_raft_bytes_sent_total", "Bytes of log entries and snapshots sent to other control daemons.", func() float64 {
		_, bytes := d.control.Sent()
		return float64(bytes)
	})
	gauge("chicorymast_raft_proposed_bytes", "Size of the changes that wait to be committed here.", func() float64 {
		return float64(d.control.ProposedBytes())
	})
}
