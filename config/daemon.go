package config

import (
	"time"

	"chicorymast/core/ident"
)

// Role is the role of a daemon in the fleet.
type Role string

// The roles of a daemon. RoleUpstream runs beside an upstream and keeps no state
// on disk; RoleControl stores and replicates the configuration.
const (
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
)

// Mode selects whether a daemon controls admission or only forwards calls.
type Mode string

// The modes of a daemon. ModePassThrough is the baseline for measurements: it
// forwards calls with simple retries and without admission control.
const (
	ModeManaged     Mode = "managed"
	ModePassThrough Mode = "pass_through"
)

// Daemon is the section [daemon].
type Daemon struct {
	VM         ident.VM         `ini:"vm"`
	DataCentre ident.DataCentre `ini:"data_centre"`
	Role       Role             `ini:"role"`
	// Service is the service of the upstream on this VM, if it is known in
	// advance. Calls that the upstream makes are attributed to it.
	Service         ident.Service `ini:"service"`
	Mode            Mode          `ini:"mode"`
	DataFolder      string        `ini:"data_folder"`
	ShutdownTimeout time.Duration `ini:"shutdown_timeout"`
	// ShutdownDelay is how long a daemon goes on accepting calls once it shuts
	// down, so that callers and peers notice before its listeners close. It is part
	// of ShutdownTimeout.
	ShutdownDelay time.Duration `ini:"shutdown_delay"`
	// MemoryLimitMB is the memory that the process may take, in MB; zero means that no limit
	// is known. A change takes a restart.
	MemoryLimitMB float64 `ini:"memory_limit_mb"`
	// HeapHeadroomMB is how much is allocated at least before garbage is collected, in MB;
	// zero stands for as much as is in use. A change takes a restart.
	HeapHeadroomMB float64 `ini:"heap_headroom_mb"`
	// Processors is how many processors the process uses at once; zero stands for as many
	// as the VM has. A change takes a restart.
	Processors int `ini:"processors"`
}

// heapShare is the part of the memory limit that the Go runtime may use before it collects
// garbage at any cost. The rest is for what it does not count: the program, buffers of the
// operating system, and growth during a collection.
const heapShare = 0.75

// maxProcessors is above the number of processors of any VM.
const maxProcessors = 4096

// maxMemoryLimitMB is a limit above that of any VM.
const maxMemoryLimitMB = 1 << 24

// RuntimeLimit returns the limit of the Go runtime in bytes, zero if there is none.
func (d Daemon) RuntimeLimit() int64 {
	return int64(d.MemoryLimitMB * heapShare * (1 << 20))
}

// HeapHeadroom returns the headroom in bytes.
func (d Daemon) HeapHeadroom() uint64 {
	return uint64(d.HeapHeadroomMB * (1 << 20))
}

func defaultDaemon() Daemon {
	return Daemon{Role: RoleUpstream, Mode: ModeManaged, ShutdownTimeout: 10 * time.Second}
}

func (d *Daemon) check(*Config) (key, problem string) {
	switch {
	case d.VM == "":
		return "vm", "is missing"
	case d.DataCentre == "":
		return "data_centre", "is missing"
	case d.Role != RoleUpstream && d.Role != RoleControl:
		return "role", "must be upstream or control"
	case d.Mode != ModeManaged && d.Mode != ModePassThrough:
		return "mode", "must be managed or pass_through"
	case d.Role == RoleControl && d.DataFolder == "":
		return "data_folder", "is missing: a control daemon stores the configuration there"
	case d.ShutdownDelay < 0 || d.ShutdownDelay >= d.ShutdownTimeout:
		return "shutdown_delay", "must be at least zero and less than shutdown_timeout"
	case d.ShutdownTimeout <= 0:
		return "shutdown_timeout", "must be above zero"
	}
	return d.checkResources()
}

func (d *Daemon) checkResources() (key, problem string) {
	switch {
	case !(d.MemoryLimitMB >= 0 && d.MemoryLimitMB <= maxMemoryLimitMB):
		return "memory_limit_mb", "must be 0 or the memory in MB"
	case !(d.HeapHeadroomMB >= 0 && d.HeapHeadroomMB <= maxMemoryLimitMB):
		return "heap_headroom_mb", "must be 0 or the memory in MB"
	case d.Processors < 0 || d.Processors > maxProcessors:
		return "processors", "must be 0 or the number of processors"
	}
	return "", ""
}
