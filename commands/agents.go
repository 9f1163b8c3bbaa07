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
	Relay    string        `long:"relay" required:"true" description:"control address of a relay"`
	Count    int           `long:"count" default:"100" description:"how many daemons"`
	Settle   time.Duration `long:"settle" default:"3s" description:"time before the figures are taken"`
	Duration time.Duration `long:"duration" default:"10s" description:"time over which they are taken"`
}

func init() {
	register("agents", "stand in for many daemons (trials)",
		"Runs the control side of many daemons in one process and prints what it costs each of them.", &agentsCommand{})
}

// standInAgent is the control side of one daemon.
type standInAgent struct {
	agent *agent.Agent
	board *board.Board
	pool  *wire.Pool
}

// spread is when the first and the last of them had a revision.
type spread struct{ first, last time.Time }

// Execute runs the agents and prints bytes, CPU and memory for one of them.
func (c *agentsCommand) Execute([]string) error {
	clock := timer.NewClock()
	agents := make([]*standInAgent, c.Count)
	for i := range agents {
		agents[i] = c.start(clock, i)
	}
	time.Sleep(c.Settle)
	bytes, cpu := traffic(agents), cpuSeconds()
	spreads := watchRevisions(agents, c.Duration)
	seconds := c.Duration.Seconds() * float64(c.Count)
	fmt.Printf("agents=%d bytes_per_s=%.1f cpu_share=%.6f rss_mb_each=%.3f revision=%d members=%d",
		c.Count, float64(traffic(agents)-bytes)/seconds, (cpuSeconds()-cpu)/seconds, residentMB()/float64(c.Count),
		agents[0].board.Config.Read().State.Revision, len(agents[0].board.Members.Read().Entries))
	longest := time.Duration(0)
	for _, s := range spreads {
		longest = max(longest, s.last.Sub(s.first))
	}
	fmt.Printf(" revisions_seen=%d longest_spread_ms=%d\n", len(spreads), longest.Milliseconds())
	return nil
}

func (c *agentsCommand) start(clock timer.Clock, i int) *standInAgent {
	const connect = time.Second
	vm := ident.VM(fmt.Sprintf("agent-%d", i))
	a := &standInAgent{board: board.New(), pool: wire.NewPool(wire.PlainDialer(connect))}
	a.agent = agent.New(agent.Options{
		VM: vm, DataCentre: "slopes", Clock: clock, Board: a.board, Pool: a.pool, Log: event.Discard(),
		Addresses:      member.Addresses{Peer: "192.0.2.1:1", Control: "192.0.2.1:2"},
		RelayAddresses: func() []string { return []string{c.Relay} },
		RelayActive:    func() bool { return false },
		FollowConfig:   true,
	})
	a.board.Upstream.Write(&board.Upstream{Upstream: member.Upstream{
		Service: ident.Service(fmt.Sprintf("service-%d", i/6)), ID: ident.Upstream(vm), Slots: 50, Phase: member.PhaseUp,
	}})
	a.agent.Start()
	return a
}

func traffic(agents []*standInAgent) (n int64) {
	for _, a := range agents {
		n += a.pool.Received.Load() + a.pool.Sent.Load()
	}
	return n
}

// watchRevisions notes when each revision reached the first and the last.
func watchRevisions(agents []*standInAgent, d time.Duration) map[ident.Revision]*spread {
	var mu sync.Mutex
	spreads := map[ident.Revision]*spread{}
	end := time.After(d)
	done := make(chan struct{})
	for _, a := range agents {
		go func() {
			for {
				changed := a.board.Config.Changed()
				select {
				case <-done:
					return
				case <-changed:
				}
				now, r := time.Now(), a.board.Config.Read().State.Revision
				mu.Lock()
				if spreads[r] == nil {
					spreads[r] = &spread{first: now}
				}
				spreads[r].last = now
				mu.Unlock()
			}
		}()
	}
	<-end
	close(done)
	mu.Lock()
	defer mu.Unlock()
	return spreads
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func residentMB() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	const kilo = 1024
	return float64(u.Maxrss) / kilo
}
