package config

// Security is the section [security].
type Security struct {
	// AllowPlaintext accepts traffic between daemons without TLS on addresses
	// other than loopback.
	AllowPlaintext bool `ini:"allow_plaintext"`
}

func (s *Security) check(*Config) (key, problem string) {
	return "", ""
}

func (s *Security) checkPlaintext(address string) (problem string) {
	if s.AllowPlaintext || loopback(address) {
		return ""
	}
	return "is not a loopback address; without TLS that needs allow_plaintext = true in [security]"
}
