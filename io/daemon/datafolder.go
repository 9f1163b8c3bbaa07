package daemon

import (
	"math"

	"chicorymast/io/store"

	"github.com/prometheus/client_golang/prometheus"
)

// registerDataFolderMetrics registers gauges of the data folder of a control daemon. A
// folder whose usage can't be read shows as not a number.
func (d *Daemon) registerDataFolderMetrics() {
	folder := d.Config().Daemon.DataFolder
	usage := func(value func(store.Usage) uint64) func() float64 {
		return func() float64 {
			u, err := store.FolderUsage(folder)
			if err != nil {
				return math.NaN()
			}
			return float64(value(u))
		}
	}
	gauge := func(name, help string, value func() float64) {
		d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("chicorymast_data_folder_bytes", "Size of the files in the data folder.", usage(func(u store.Usage) uint64 { return u.Used }))
	gauge("chicorymast_data_folder_free_bytes", "Space left on the disk of the data folder.", usage(func(u store.Usage) uint64 { return u.Free }))
	gauge("chicorymast_data_folder_writable", "1 while this control daemon can write to its data folder, else 0.", func() float64 {
		if d.control.Writable() {
			return 1
		}
		return 0
	})
}
