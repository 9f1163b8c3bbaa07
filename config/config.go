// Package config loads and validates the settings of a daemon, which are one INI
// file. Each section has a struct and a source file with its default values.
//
// # Usage
//
//	cfg, err := config.Load("/etc/chicorymast/daemon.ini")
//	if err != nil { ... }   // the error names file, section and key; commands exit with code 2
//
// contrib/daemon.ini is a commented example that the tests load.
package config

import (
	"os"
	"strings"

	"chicorymast/core/fault"
	"chicorymast/core/schema"

	"gopkg.in/ini.v1"
)

// Config is the settings of one daemon.
type Config struct {
	// File is the path of the settings file; errors name it.
	File string

	Daemon    Daemon
	Listen    Listen
	Control   Control
	Calls     Calls
	Admission Admission
	CutOff    CutOff
	Rates     Rates
	Log       Log
	Trace     Trace
	Security  Security
	Platform  Platform
	Operators map[string]Operator
}

// section is a section of the settings. check returns the first invalid key and
// the reason, or an empty problem when the section is valid.
type section interface {
	check(c *Config) (key, problem string)
}

// Default returns the settings that an empty file stands for. They are not valid
// by themselves, since the VM, the data centre and others have no default value.
func Default() Config {
	return Config{
		Daemon:    defaultDaemon(),
		Calls:     defaultCalls(),
		Admission: defaultAdmission(),
		CutOff:    defaultCutOff(),
		Rates:     defaultRates(),
		Log:       defaultLog(),
		Trace:     defaultTrace(),
		Operators: map[string]Operator{},
	}
}

// Load reads, parses and validates a settings file. Errors are *schema.Error
// values with file, section and key.
func Load(path string) (cfg Config, err error) {
	defer fault.Note(&err, "load settings")
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &schema.Error{File: path, Problem: "can't be read: " + err.Error()}
	}
	return Parse(path, data)
}

// Parse parses and validates settings. The name stands for the file in errors.
func Parse(name string, data []byte) (Config, error) {
	file, err := schema.Parse(name, data)
	if err != nil {
		return Config{}, err
	}
	cfg := Default()
	cfg.File = name
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		if err := cfg.decode(name, sec); err != nil {
			return Config{}, err
		}
	}
	return cfg, cfg.check()
}

func (c *Config) sections() map[string]section {
	return map[string]section{
		"daemon":    &c.Daemon,
		"listen":    &c.Listen,
		"control":   &c.Control,
		"calls":     &c.Calls,
		"admission": &c.Admission,
		"cut_off":   &c.CutOff,
		"rates":     &c.Rates,
		"log":       &c.Log,
		"trace":     &c.Trace,
		"security":  &c.Security,
		"platform":  &c.Platform,
	}
}

func (c *Config) decode(file string, sec *ini.Section) error {
	if label, ok := strings.CutPrefix(sec.Name(), "operator "); ok {
		return c.decodeOperator(file, strings.TrimSpace(label), sec)
	}
	dst, known := c.sections()[sec.Name()]
	if !known {
		return &schema.Error{File: file, Section: sec.Name(), Problem: "unknown section"}
	}
	return schema.Decode(file, sec, dst)
}

func (c *Config) check() error {
	order := []string{"daemon", "listen", "control", "calls", "admission", "cut_off", "rates", "log", "trace", "security", "platform"}
	sections := c.sections()
	for _, name := range order {
		if key, problem := sections[name].check(c); problem != "" {
			return &schema.Error{File: c.File, Section: name, Key: key, Problem: problem}
		}
	}
	return c.checkOperators()
}
