package config

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"chicorymast/core/ident"
)

// Control is the section [control].
type Control struct {
	// Voters are the first control daemons, as VM=IP:port of their control
	// address. They also serve as the addresses at which a daemon joins.
	Voters []string `ini:"voters"`
	// Seeds are further control addresses at which a daemon may join. Without
	// voters they are the first control daemons.
	Seeds []string `ini:"seeds"`
	// SeedPort takes the place of the port in every seed when it is not zero:
	// for a list of the same VMs' addresses for another purpose.
	SeedPort int `ini:"seed_port"`
	// Bootstrap lets empty folders found a set when the whole fleet is new.
	Bootstrap bool `ini:"bootstrap"`
	// Tolerate is how many control daemons may be lost at once: twice as many
	// and one more are voters, and the others stand by. With zero all vote.
	Tolerate int `ini:"tolerate"`
	// Join makes a control daemon with an empty data folder wait to be added.
	Join bool `ini:"join"`
}

// Voter is one configured control daemon.
type Voter struct {
	VM      ident.VM
	Address string
}

// VoterList returns the voters that the settings name.
func (c Control) VoterList() []Voter {
	voters := make([]Voter, 0, len(c.Voters))
	for _, text := range c.Voters {
		vm, address, _ := strings.Cut(text, "=")
		voters = append(voters, Voter{VM: ident.VM(vm), Address: address})
	}
	return voters
}

// JoinAddresses returns every address at which a daemon may join.
func (c Control) JoinAddresses() []string {
	var addresses []string
	for _, v := range c.VoterList() {
		addresses = append(addresses, v.Address)
	}
	return append(addresses, c.SeedAddresses()...)
}

// SeedAddresses returns the control addresses of the seeds.
func (c Control) SeedAddresses() []string {
	if c.SeedPort == 0 {
		return c.Seeds
	}
	addresses := make([]string, 0, len(c.Seeds))
	for _, seed := range c.Seeds {
		if ap, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, netip.AddrPortFrom(ap.Addr(), uint16(c.SeedPort)).String())
		}
	}
	return addresses
}

func (c *Control) checkSeeds() (key, problem string) {
	if len(c.Voters)+len(c.Seeds) == 0 {
		return "voters", "is missing: name at least one control daemon as VM=IP:port, or seeds"
	}
	for _, address := range c.Seeds {
		if problem := checkAddress(address); problem != "" {
			return "seeds", problem
		}
	}
	if c.SeedPort < 0 || c.SeedPort > math.MaxUint16 {
		return "seed_port", "is not a port"
	}
	const mostLost = 10
	if c.Tolerate < 0 || c.Tolerate > mostLost {
		return "tolerate", "must be between 0 and 10"
	}
	return "", ""
}

func (c *Control) check(cfg *Config) (key, problem string) {
	if key, problem := c.checkSeeds(); problem != "" {
		return key, problem
	}
	seen := map[string]bool{}
	for _, text := range c.Voters {
		vm, address, ok := strings.Cut(text, "=")
		if !ok || vm == "" {
			return "voters", fmt.Sprintf("%q is not VM=IP:port", text)
		}
		if problem := checkAddress(address); problem != "" {
			return "voters", problem
		}
		if seen[vm] || seen[address] {
			return "voters", fmt.Sprintf("%q names a VM or an address twice", text)
		}
		seen[vm], seen[address] = true, true
	}
	if len(c.Voters) > 0 && cfg.Daemon.Role == RoleControl && !c.Join && !seen[string(cfg.Daemon.VM)] {
		return "voters", fmt.Sprintf("does not name this control daemon, %s; set join = true to have it added later", cfg.Daemon.VM)
	}
	return "", ""
}
