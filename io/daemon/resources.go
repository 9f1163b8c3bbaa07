package daemon

import (
	"runtime"
	"runtime/debug"

	"chicorymast/config"
	"chicorymast/io/heap"
)

// LimitResources makes the Go runtime use the memory and the processors that the settings
// allow. It concerns the whole process, so only one daemon of a process calls it.
func LimitResources(cfg config.Daemon) {
	if limit := cfg.RuntimeLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	if cfg.Processors > 0 {
		runtime.GOMAXPROCS(min(cfg.Processors, runtime.NumCPU()))
	}
	if headroom := cfg.HeapHeadroom(); headroom > 0 {
		heap.KeepHeadroom(headroom) // until the process ends
	}
}
