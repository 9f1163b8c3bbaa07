package daemon

import (
	"time"

	"chicorymast/config"
	"chicorymast/io/change"
	"chicorymast/io/header"
	"chicorymast/platform"
)

// missedAnnouncements in a row end an announcement on a platform: one or two
// may come seconds late.
const missedAnnouncements = 4

// announcementLease is how long the announcement of an upstream lives.
func announcementLease(p config.Platform) time.Duration {
	if p.Enabled() && p.Heartbeat > 0 {
		return missedAnnouncements * p.Heartbeat
	}
	return upstreamLease
}

func dialectOf(p config.Platform) header.Dialect {
	if p.Enabled() {
		return platform.Dialect()
	}
	return header.DefaultDialect()
}

// platform returns the interface to the platform; only control daemons take
// documents there.
func (d *Daemon) platform() *platform.Adapter {
	var changes *change.Client
	if d.control != nil {
		changes = d.changes
	}
	return platform.New(platform.Options{
		Changes: changes, Registry: d.host, Board: d.board, Log: d.log, DataCentres: d.Config().Platform.DataCentres,
	})
}
