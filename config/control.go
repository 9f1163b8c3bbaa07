package config

import (
	"fmt"
	"strings"

	"chicorymast/core/ident"
)

// Control is the section [control].
type Control struct {
	// Voters are the first control daemons, as VM=IP:port of their control
	// address. They also serve as the addresses at which a daemon joins.
	Voters []string `ini:"voters"`
	// Seeds are further control addresses at which a daemon may join.
	Seeds []string `ini:"seeds"`
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
	return append(addresses, c.Seeds...)
}

func (c *Control) check(cfg *Config) (key, problem string) {
	if len(c.Voters) == 0 {
		return "voters", "is missing: name at least one control daemon as VM=IP:port"
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
	for _, address := range c.Seeds {
		if problem := checkAddress(address); problem != "" {
			return "seeds", problem
		}
	}
	if cfg.Daemon.Role == RoleControl && !c.Join && !seen[string(cfg.Daemon.VM)] {
		return "voters", fmt.Sprintf("does not name this control daemon, %s; set join = true to have it added later", cfg.Daemon.VM)
	}
	return "", ""
}
