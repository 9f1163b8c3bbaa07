package config

import (
	"fmt"
	"net/netip"
)

// Listen is the section [listen]; every address is IP:port.
type Listen struct {
	// Caller accepts calls from outside the fleet; optional for a control daemon.
	Caller string `ini:"caller"`
	// Peer accepts calls that other daemons forward; optional for a control daemon.
	Peer string `ini:"peer"`
	// Control accepts control messages from other daemons.
	Control string `ini:"control"`
	// Local accepts announcements and calls from the upstream on this VM; optional
	// for a control daemon and where the upstream is announced by the platform.
	Local string `ini:"local"`
	// Admin serves the administration API and the metrics; optional.
	Admin string `ini:"admin"`
}

// keyedAddress is the address of a listener with its key in the settings.
type keyedAddress struct{ key, value string }

func (l *Listen) all() []keyedAddress {
	return []keyedAddress{
		{"caller", l.Caller}, {"peer", l.Peer}, {"control", l.Control}, {"local", l.Local}, {"admin", l.Admin},
	}
}

func (l *Listen) check(c *Config) (key, problem string) {
	keyOf := map[string]string{}
	for _, a := range l.all() {
		if a.value == "" && l.optional(c, a.key) {
			continue
		}
		if problem := checkAddress(a.value); problem != "" {
			return a.key, problem
		}
		if other, dup := keyOf[a.value]; dup {
			return a.key, fmt.Sprintf("%s is already used for %s", a.value, other)
		}
		keyOf[a.value] = a.key
		if problem := checkExposure(c, a); problem != "" {
			return a.key, problem
		}
	}
	if l.Local != "" && !isLoopback(l.Local) {
		return "local", "must be a loopback address, since it serves the upstream on this VM only"
	}
	return "", ""
}

// optional reports whether the listener with this key may be left out.
func (l *Listen) optional(c *Config, key string) bool {
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

// checkExposure rejects an address outside loopback for listeners that would
// carry traffic between daemons or operators' tokens without TLS. The caller
// listener may have any address.
func checkExposure(c *Config, a keyedAddress) (problem string) {
	switch a.key {
	case "peer", "control":
		return c.Security.checkPlaintext(a.value)
	case "admin":
		if !c.Security.AllowPlaintext && !isLoopback(a.value) {
			return "is not a loopback address, so operators' tokens would be sent unencrypted; use a tunnel, or set allow_plaintext = true in [security]"
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

func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}
