package cmds

import (
	"context"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"chicorymast/config"
	"chicorymast/io/daemon"
	"chicorymast/io/event"
)

// megabytes is a size in MB; an empty one is zero.
type megabytes float64

// UnmarshalFlag implements flags.Unmarshaler.
func (m *megabytes) UnmarshalFlag(value string) error {
	if value == "" {
		return nil
	}
	parsed, err := strconv.ParseFloat(value, 64)
	*m = megabytes(parsed)
	return err
}

type daemonCommand struct {
	MemoryLimit megabytes `long:"memory-limit-mb" description:"what the process may take, in MB, instead of [daemon] memory_limit_mb"`

	Config string `long:"config" short:"c" env:"CHICORYMAST_SETTINGS" required:"true" description:"settings file"`
}

func init() {
	register("daemon", "run a daemon",
		"Runs the daemon beside an upstream, or a control daemon. SIGTERM shuts it down gracefully, SIGHUP reloads the settings.", &daemonCommand{})
}

// Execute runs the daemon until SIGTERM or SIGINT.
func (c *daemonCommand) Execute([]string) error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.MemoryLimit > 0 {
		cfg.Daemon.MemoryLimitMB = float64(c.MemoryLimit)
	}
	daemon.LimitResources(cfg.Daemon)
	log, err := event.Open(os.Stdout, cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return err
	}
	defer log.Sync()
	log.CaptureStandardLog()
	d, err := daemon.New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadOnHangup(d)
	return d.Run(ctx)
}

// reloadOnHangup handles SIGHUP for as long as the process lives, also during a
// graceful shutdown, which the signal's default action would cut short.
func reloadOnHangup(d *daemon.Daemon) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			_ = d.Reload() // the daemon logs the error and keeps its settings
		}
	}()
}
