package config

import (
	"time"

	"chicorymast/core/ident"
)

// Role says what a daemon does besides serving calls.
type Role string

// The roles of a daemon.
const (
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
)

// Mode says whether a daemon decides or only forwards.
type Mode string

// The modes of a daemon. ModePassThrough is the baseline for measurements:
// it forwards with plain retries and decides nothing.
const (
	ModeManaged     Mode = "managed"
	ModePassThrough Mode = "pass_through"
)

// Daemon is the section [daemon].
type Daemon struct {
	VM         ident.VM         `ini:"vm"`
	DataCentre ident.DataCentre `ini:"data_centre"`
	Role       Role             `ini:"role"`
	// Service is that of the upstream on this VM, where the settings know it:
	// calls that begin on this VM are known to come from there.
	Service         ident.Service `ini:"service"`
	Mode            Mode          `ini:"mode"`
	DataFolder      string        `ini:"data_folder"`
	ShutdownTimeout time.Duration `ini:"shutdown_timeout"`
	// ShutdownDelay is how long a daemon that stops goes on serving, so that
	// callers and peers learn of it before its listeners close.
	ShutdownDelay time.Duration `ini:"shutdown_delay"`
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
		return "data_folder", "is missing: a control daemon keeps the configuration there"
	case d.ShutdownDelay < 0 || d.ShutdownDelay >= d.ShutdownTimeout:
		return "shutdown_delay", "must be at least zero and less than shutdown_timeout"
	case d.ShutdownTimeout <= 0:
		return "shutdown_timeout", "must be above zero"
	}
	return "", ""
}
