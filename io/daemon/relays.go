package daemon

import (
	"slices"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/rendez"
)

const (
	// topStandIns VMs of a data centre speak with the relays elsewhere when no
	// named relay is near.
	topStandIns = 3
	// perStandIn is how many daemons one stand-in serves, so that each stays
	// within what a daemon may spend.
	perStandIn = 50
)

// relays lists where this daemon may synchronise, the best first: the control
// daemons, those of the own data centre before the others, whether the settings
// name them or they have announced themselves; in a data centre where none of
// these answers, the first VMs in rendezvous
// order stand in. A stand-in itself asks the relays elsewhere, and at last
// itself, so that a data centre that is cut off keeps its members.
func (d *Daemon) relays() []string {
	cfg := d.Config()
	if slices.Contains(cfg.Control.JoinAddresses(), cfg.Listen.Control) {
		return []string{cfg.Listen.Control}
	}
	named := slices.DeleteFunc(d.controls(), func(a string) bool { return a == cfg.Listen.Control })
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

// standIns lists the stand-ins of this data centre in rendezvous order, and
// this VM's place among them; the place is -1 when it is none.
func (d *Daemon) standIns() (vms []ident.VM, place int) {
	cfg := d.Config()
	live := d.board.Members.Read().ByDataCentre[cfg.Daemon.DataCentre]
	vms = rendez.Top("relay", live, max(topStandIns, len(live)/perStandIn))
	return vms, slices.Index(vms, cfg.Daemon.VM)
}

// standInsAbove lists the stand-ins that this VM may ask, so that no two ask
// each other: a top one those before it, another one the top ones, and all
// others each in an order of their own, which spreads them.
func (d *Daemon) standInsAbove(named []string) []string {
	vms, place := d.standIns()
	switch {
	case place >= topStandIns:
		vms = vms[:topStandIns]
	case place >= 0:
		vms = vms[:place]
	default:
		vms = rendez.Order("relay/"+string(d.Config().Daemon.VM), vms)
	}
	members := d.board.Members.Read()
	var out []string
	for _, vm := range vms {
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

// otherRelays lists whom this relay pulls from. A named relay pulls from all;
// a top stand-in from the others in its data centre, so that they know each
// other's daemons while they are cut off; what is elsewhere it hears from the
// relay that it asks itself.
func (d *Daemon) otherRelays() []string {
	cfg := d.Config()
	own := cfg.Listen.Control
	all := slices.DeleteFunc(d.allRelays(), func(address string) bool { return address == own })
	if slices.Contains(cfg.Control.JoinAddresses(), own) {
		return all
	}
	if _, place := d.standIns(); place < 0 || place >= topStandIns {
		return nil
	}
	near, _ := d.splitByDistance(all)
	return near
}

// controls lists the control addresses of all known control daemons: those of
// the settings, then those that have announced themselves.
func (d *Daemon) controls() []string {
	out := slices.Clone(d.Config().Control.JoinAddresses())
	for _, e := range d.board.Members.Read().Entries {
		if e.Control && e.Phase != member.PhaseGone && !slices.Contains(out, e.Addresses.Control) {
			out = append(out, e.Addresses.Control)
		}
	}
	return out
}

// autoJoin returns where a control daemon asks to be taken in; nil where
// operators do that.
func (d *Daemon) autoJoin() func() []string {
	if len(d.Config().Control.Voters) > 0 {
		return nil
	}
	return d.controls
}
