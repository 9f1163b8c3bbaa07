package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/event"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// costPlan tells a process of BenchmarkProcesses which daemon it runs.
type costPlan struct {
	VM, Service, Callers, Peers, Upstream string
	Members                               []member.Entry
	Key                                   string
	Resources                             costResources
}

// costResources are the settings of a process that are compared.
type costResources struct {
	Processors int
	HeadroomMB float64
}

// costPlanVariable is the environment variable that holds the plan of a process.
const costPlanVariable = "CHICORYMAST_COST_PLAN"

// TestProcessOfBenchmark is the process of a daemon, which BenchmarkProcesses starts and kills.
func TestProcessOfBenchmark(t *testing.T) {
	text := os.Getenv(costPlanVariable)
	if text == "" {
		return
	}
	var plan costPlan
	assert.NilError(t, json.Unmarshal([]byte(text), &plan))
	cfg := costSettings(t, plan.VM, plan.Service)
	cfg.Listen.Caller, cfg.Listen.Peer = plan.Callers, plan.Peers
	LimitResources(config.Daemon{Processors: plan.Resources.Processors, HeapHeadroomMB: plan.Resources.HeadroomMB})
	d, err := New(cfg, event.Discard())
	assert.NilError(t, err)
	fillBoard(d, plan.Members, plan.Key, plan.Upstream)
	d.proxy.Start()
	go func() { _ = d.callers.Serve() }() // until the process is killed
	assert.NilError(t, d.listeners[0].srv.Serve(d.listeners[0].ln))
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	assert.NilError(tb, ln.Close())
	return ln.Addr().String()
}

// startPlan starts the process of a plan and waits until it accepts connections.
func startPlan(b *testing.B, plan costPlan) (pid int) {
	b.Helper()
	text, err := json.Marshal(plan)
	assert.NilError(b, err)
	cmd := exec.Command(os.Args[0], "-test.run", "^TestProcessOfBenchmark$")
	cmd.Env = append(os.Environ(), costPlanVariable+"="+string(text))
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // reports the kill
	})
	for _, address := range []string{plan.Callers, plan.Peers} {
		poll.WaitOn(b, poll.Connection("tcp", address), poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	}
	return cmd.Process.Pid
}

// processorTime returns the processor time that a process has used, in steps of 10 ms.
func processorTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	const user, system, tick = 11, 12, 10 * time.Millisecond
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	u, err := strconv.Atoi(fields[user])
	assert.NilError(b, err)
	s, err := strconv.Atoi(fields[system])
	assert.NilError(b, err)
	return time.Duration(u+s) * tick
}

// BenchmarkProcesses measures the processor time of a call on each daemon, as processes of
// their own and at a given rate of calls: how much waking and collecting garbage cost
// depends on both. Run it with -benchtime 2000x or more.
func BenchmarkProcesses(b *testing.B) {
	for _, rate := range []int{300, 3000} {
		for _, r := range []costResources{{0, 0}, {0, 32}, {2, 32}, {1, 32}} {
			name := fmt.Sprintf("rate_%d/processors_%d/headroom_%g", rate, r.Processors, r.HeadroomMB)
			b.Run(name, func(b *testing.B) { benchmarkProcesses(b, rate, r) })
		}
	}
}

func benchmarkProcesses(b *testing.B, rate int, r costResources) {
	const clients, warmUp = 16, 30
	entry := costPlan{VM: "entry", Service: "back", Callers: freeAddress(b), Peers: freeAddress(b), Resources: r, Key: "key-of-the-benchmark"}
	peer := entry
	peer.VM, peer.Service, peer.Callers, peer.Peers = "peer", "shop", freeAddress(b), freeAddress(b)
	entry.Upstream, peer.Upstream = startScripted(b, ""), startScripted(b, peer.Callers)
	members := []member.Entry{costEntry("entry", "east", entry.Peers, "back"), costEntry("peer", "east", peer.Peers, "shop")}
	entry.Members, peer.Members = members, members
	pids := []int{startPlan(b, entry), startPlan(b, peer)}
	f := &costFleet{key: entry.Key}
	request := f.callerRequest("GET", "/orders/4711?detail=full", "")
	paceCalls(b, entry.Callers, request, "warm", clients, warmUp*clients, rate)
	var before [2]time.Duration
	for i, pid := range pids {
		before[i] = processorTime(b, pid)
	}
	b.ResetTimer()
	took := paceCalls(b, entry.Callers, request, "run", clients, b.N, rate)
	b.StopTimer()
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	for i, unit := range []string{"entry-us/op", "peer-us/op"} {
		b.ReportMetric(float64((processorTime(b, pids[i])-before[i]).Microseconds())/float64(b.N), unit)
	}
}

// paceCalls sends n calls at a rate from a number of clients. It returns how long they took,
// the shortest first.
func paceCalls(b *testing.B, address string, request costRequest, phase string, clients, n, rate int) (took []time.Duration) {
	b.Helper()
	interval := time.Second * time.Duration(clients) / time.Duration(rate)
	var wg sync.WaitGroup
	took = make([]time.Duration, n)
	errs := make(chan error, clients)
	for i := range clients {
		wg.Go(func() {
			c := &rawClient{address: address}
			defer c.close()
			next := time.Now().Add(interval * time.Duration(i) / time.Duration(clients))
			for k := i; k < n; k += clients {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				begin := time.Now()
				status, err := c.call([]byte(request(phase + "-" + strconv.Itoa(k) + "-" + strconv.Itoa(n))))
				if err != nil || status != http.StatusOK {
					errs <- fmt.Errorf("call %d: status %d, %v", k, status, err)
					return
				}
				took[k] = time.Since(begin)
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(b, err)
	}
	slices.Sort(took)
	return took
}

func costUpstream(svc ident.Service) *member.Upstream {
	const slots = 1000
	return &member.Upstream{Service: svc, ID: ident.Upstream("i-" + svc), StartedMs: 1, Slots: slots, Phase: member.PhaseUp}
}
