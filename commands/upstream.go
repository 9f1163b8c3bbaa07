package cmds

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/stub"
)

type upstreamCommand struct {
	Service      ident.Service  `long:"service" required:"true" description:"service name"`
	Upstream     ident.Upstream `long:"upstream" required:"true" description:"upstream name"`
	Address      string         `long:"address" required:"true" description:"IP:port to listen on"`
	Daemon       string         `long:"daemon" description:"local address of the daemon on this VM"`
	Slots        int            `long:"slots" default:"20" description:"number of calls that run at once"`
	Connections  int            `long:"connections" default:"0" description:"maximum number of open calls; further calls are shed; 0 means no limit"`
	Mean         time.Duration  `long:"mean" default:"5ms" description:"mean service time"`
	Warmup       time.Duration  `long:"cold" description:"warm-up time after the start, in which it is slower"`
	WarmupFactor float64        `long:"cold-factor" default:"1" description:"factor on the service time during the warm-up"`
	Calls        []string       `long:"call" description:"child call as 'PREFIX METHOD PATH'"`
	Direct       []string       `long:"direct" description:"destination of child calls that bypass the daemons, as PREFIX=IP:port"`
	Pad          int            `long:"pad" default:"256" description:"bytes of padding in each response"`
	Seed         uint64         `long:"seed" default:"1" description:"seed of the random number generator"`
}

func init() {
	register("upstream", "run a stub upstream (trials)",
		"Runs a stub upstream for trials and measurements.", &upstreamCommand{})
}

// Execute serves until SIGTERM or SIGINT.
func (c *upstreamCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := stub.New(stub.Options{
		Service: c.Service, Upstream: c.Upstream, Address: c.Address, Daemon: c.Daemon,
		Slots: c.Slots, MaxOpenCalls: c.Connections, MeanServiceTime: c.Mean, Warmup: c.Warmup, WarmupFactor: c.WarmupFactor,
		Calls: c.Calls, Direct: c.Direct, PadBytes: c.Pad, Seed: c.Seed,
	}, os.Exit)
	return s.Run(ctx, ln)
}
