package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployment (sites/poklad-mesh) as its sheet gives them.
const (
	contact  = 3 * time.Second
	grace    = 6 * time.Second
	catchUp  = 4 * time.Second
	recovery = 15 * time.Second
)

// The ports of every machine; the machines differ by their loopback address.
const (
	controlPort  = "8540"
	inboundPort  = "8543"
	readyPort    = "8546"
	appPort      = "8547"
	outboundPort = "8548"
	firstPort    = "7000"
)

var zones = []string{"sk-east-a", "sk-east-b", "sk-east-c"}

// machine is one machine of the fleet with the process of its role.
type machine struct {
	name, class, zone, ip, service string
	bootstrap                      bool
	proc                           *exec.Cmd
	ended                          chan struct{}

	mu sync.Mutex
	// disturbed lists the times at which the process was stopped or started by the case.
	disturbed []time.Time
}

func (m *machine) disturb() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = append(m.disturbed, time.Now())
}

// undisturbed reports whether nothing was done to a machine in the contact time before.
func (m *machine) undisturbed(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.disturbed {
		if !d.After(at) && at.Sub(d) <= contact {
			return false
		}
	}
	return true
}

// fleet is a small deployment: real processes of the project, started with the commands and
// templates of the deploy file, each at a loopback address of its own.
type fleet struct {
	rec      *record
	folder   string
	core     []*machine
	sidecars []*machine
}

// newFleet lays out three core machines and a sidecar machine for each of the services, and
// looks for free loopback addresses.
func newFleet(rec *record, services []string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder}
	net3, err := freeNetwork(len(services))
	if err != nil {
		return nil, err
	}
	for i, z := range zones {
		f.core = append(f.core, &machine{name: "core-" + z + "-1", class: "core", zone: z, ip: fmt.Sprintf("%s.%d", net3, 10+i), bootstrap: true})
	}
	for i, s := range services {
		z := zones[i%len(zones)]
		f.sidecars = append(f.sidecars, &machine{
			name: fmt.Sprintf("sidecar-%s-%d", z, 1+i/len(zones)), class: "sidecar", zone: z, service: s, ip: fmt.Sprintf("%s.%d", net3, 100+i),
		})
	}
	return f, nil
}

// freeNetwork returns the first three parts of loopback addresses on which nothing listens.
func freeNetwork(sidecars int) (string, error) {
	for range 50 {
		net3 := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if isFree(net3, 10, 3) && isFree(net3, 100, sidecars) {
			return net3, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func isFree(net3 string, first, n int) bool {
	for i := range n {
		for _, port := range []string{controlPort, inboundPort, readyPort, appPort, outboundPort, firstPort, "9464"} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", net3, first+i, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// fields returns what the platform says to a process of a machine.
func (f *fleet) fields(m *machine) map[string]any {
	seeds := []string{}
	for _, c := range f.core {
		seeds = append(seeds, c.ip+":"+controlPort)
	}
	zoneTable := map[string]any{}
	for _, z := range zones {
		zoneTable[z] = "sk-east"
	}
	return map[string]any{
		"node": m.name, "zone": m.zone, "ip": m.ip, "service": m.service, "heartbeat": "1500ms", "seeds": seeds,
		"bootstrap": m.bootstrap, "internal_ports": []string{firstPort, "7015"}, "zones": zoneTable, "data_dir": f.dataDir(m),
		"limits":          map[string]any{"memory_mb": memoryOf(m)},
		"fault_tolerance": map[string]any{"machines": 1},
		"listen": map[string]any{
			"inbound": m.ip + ":" + inboundPort, "outbound": m.ip + ":" + outboundPort,
			"ready": m.ip + ":" + readyPort, "control": m.ip + ":" + controlPort,
		},
		"bounds": map[string]any{
			"grace": "6s", "retry_budget_ratio": 0.2, "budget_window": "10s", "budget_slack": 49,
			"quota_window": "5s", "quota_overrun": 0.1, "quota_slack": 20,
		},
	}
}

func memoryOf(m *machine) int {
	if m.class == "core" {
		return 280
	}
	return 284
}

func (f *fleet) dataDir(m *machine) string {
	return filepath.Join(f.folder, m.name, "data")
}

// start starts the process of a machine, with the settings that hold now.
func (f *fleet) start(m *machine) error {
	template := "deploy/daemon.ini"
	if m.class == "core" {
		template = "deploy/control.ini"
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	fields := f.fields(m)
	if err := os.MkdirAll(f.dataDir(m), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(f.folder, m.name, "local.toml")
	if err := os.WriteFile(settings, []byte(fill(string(text), fields)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The command of both roles in deploy/system.toml.
	words := strings.Fields(fill("target/chicorymast daemon --memory-limit-mb={{limits.memory_mb}}", fields))
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYMAST_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.proc, m.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(m.ended)
	f.rec.note("%s starts at %s, bootstrap %v", m.name, m.ip, m.bootstrap)
	return nil
}

// startAll starts all machines for the first time.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.core...), f.sidecars...) {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// kill kills the process of a machine and waits for its end.
func (f *fleet) kill(m *machine) {
	if m.proc == nil {
		return
	}
	_ = m.proc.Process.Kill()
	<-m.ended
	f.rec.note("%s is killed", m.name)
}

// terminate stops the process of a machine as the platform does.
func (f *fleet) terminate(m *machine) {
	_ = m.proc.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(grace):
		f.kill(m)
	}
}

// runs reports whether the process of a machine runs.
func (m *machine) runs() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range append(append([]*machine{}, f.core...), f.sidecars...) {
		if m.proc != nil {
			_ = m.proc.Process.Kill()
			<-m.ended
		}
	}
	_ = os.RemoveAll(f.folder)
}
