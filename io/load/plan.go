// Package load sends calls like many customers do and records what they got.
// Calls start when they are due, however late earlier ones are, and times
// count from when a call was due (no coordinated omission).
//
// # Usage
//
//	plan, err := load.ParsePlan("load.ini", data)
//	result := load.Run(ctx, plan)
//	report.Text(os.Stdout, result)
//
// Rates are in calls per second. A whole call is one that got a complete
// answer with status 200 that names its own path.
package load

import (
	"strings"
	"time"

	"chicorymast/core/schema"

	"gopkg.in/ini.v1"
)

// Plan is what to send.
type Plan struct {
	Load    Settings
	Streams []Stream
}

// Settings is the section [load].
type Settings struct {
	// Targets are the addresses that take calls, in turn.
	Targets  []string      `ini:"targets"`
	Duration time.Duration `ini:"duration"`
	Timeout  time.Duration `ini:"timeout"`
	// Retries is how often a customer sends a failed call again.
	Retries int `ini:"retries"`
	// Backoff is the pause before a customer's first retry; it doubles. Zero
	// means that customers retry at once.
	Backoff time.Duration `ini:"backoff"`
	// SurgeAt, SurgeFor and SurgeFactor multiply the rates for a while.
	SurgeAt     time.Duration `ini:"surge_at"`
	SurgeFor    time.Duration `ini:"surge_for"`
	SurgeFactor float64       `ini:"surge_factor"`
	// Direct calls the stand-ins without daemons.
	Direct bool `ini:"direct"`
	Seed   int  `ini:"seed"`
	// MaxInFlight bounds the calls that are open at once.
	MaxInFlight int `ini:"in_flight"`
}

// Stream is one section [stream NAME]: one workspace's calls of one kind.
type Stream struct {
	Name       string
	Workspace  string   `ini:"workspace"`
	KeyFile    string   `ini:"key_file"`
	Method     string   `ini:"method"`
	Path       string   `ini:"path"`
	Rate       float64  `ini:"rate"`
	Idempotent bool     `ini:"idempotent"`
	BodyBytes  int      `ini:"body"`
	Targets    []string `ini:"targets"`
	// GrantRate and GrantBurst are what the workspace may call; a call that
	// they allow is inside the rate.
	GrantRate  float64 `ini:"grant_rate"`
	GrantBurst float64 `ini:"grant_burst"`
	// SurgeOnly makes the plan's surge apply to this stream only when any
	// stream sets it.
	SurgeOnly bool `ini:"surge_only"`
	// Key is read from KeyFile.
	Key string
}

// ParsePlan reads a load plan; keys are read through readFile.
func ParsePlan(name string, data []byte, readFile func(string) ([]byte, error)) (Plan, error) {
	file, err := schema.Parse(name, data)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Load: Settings{Duration: 10 * time.Second, Timeout: 5 * time.Second, SurgeFactor: 1, MaxInFlight: 20000}}
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		if err := p.decode(name, sec, readFile); err != nil {
			return Plan{}, err
		}
	}
	if len(p.Streams) == 0 {
		return Plan{}, &schema.Error{File: name, Problem: "has no [stream NAME]"}
	}
	return p, nil
}

func (p *Plan) decode(file string, sec *ini.Section, readFile func(string) ([]byte, error)) error {
	label, isStream := strings.CutPrefix(sec.Name(), "stream ")
	switch {
	case sec.Name() == "load":
		return schema.Decode(file, sec, &p.Load)
	case !isStream:
		return &schema.Error{File: file, Section: sec.Name(), Problem: "unknown section"}
	}
	s := Stream{Name: label, Method: "GET", Idempotent: true}
	if err := schema.Decode(file, sec, &s); err != nil {
		return err
	}
	if s.Path == "" || s.Rate <= 0 {
		return &schema.Error{File: file, Section: sec.Name(), Problem: "needs a path and a rate above zero"}
	}
	if s.KeyFile != "" {
		key, err := readFile(s.KeyFile)
		if err != nil {
			return &schema.Error{File: file, Section: sec.Name(), Key: "key_file", Problem: err.Error()}
		}
		s.Key = strings.TrimSpace(string(key))
	}
	p.Streams = append(p.Streams, s)
	return nil
}
