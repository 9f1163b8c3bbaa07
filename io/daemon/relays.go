package daemon

import (
	"cmp"
	"slices"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/rendez"
)

const (
	// topFallbacks is the number of fallback relays in a data centre that sync with
	// relays of other data centres when no control daemon of their own can be reached.
	topFallbacks = 3
	// daemonsPerFallback is the number of daemons per fallback relay; it keeps each
	// relay within the resources that a daemon may use.
	daemonsPerFallback = 50
)

// relays lists the control addresses of the relays that this daemon may sync with,
// in the order in which they are tried; the last one is this daemon itself, so that a
// data centre that is cut off keeps its members. Of any two daemons at most one lists
// the other: two that sync with each other would renew lost members for ever, and no
// other relay would hear of their members.
//
// A seed syncs with itself only, and any other control daemon with the seeds, then
// with the control daemons before it in the order of their VMs. All other daemons sync
// with control daemons of their own data centre, configured or announced, then with
// the fallback relays of the data centre, which are its first VMs in rendezvous order,
// then with the other control daemons.
func (d *Daemon) relays() []string {
	cfg := d.Config()
	own := cfg.Listen.Control
	if d.isSeed() {
		return []string{own}
	}
	if cfg.Daemon.Role == config.RoleControl {
		return append(d.controlsBefore(cfg.Daemon.VM), own)
	}
	local, remote := d.splitByDataCentre(d.controls())
	addresses := slices.Concat(local, d.fallbackAddresses(d.controls()), remote)
	return append(addresses, own)
}

// isSeed reports whether the settings name this daemon among those to join through.
func (d *Daemon) isSeed() bool {
	cfg := d.Config()
	return slices.Contains(cfg.Control.JoinAddresses(), cfg.Listen.Control)
}

// controlsBefore lists the seeds, then the control daemons before a VM in the order of
// their VMs.
func (d *Daemon) controlsBefore(vm ident.VM) []string {
	addresses := slices.Clone(d.Config().Control.JoinAddresses())
	var before []member.Entry
	for _, e := range d.board.Members.Read().Entries {
		if e.Control && e.Phase != member.PhaseGone && e.VM < vm && !slices.Contains(addresses, e.Addresses.Control) {
			before = append(before, e)
		}
	}
	slices.SortFunc(before, func(x, y member.Entry) int { return cmp.Compare(x.VM, y.VM) })
	for _, e := range before {
		addresses = append(addresses, e.Addresses.Control)
	}
	return addresses
}

// rootRelay reports whether this daemon pulls the members from all other relays: a
// seed, and a control daemon that finds no other to sync with.
func (d *Daemon) rootRelay() bool {
	cfg := d.Config()
	return d.isSeed() || (cfg.Daemon.Role == config.RoleControl && d.agent.Relay() == cfg.Listen.Control)
}

// splitByDataCentre divides relays into those known to be in this data centre and
// all others.
func (d *Daemon) splitByDataCentre(addresses []string) (local, remote []string) {
	isLocal := map[string]bool{}
	for _, e := range d.board.Members.Read().Entries {
		if e.DataCentre == d.Config().Daemon.DataCentre {
			isLocal[e.Addresses.Control] = true
		}
	}
	for _, address := range addresses {
		if isLocal[address] {
			local = append(local, address)
			continue
		}
		remote = append(remote, address)
	}
	return local, remote
}

// fallbackRelays lists the fallback relays of this data centre in rendezvous order, and
// the position of this VM among them, or -1 if it is none of them.
func (d *Daemon) fallbackRelays() (vms []ident.VM, rank int) {
	cfg := d.Config()
	live := d.board.Members.Read().ByDataCentre[cfg.Daemon.DataCentre]
	vms = rendez.Top("relay", live, max(topFallbacks, len(live)/daemonsPerFallback))
	return vms, slices.Index(vms, cfg.Daemon.VM)
}

// fallbackAddresses lists the fallback relays that this VM may sync with, without the
// control daemons. No two fallback relays sync with each other: one of the top ones
// uses those before it, the others use the top ones. Any other VM uses an order of
// its own, which spreads the load.
func (d *Daemon) fallbackAddresses(controls []string) []string {
	vms, rank := d.fallbackRelays()
	switch {
	case rank >= topFallbacks:
		vms = vms[:topFallbacks]
	case rank >= 0:
		vms = vms[:rank]
	default:
		vms = rendez.Order("relay/"+string(d.Config().Daemon.VM), vms)
	}
	members := d.board.Members.Read()
	var addresses []string
	for _, vm := range vms {
		if address := members.ByVM[vm].Addresses.Control; !slices.Contains(controls, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// allRelays lists all known relays: those of the settings and those announced as active.
func (d *Daemon) allRelays() []string {
	addresses := slices.Clone(d.Config().Control.JoinAddresses())
	for _, e := range d.board.Members.Read().Entries {
		if e.Relay && e.Phase != member.PhaseGone && !slices.Contains(addresses, e.Addresses.Control) {
			addresses = append(addresses, e.Addresses.Control)
		}
	}
	return addresses
}

// otherRelays lists the relays that this relay pulls from. A root relay pulls from all
// and any other control daemon from none: it learns the members from the relay that it
// syncs with. A top fallback relay pulls from those in its data centre, so that they
// know each other's daemons while the data centre is cut off, and learns the rest from
// the relay that it syncs with. Others pull from none.
func (d *Daemon) otherRelays() []string {
	cfg := d.Config()
	own := cfg.Listen.Control
	all := slices.DeleteFunc(d.allRelays(), func(address string) bool { return address == own })
	if d.rootRelay() {
		return all
	}
	if cfg.Daemon.Role == config.RoleControl {
		return nil
	}
	if _, rank := d.fallbackRelays(); rank < 0 || rank >= topFallbacks {
		return nil
	}
	local, _ := d.splitByDataCentre(all)
	return local
}

// controls lists the control addresses of all known control daemons: first those of
// the settings, then those announced.
func (d *Daemon) controls() []string {
	addresses := slices.Clone(d.Config().Control.JoinAddresses())
	for _, e := range d.board.Members.Read().Entries {
		if e.Control && e.Phase != member.PhaseGone && !slices.Contains(addresses, e.Addresses.Control) {
			addresses = append(addresses, e.Addresses.Control)
		}
	}
	return addresses
}

// autoJoin returns the function that lists the control daemons which a control
// daemon may ask to add it, or nil if operators add control daemons.
func (d *Daemon) autoJoin() func() []string {
	if len(d.Config().Control.Voters) > 0 {
		return nil
	}
	return d.controls
}
