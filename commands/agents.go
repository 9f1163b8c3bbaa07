package cmds

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/agent"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

type agentsCommand struct {
	Relay    string        `long:"relay" required:"true" description:"control address of a relay, as IP:port"`
	Count    int           `long:"count" default:"100" description:"number of simulated daemons"`
	Settle   time.Duration `long:"settle" default:"3s" description:"warm-up time before the measurement"`
	Duration time.Duration `long:"duration" default:"10s" description:"duration of the measurement"`
}

func init() {
	register("agents", "simulate many daemons (trials)",
		"Runs the control agents of many daemons in one process and prints the traffic, CPU time and memory for each daemon.", &agentsCommand{})
}

// simulatedDaemon is the control agent of one daemon, without its proxy.
type simulatedDaemon struct {
	agent *agent.Agent
	board *board.Board
	pool  *wire.Pool
}

// arrival is when a revision reached the first and the last daemon.
type arrival struct{ first, last time.Time }

// Execute runs the agents and prints bytes per second, CPU share and resident
// memory per daemon.
func (c *agentsCommand) Execute([]string) error {
	clock := timer.NewClock()
	daemons := make([]*simulatedDaemon, c.Count)
	for i := range daemons {
		daemons[i] = c.start(clock, i)
	}
	time.Sleep(c.Settle)
	bytes, cpu := trafficBytes(daemons), cpuSeconds()
	arrivals := watchRevisions(daemons, c.Duration)
	daemonSeconds := c.Duration.Seconds() * float64(c.Count)
	fmt.Printf("agents=%d bytes_per_s=%.1f cpu_share=%.6f rss_mb_each=%.3f revision=%d members=%d",
		c.Count, float64(trafficBytes(daemons)-bytes)/daemonSeconds, (cpuSeconds()-cpu)/daemonSeconds, residentMB()/float64(c.Count),
		daemons[0].board.Config.Read().State.Revision, len(daemons[0].board.Members.Read().Entries))
	longest := time.Duration(0)
	for _, a := range arrivals {
		longest = max(longest, a.last.Sub(a.first))
	}
	fmt.Printf(" revisions_seen=%d longest_spread_ms=%d\n", len(arrivals), longest.Milliseconds())
	return nil
}

func (c *agentsCommand) start(clock timer.Clock, i int) *simulatedDaemon {
	const connectTimeout = time.Second
	vm := ident.VM(fmt.Sprintf("agent-%d", i))
	d := &simulatedDaemon{board: board.New(), pool: wire.NewPool(wire.PlainDialer(connectTimeout))}
	d.agent = agent.New(agent.Options{
		VM: vm, DataCentre: "slopes", Clock: clock, Board: d.board, Pool: d.pool, Log: event.Discard(),
		Addresses:      member.Addresses{Peer: "192.0.2.1:1", Control: "192.0.2.1:2"},
		RelayAddresses: func() []string { return []string{c.Relay} },
		RelayActive:    func() bool { return false },
		FollowConfig:   true,
	})
	d.board.Upstream.Write(&board.Upstream{Upstream: member.Upstream{
		Service: ident.Service(fmt.Sprintf("service-%d", i/6)), ID: ident.Upstream(vm), Slots: 50, Phase: member.PhaseUp,
	}})
	d.agent.Start()
	return d
}

// trafficBytes returns the bytes that all daemons have sent and received.
func trafficBytes(daemons []*simulatedDaemon) (n int64) {
	for _, d := range daemons {
		n += d.pool.Received.Load() + d.pool.Sent.Load()
	}
	return n
}

// watchRevisions watches the daemons for the duration and returns when each new
// revision reached the first and the last of them.
func watchRevisions(daemons []*simulatedDaemon, duration time.Duration) map[ident.Revision]*arrival {
	var mu sync.Mutex
	arrivals := map[ident.Revision]*arrival{}
	end := time.After(duration)
	done := make(chan struct{})
	for _, d := range daemons {
		go func() {
			for {
				changed := d.board.Config.Changed()
				select {
				case <-done:
					return
				case <-changed:
				}
				now, revision := time.Now(), d.board.Config.Read().State.Revision
				mu.Lock()
				if arrivals[revision] == nil {
					arrivals[revision] = &arrival{first: now}
				}
				arrivals[revision].last = now
				mu.Unlock()
			}
		}()
	}
	<-end
	close(done)
	mu.Lock()
	defer mu.Unlock()
	return arrivals
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// residentMB returns the peak resident memory of this process.
func residentMB() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	const kibPerMiB = 1024 // Maxrss is in KiB on Linux
	return float64(u.Maxrss) / kibPerMiB
}
