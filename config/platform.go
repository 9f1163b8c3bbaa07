package config

import (
	"time"

	"chicorymast/core/ident"
)

// Platform is the section [platform]: the interface to the platform that the
// daemon runs on, where there is one.
type Platform struct {
	// API takes the platform's calls: the announcements of this VM's upstream,
	// and on control daemons operators' documents.
	API string `ini:"api"`
	// Ready answers whether this daemon takes calls.
	Ready string `ini:"ready"`
	// Heartbeat is how often the platform lets an upstream announce itself.
	Heartbeat time.Duration `ini:"heartbeat"`
	// DataCentres are all data centres; every rate is divided among them.
	DataCentres []ident.DataCentre `ini:"data_centres"`
}

// Enabled reports whether the daemon runs on a platform.
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
