package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chicorymast/config"
	"chicorymast/io/daemon"
	"chicorymast/io/event"
)

type daemonCommand struct {
	Config string `long:"config" short:"c" env:"CHICORYMAST_SETTINGS" required:"true" description:"settings file"`
}

func init() {
	register("daemon", "run a daemon",
		"Runs the daemon beside an upstream, or a control daemon. SIGTERM stops it gracefully, SIGHUP reads the settings again.", &daemonCommand{})
}

// Execute runs the daemon until a signal ends it.
func (c *daemonCommand) Execute([]string) error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	log, err := event.Open(os.Stdout, cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return err
	}
	defer log.Sync()
	d, err := daemon.New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadOnHangup(d)
	return d.Run(ctx)
}

// reloadOnHangup takes SIGHUP until the process ends: left to its default, the
// signal would end a daemon that is finishing what runs.
func reloadOnHangup(d *daemon.Daemon) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			_ = d.Reload() // the daemon logs the error and goes on
		}
	}()
}
