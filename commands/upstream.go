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
	Service     ident.Service  `long:"service" required:"true" description:"service name"`
	Upstream    ident.Upstream `long:"upstream" required:"true" description:"upstream name"`
	Address     string         `long:"address" required:"true" description:"IP:port to listen on"`
	Daemon      string         `long:"daemon" description:"local address of the daemon on this VM"`
	Slots       int            `long:"slots" default:"20" description:"calls at once"`
	Connections int            `long:"connections" default:"0" description:"open calls above which it sheds; 0 means never"`
	Mean        time.Duration  `long:"mean" default:"5ms" description:"mean service time"`
	Cold        time.Duration  `long:"cold" description:"how long it is slow after its start"`
	ColdFactor  float64        `long:"cold-factor" default:"1" description:"how many times slower it is then"`
	Calls       []string       `long:"call" description:"child call as 'PREFIX METHOD PATH'"`
	Direct      []string       `long:"direct" description:"where child calls go without daemons, as PREFIX=IP:port"`
	Pad         int            `long:"pad" default:"256" description:"bytes of padding in each answer"`
	Seed        uint64         `long:"seed" default:"1" description:"start of its random choices"`
}

func init() {
	register("upstream", "run a stand-in upstream (trials)", "Runs a stand-in for an upstream. It is meant for trials and measurements.", &upstreamCommand{})
}

// Execute serves until a signal ends it.
func (c *upstreamCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := stub.New(stub.Options{
		Service: c.Service, Upstream: c.Upstream, Address: c.Address, Daemon: c.Daemon,
		Slots: c.Slots, MaxOpenCalls: c.Connections, MeanServiceTime: c.Mean, ColdStart: c.Cold, ColdFactor: c.ColdFactor,
		Calls: c.Calls, Direct: c.Direct, PadBytes: c.Pad, Seed: c.Seed,
	}, os.Exit)
	return s.Run(ctx, ln)
}
