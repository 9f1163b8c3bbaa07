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
	// Voters are the initial control daemons as VM=IP:port, with their control
	// address. Any daemon may also join the fleet through these addresses.
	Voters []string `ini:"voters"`
	// Seeds are further control addresses through which a daemon may join. Without
	// Voters they are the addresses of the initial control daemons.
	Seeds []string `ini:"seeds"`
	// SeedPort replaces the port of every seed unless it is zero, so that Seeds
	// can be an address list that was written for another service on these VMs.
	SeedPort int `ini:"seed_port"`
	// Bootstrap allows control daemons with empty data folders to form a new
	// cluster. It is meant for the first start of a fleet.
	Bootstrap bool `ini:"bootstrap"`
	// ToleratedFailures is the number f of simultaneous failures of control daemons to
	// survive: 2f+1 control daemons are voters and the others are learners on standby.
	// With zero all of them are voters.
	ToleratedFailures int `ini:"tolerate"`
	// Join makes a control daemon with an empty data folder wait until an operator
	// adds it to the cluster.
	Join bool `ini:"join"`
}

// Voter is one configured control daemon.
type Voter struct {
	VM      ident.VM
	Address string
}

// VoterList returns the parsed form of Voters.
func (c Control) VoterList() []Voter {
	voters := make([]Voter, 0, len(c.Voters))
	for _, text := range c.Voters {
		vm, address, _ := strings.Cut(text, "=")
		voters = append(voters, Voter{VM: ident.VM(vm), Address: address})
	}
	return voters
}

// JoinAddresses returns the control addresses through which a daemon may join:
// those of the voters, then the seeds.
func (c Control) JoinAddresses() []string {
	var addresses []string
	for _, v := range c.VoterList() {
		addresses = append(addresses, v.Address)
	}
	return append(addresses, c.SeedAddresses()...)
}

// SeedAddresses returns the control addresses of the seeds, with SeedPort applied.
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
		return "voters", "is missing: set at least one control daemon as VM=IP:port, or set seeds"
	}
	for _, address := range c.Seeds {
		if problem := checkAddress(address); problem != "" {
			return "seeds", problem
		}
	}
	if c.SeedPort < 0 || c.SeedPort > math.MaxUint16 {
		return "seed_port", "is not a valid port"
	}
	const maxTolerated = 10
	if c.ToleratedFailures < 0 || c.ToleratedFailures > maxTolerated {
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
			return "voters", fmt.Sprintf("%q repeats a VM or an address", text)
		}
		seen[vm], seen[address] = true, true
	}
	if len(c.Voters) > 0 && cfg.Daemon.Role == RoleControl && !c.Join && !seen[string(cfg.Daemon.VM)] {
		return "voters", fmt.Sprintf("does not include this control daemon, %s; set join = true to add it later", cfg.Daemon.VM)
	}
	return "", ""
}
