package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
)

// Fleet is a fleet whose files were written: its processes and their addresses.
type Fleet struct {
	Dir     string
	Daemons []*Daemon
	Stubs   []*Stub
	layout  Layout
}

// Daemon is one daemon of a fleet.
type Daemon struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Control    bool
	// Addresses are IP:port by the key of the listener in the settings.
	Addresses map[string]string
	Stub      *Stub
}

// Stub is a stub upstream of a fleet.
type Stub struct {
	Service  Service
	Upstream ident.Upstream
	Address  string
	Daemon   *Daemon
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Write writes the files of a fleet to a folder, which it creates if necessary.
// tokenDigest is the digest of the token of an operator with all rights; the caller
// writes the token itself to the file token.
func Write(dir string, l Layout, tokenDigest string) (f *Fleet, err error) {
	defer fault.Note(&err, "write trial fleet to %s", dir)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	f = &Fleet{Dir: dir, layout: l}
	f.placeDaemons()
	if err := f.assignPorts(); err != nil {
		return nil, err
	}
	files := map[string]string{
		"intent.ini":  f.intent(),
		"processes":   f.processes(),
		"environment": f.environment(),
		"load.ini":    f.loadPlan(false),
		"direct.ini":  f.loadPlan(true),
		"steps":       f.steps(),
		"stand-ins":   f.stubList(),
	}
	for _, d := range f.Daemons {
		files[string(d.VM)+".ini"] = f.settings(d, tokenDigest)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), fileMode); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// placeDaemons spreads control daemons and upstreams over the data centres.
func (f *Fleet) placeDaemons() {
	l := f.layout
	for i := range l.ControlDaemons {
		dc := l.DataCentres[i%len(l.DataCentres)]
		f.Daemons = append(f.Daemons, &Daemon{VM: ident.VM(fmt.Sprintf("control-%d", i+1)), DataCentre: dc, Control: true})
	}
	for _, s := range l.Services {
		for i := range s.Servers {
			name := fmt.Sprintf("%s-%d", s.Name, i+1)
			d := &Daemon{VM: ident.VM(name), DataCentre: l.DataCentres[i%len(l.DataCentres)]}
			d.Stub = &Stub{Service: s, Upstream: ident.Upstream(name), Daemon: d}
			f.Daemons = append(f.Daemons, d)
			f.Stubs = append(f.Stubs, d.Stub)
		}
	}
}

var listenerNames = []string{"caller", "peer", "control", "local", "admin"}

func (f *Fleet) assignPorts() error {
	block, err := processBlock()
	if err != nil {
		return err
	}
	addresses, err := block.freeAddresses(len(f.Daemons)*len(listenerNames) + len(f.Stubs))
	if err != nil {
		return err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	for _, d := range f.Daemons {
		d.Addresses = map[string]string{}
		for _, name := range listenerNames {
			d.Addresses[name] = next()
		}
	}
	for _, s := range f.Stubs {
		s.Address = next()
	}
	return nil
}

// settings returns the settings file of a daemon.
func (f *Fleet) settings(d *Daemon, tokenDigest string) string {
	var b strings.Builder
	role := "upstream"
	if d.Control {
		role = "control"
	}
	fmt.Fprintf(&b, "[daemon]\nvm = %s\ndata_centre = %s\nrole = %s\n", d.VM, d.DataCentre, role)
	if d.Control {
		fmt.Fprintf(&b, "data_folder = %s\n", filepath.Join(f.Dir, "data", string(d.VM)))
	}
	if f.layout.Mode != "" {
		fmt.Fprintf(&b, "mode = %s\n", f.layout.Mode)
	}
	b.WriteString("\n[listen]\n")
	for _, name := range listenerNames {
		fmt.Fprintf(&b, "%s = %s\n", name, d.Addresses[name])
	}
	fmt.Fprintf(&b, "\n[control]\nvoters = %s\n", strings.Join(f.voters(), ", "))
	fmt.Fprintf(&b, "\n[trace]\nexporter = file\nfile = %s\nsample = %g\n", filepath.Join(f.Dir, string(d.VM)+".spans"), f.layout.TraceSample)
	fmt.Fprintf(&b, "\n[operator trial]\ntoken_sha256 = %s\nrole = administer\n", tokenDigest)
	return b.String()
}

func (f *Fleet) voters() []string {
	var voters []string
	for _, d := range f.Daemons {
		if d.Control {
			voters = append(voters, string(d.VM)+"="+d.Addresses["control"])
		}
	}
	return voters
}

// processes lists the processes, one a line: name and arguments, separated by tabs.
func (f *Fleet) processes() string {
	var b strings.Builder
	for _, d := range f.Daemons {
		fmt.Fprintf(&b, "%s\tdaemon\t--config=%s\n", d.VM, filepath.Join(f.Dir, string(d.VM)+".ini"))
	}
	for i, s := range f.Stubs {
		fmt.Fprintf(&b, "upstream-%s\t%s\n", s.Upstream, strings.Join(f.stubArgs(s, i), "\t"))
	}
	return b.String()
}

func (f *Fleet) stubArgs(s *Stub, i int) []string {
	args := []string{
		"upstream", "--service=" + string(s.Service.Name), "--upstream=" + string(s.Upstream), "--address=" + s.Address,
		"--daemon=" + s.Daemon.Addresses["local"], fmt.Sprintf("--slots=%d", s.Service.Slots),
		fmt.Sprintf("--connections=%d", s.Service.MaxOpenCalls), "--mean=" + s.Service.MeanServiceTime.String(), fmt.Sprintf("--seed=%d", i+1),
	}
	for _, c := range s.Service.Calls {
		args = append(args, "--call="+c)
	}
	for _, other := range f.Stubs {
		if other.Daemon.DataCentre == s.Daemon.DataCentre {
			args = append(args, fmt.Sprintf("--direct=/%s=%s", other.Service.Name, other.Address))
		}
	}
	return args
}

// environment returns the environment variables for the scripts that run the
// operator's commands.
func (f *Fleet) environment() string {
	var servers []string
	for _, d := range f.Daemons {
		if d.Control {
			servers = append(servers, d.Addresses["admin"])
		}
	}
	return fmt.Sprintf("CHICORYMAST_SERVER=%s\nCHICORYMAST_TOKEN_FILE=%s\nTENANTS=%q\nDAEMONS=%d\n",
		strings.Join(servers, ","), filepath.Join(f.Dir, "token"), f.workspaceNames(), len(f.Daemons))
}

func (f *Fleet) workspaceNames() string {
	var names []string
	for _, w := range f.layout.Workspaces {
		names = append(names, string(w.Name))
	}
	return strings.Join(names, " ")
}
