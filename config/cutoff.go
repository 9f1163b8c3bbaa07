package config

import (
	"time"

	"chicorymast/core/ident"
)

// CutOff is the section [cut_off]: how long a daemon that is cut off from the
// control daemons goes on serving calls on its last confirmed configuration.
type CutOff struct {
	// ReadGrace applies to idempotent routes that are not of class critical.
	ReadGrace time.Duration `ini:"read_grace"`
	// PaidGrace applies to all other routes: those that are not idempotent and those
	// of class critical.
	PaidGrace time.Duration `ini:"paid_grace"`
}

func defaultCutOff() CutOff {
	return CutOff{ReadGrace: time.Hour, PaidGrace: 10 * time.Second}
}

// Grace returns the grace period for calls of a route.
func (c CutOff) Grace(idempotent bool, class ident.Class) time.Duration {
	if !idempotent || class == ident.ClassCritical {
		return c.PaidGrace
	}
	return c.ReadGrace
}

func (c *CutOff) check(*Config) (key, problem string) {
	const minGrace = 3 * time.Second // the time to elect a new leader
	if c.PaidGrace < minGrace {
		return "paid_grace", "must be at least 3s, since electing a new leader may take that long"
	}
	if c.ReadGrace < c.PaidGrace {
		return "read_grace", "must not be shorter than paid_grace"
	}
	return "", ""
}
