package config

// Security is the section [security]. Certificates secure the traffic between
// daemons: the listeners peer and control.
type Security struct {
	// AllowPlaintext accepts traffic between daemons without TLS on addresses
	// other than loopback.
	AllowPlaintext bool `ini:"allow_plaintext"`
	// CertFile and KeyFile are this daemon's certificate, which must name its
	// IPs, and its key. CAFile is the authority of the fleet. All in PEM.
	CertFile string `ini:"cert_file"`
	KeyFile  string `ini:"key_file"`
	CAFile   string `ini:"ca_file"`
}

// TLS reports whether certificates are set.
func (s Security) TLS() bool {
	return s.CertFile != "" && s.KeyFile != "" && s.CAFile != ""
}

func (s *Security) check(*Config) (key, problem string) {
	none := s.CertFile == "" && s.KeyFile == "" && s.CAFile == ""
	if !none && !s.TLS() {
		return "cert_file", "cert_file, key_file and ca_file go together"
	}
	return "", ""
}

// checkPlaintext refuses a listener for daemons that anyone could reach.
func (s *Security) checkPlaintext(address string) (problem string) {
	if s.AllowPlaintext || s.TLS() || loopback(address) {
		return ""
	}
	return "is not a loopback address; set certificates in [security], or allow_plaintext = true there"
}
