package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the platform; each machine has a loopback
// address of its own.
type ports struct {
	control, outbound, inbound, ready, internal int
}

// fleet is a set of machines on loopback addresses.
type fleet struct {
	opt      options
	rec      *record
	dir      string
	ports    ports
	machines []*machine
}

// machine is one machine with one daemon. A core machine has a disk.
type machine struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	core  bool
	// service is that of the server on a sidecar machine.
	service string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func newFleet(opt options, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{opt: opt, rec: rec, dir: dir}
	base := 20000 + 10*rand.IntN(900)
	f.ports = ports{control: base, outbound: base + 1, inbound: base + 2, ready: base + 3, internal: base + 4}
	return f, nil
}

// add adds a machine. Its address is free for all ports of the fleet.
func (f *fleet) add(m machine) (*machine, error) {
	for range 50 {
		m.ip = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 1+len(f.machines))
		if f.isFree(m.ip) {
			m.fleet = f
			f.machines = append(f.machines, &m)
			return &m, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address for %s", m.name)
}

func (f *fleet) isFree(ip string) bool {
	const metricsPort = 9464 // named in the templates
	for _, port := range []int{f.ports.control, f.ports.outbound, f.ports.inbound, f.ports.ready, f.ports.internal, metricsPort} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// settings fills a template of the deploy file in.
func (m *machine) settings(bootstrap bool) (string, error) {
	name := "daemon.ini"
	if m.core {
		name = "control.ini"
	}
	text, err := os.ReadFile(filepath.Join(m.fleet.opt.templates, name))
	if err != nil {
		return "", err
	}
	p := m.fleet.ports
	var seeds, zones []string
	for _, other := range m.fleet.machines {
		if other.core {
			seeds = append(seeds, other.address(p.control))
			zones = append(zones, other.zone)
		}
	}
	filled := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{service}}", m.service, "{{ip}}", m.ip,
		"{{data_dir}}", m.dataFolder(), "{{seeds}}", strings.Join(seeds, ","),
		"{{internal_ports.0}}", fmt.Sprint(p.internal), "{{bootstrap}}", fmt.Sprint(bootstrap),
		"{{listen.control}}", m.address(p.control), "{{listen.outbound}}", m.address(p.outbound),
		"{{listen.inbound}}", m.address(p.inbound), "{{listen.ready}}", m.address(p.ready),
		"{{heartbeat}}", "1500ms", "{{fault_tolerance.machines}}", "1", "{{bounds.grace}}", "6s",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "48",
		"{{#bounds.quota_slack}}slack = {{.}}{{/bounds.quota_slack}}", "slack = 20",
		"{{#bounds.quota_window}}slack_window = {{.}}{{/bounds.quota_window}}", "slack_window = 5s",
		"{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(zones, ","),
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return "", fmt.Errorf("%s has a placeholder that this stand-in does not know", name)
	}
	return filled, nil
}

func (m *machine) dataFolder() string {
	return filepath.Join(m.fleet.dir, m.name)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	text, err := m.settings(bootstrap)
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.dir, m.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if m.core {
		if err := os.MkdirAll(m.dataFolder(), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(m.fleet.opt.program, "daemon")
	m.cmd.Env = append(os.Environ(), "CHICORYMAST_SETTINGS="+path)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd)
	m.fleet.rec.note("%s started, bootstrap=%v", m.name, bootstrap)
	return nil
}

// kill ends the daemon with SIGKILL and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.exited
	m.cmd = nil
}

// loseDisk kills the daemon, empties its data folder and starts it again.
func (m *machine) loseDisk(down time.Duration) error {
	m.kill()
	m.fleet.rec.note("%s was killed and loses its disk", m.name)
	if err := os.RemoveAll(m.dataFolder()); err != nil {
		return err
	}
	time.Sleep(down)
	return m.start(false)
}

// stop ends all processes of the fleet and removes its files.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
	_ = os.RemoveAll(f.dir)
}
