package config

// Security is the section [security]. The certificates are for mutual TLS between
// daemons, on the listeners peer and control.
type Security struct {
	// AllowPlaintext permits unencrypted listeners on addresses other than
	// loopback.
	AllowPlaintext bool `ini:"allow_plaintext"`
	// CertFile and KeyFile are the daemon's certificate, which must list its IP
	// addresses, and private key. CAFile is the CA certificate of the fleet. All
	// are PEM files.
	CertFile string `ini:"cert_file"`
	KeyFile  string `ini:"key_file"`
	CAFile   string `ini:"ca_file"`
}

// TLS reports whether the certificates for TLS are configured.
func (s Security) TLS() bool {
	return s.CertFile != "" && s.KeyFile != "" && s.CAFile != ""
}

func (s *Security) check(*Config) (key, problem string) {
	none := s.CertFile == "" && s.KeyFile == "" && s.CAFile == ""
	if !none && !s.TLS() {
		return "cert_file", "cert_file, key_file and ca_file must be set together"
	}
	return "", ""
}

// checkPlaintext rejects an unencrypted listener for other daemons on an address
// outside loopback.
func (s *Security) checkPlaintext(address string) (problem string) {
	if s.AllowPlaintext || s.TLS() || isLoopback(address) {
		return ""
	}
	return "is not a loopback address; configure certificates or set allow_plaintext = true in [security]"
}
