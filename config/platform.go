package config

import (
	"time"

	"chicorymast/core/ident"
)

// Platform is the section [platform]: the interface to the hosting platform, if
// the daemon runs on one.
type Platform struct {
	// API is the IP:port that accepts requests from the platform: announcements of
	// the upstream on this VM, and configuration documents on control daemons.
	API string `ini:"api"`
	// Ready is the IP:port of the readiness probe; optional.
	Ready string `ini:"ready"`
	// Heartbeat is the interval at which the platform announces an upstream.
	Heartbeat time.Duration `ini:"heartbeat"`
	// DataCentres are all data centres of the fleet; every rate is divided among
	// them.
	DataCentres []ident.DataCentre `ini:"data_centres"`
}

// Enabled reports whether the interface to a platform is configured.
func (p Platform) Enabled() bool {
	return p.API != ""
}

func (p *Platform) check(*Config) (key, problem string) {
	if !p.Enabled() {
		return "", ""
	}
	if problem := checkAddress(p.API); problem != "" {
		return "api", problem
	}
	if p.Ready != "" {
		if problem := checkAddress(p.Ready); problem != "" {
			return "ready", problem
		}
	}
	if len(p.DataCentres) == 0 {
		return "data_centres", "is missing: rates are divided among them"
	}
	return "", ""
}
