package config

import (
	"time"

	"chicorymast/core/ident"
)

// CutOff is the section [cut_off]: for how long calls are served on a
// configuration that could not be confirmed as current.
type CutOff struct {
	// ReadGrace is for idempotent routes.
	ReadGrace time.Duration `ini:"read_grace"`
	// PaidGrace is for all other routes and for those of the class critical.
	PaidGrace time.Duration `ini:"paid_grace"`
}

func defaultCutOff() CutOff {
	return CutOff{ReadGrace: time.Hour, PaidGrace: 10 * time.Second}
}

// Grace returns the grace of a kind of work.
func (c CutOff) Grace(idempotent bool, class ident.Class) time.Duration {
	if !idempotent || class == ident.ClassCritical {
		return c.PaidGrace
	}
	return c.ReadGrace
}

func (c *CutOff) check(*Config) (key, problem string) {
	const shortest = 3 * time.Second
	if c.PaidGrace < shortest {
		return "paid_grace", "must be at least 3s: a change of leader takes up to that long"
	}
	if c.ReadGrace < c.PaidGrace {
		return "read_grace", "can't be shorter than paid_grace"
	}
	return "", ""
}
