package config

import (
	"fmt"
	"net/netip"
)

// Listen is the section [listen]; every address is IP:port.
type Listen struct {
	// Caller takes calls from outside; a control daemon may go without.
	Caller string `ini:"caller"`
	// Peer takes calls from other daemons; a control daemon may go without.
	Peer string `ini:"peer"`
	// Control takes messages from other daemons.
	Control string `ini:"control"`
	// Local takes announcements and calls from the upstream on this VM; it may
	// be empty where the upstream announces itself through a platform.
	Local string `ini:"local"`
	// Admin serves the administration API and the metrics; it may be empty.
	Admin string `ini:"admin"`
}

type keyed struct{ key, value string }

func (l *Listen) all() []keyed {
	return []keyed{
		{"caller", l.Caller}, {"peer", l.Peer}, {"control", l.Control}, {"local", l.Local}, {"admin", l.Admin},
	}
}

func (l *Listen) check(c *Config) (key, problem string) {
	taken := map[string]string{}
	for _, a := range l.all() {
		if a.value == "" && l.mayLack(c, a.key) {
			continue
		}
		if problem := checkAddress(a.value); problem != "" {
			return a.key, problem
		}
		if other, dup := taken[a.value]; dup {
			return a.key, fmt.Sprintf("%s is already the address of %s", a.value, other)
		}
		taken[a.value] = a.key
		if problem := checkReach(c, a); problem != "" {
			return a.key, problem
		}
	}
	if l.Local != "" && !loopback(l.Local) {
		return "local", "must be a loopback address: it serves this VM's upstream only"
	}
	return "", ""
}

// mayLack reports whether a listener may be left out.
func (l *Listen) mayLack(c *Config, key string) bool {
	switch key {
	case "admin":
		return true
	case "caller", "peer":
		return c.Daemon.Role == RoleControl
	case "local":
		return c.Daemon.Role == RoleControl || c.Platform.Enabled()
	}
	return false
}

// checkReach refuses listeners that anyone could reach without TLS. Callers may
// come from anywhere; operators' tokens may not travel in the open.
func checkReach(c *Config, a keyed) (problem string) {
	switch a.key {
	case "peer", "control":
		return c.Security.checkPlaintext(a.value)
	case "admin":
		if !c.Security.AllowPlaintext && !loopback(a.value) {
			return "is not a loopback address; operators' tokens would travel in the open. Use a tunnel, or allow_plaintext = true in [security]"
		}
	}
	return ""
}

func checkAddress(text string) (problem string) {
	if text == "" {
		return "is missing"
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port", text)
	}
	if ap.Port() == 0 {
		return fmt.Sprintf("%q has no port", text)
	}
	return ""
}

func loopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}
