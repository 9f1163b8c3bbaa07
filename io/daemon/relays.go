package daemon

import (
	"slices"

	"chicorymast/config"
	"chicorymast/core/member"
	"chicorymast/core/rendez"
)

// standIns is how many VMs of a data centre may stand in as relay there.
const standIns = 3

// relays lists where this daemon may synchronise, the best first: the relays
// that the settings name, those of the own data centre before the others; in
// a data centre where none of these answers, the first VMs in rendezvous
// order stand in. A stand-in itself asks the relays elsewhere, and at last
// itself, so that a data centre that is cut off keeps its members.
func (d *Daemon) relays() []string {
	cfg := d.Config()
	if cfg.Daemon.Role == config.RoleControl {
		return []string{cfg.Listen.Control}
	}
	named := cfg.Control.JoinAddresses()
	near, far := d.splitByDistance(named)
	out := slices.Concat(near, d.standInsAbove(named), far)
	return append(out, cfg.Listen.Control)
}

// splitByDistance parts relays into those known to be in the own data centre
// and all others.
func (d *Daemon) splitByDistance(addresses []string) (near, far []string) {
	inside := map[string]bool{}
	for _, e := range d.board.Members.Read().Entries {
		if e.DataCentre == d.Config().Daemon.DataCentre {
			inside[e.Addresses.Control] = true
		}
	}
	for _, address := range addresses {
		if inside[address] {
			near = append(near, address)
			continue
		}
		far = append(far, address)
	}
	return near, far
}

// standInsAbove lists the stand-ins of this data centre that come before this
// VM, so that two never synchronise with each other.
func (d *Daemon) standInsAbove(named []string) []string {
	cfg := d.Config()
	members := d.board.Members.Read()
	var out []string
	for _, vm := range rendez.Top("relay", members.ByDataCentre[cfg.Daemon.DataCentre], standIns) {
		if vm == cfg.Daemon.VM {
			break
		}
		if address := members.ByVM[vm].Addresses.Control; !slices.Contains(named, address) {
			out = append(out, address)
		}
	}
	return out
}

// allRelays lists every relay that is known: named or acting.
func (d *Daemon) allRelays() []string {
	out := slices.Clone(d.Config().Control.JoinAddresses())
	for _, e := range d.board.Members.Read().Entries {
		if e.Relay && e.Phase != member.PhaseGone && !slices.Contains(out, e.Addresses.Control) {
			out = append(out, e.Addresses.Control)
		}
	}
	return out
}

func (d *Daemon) otherRelays() []string {
	own := d.Config().Listen.Control
	return slices.DeleteFunc(d.allRelays(), func(address string) bool { return address == own })
}
