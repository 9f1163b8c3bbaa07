package daemon

import (
	"time"

	"chicorymast/config"
	"chicorymast/io/change"
	"chicorymast/io/header"
	"chicorymast/platform"
)

// leaseHeartbeats is the lifetime of an announcement on a platform, in heartbeats.
// It tolerates one or two announcements that are seconds late.
const leaseHeartbeats = 4

// upstreamLease returns the lifetime of an announcement without renewal.
func upstreamLease(p config.Platform) time.Duration {
	if p.Enabled() && p.Heartbeat > 0 {
		return leaseHeartbeats * p.Heartbeat
	}
	return defaultUpstreamLease
}

func dialectFor(p config.Platform) header.Dialect {
	if p.Enabled() {
		return platform.Dialect()
	}
	return header.DefaultDialect()
}

// platform returns the adapter to the platform's API. Only control daemons accept
// configuration documents there.
func (d *Daemon) platform() *platform.Adapter {
	var changes *change.Client
	if d.control != nil {
		changes = d.changes
	}
	return platform.New(platform.Options{
		Changes: changes, Registry: d.upstreams, Board: d.board, Log: d.log, DataCentres: d.Config().Platform.DataCentres,
	})
}
