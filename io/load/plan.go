// Package load generates open-loop load: it sends calls with Poisson arrivals and
// records their outcomes and latencies. A call starts when it is due even if earlier
// ones are still open, and its latency counts from then, which avoids coordinated
// omission.
//
// # Usage
//
//	plan, err := load.ParsePlan("load.ini", data, os.ReadFile)
//	result := load.Run(ctx, plan)
//	fmt.Println(result.Total.Successes, "of", result.Total.Offered)
//
// Rates are in calls per second. A call succeeds when it gets a complete response
// with status 200 whose body has the path of the call.
package load

import (
	"strings"
	"time"

	"chicorymast/core/schema"

	"gopkg.in/ini.v1"
)

// Plan is a load plan.
type Plan struct {
	Load    Settings
	Streams []Stream
}

// Settings is the section [load].
type Settings struct {
	// Targets are the addresses that receive the calls, in round-robin order.
	Targets  []string      `ini:"targets"`
	Duration time.Duration `ini:"duration"`
	Timeout  time.Duration `ini:"timeout"`
	// Retries is the maximum number of client retries of a failed call.
	Retries int `ini:"retries"`
	// Backoff is the delay before the first retry; it doubles with each retry. With
	// zero, clients retry immediately.
	Backoff time.Duration `ini:"backoff"`
	// The rates are multiplied by SurgeFactor for the time SurgeFor, beginning at
	// SurgeAt after the start.
	SurgeAt     time.Duration `ini:"surge_at"`
	SurgeFor    time.Duration `ini:"surge_for"`
	SurgeFactor float64       `ini:"surge_factor"`
	// Direct makes stub upstreams send their child calls to each other without
	// daemons; Targets are then stub upstreams.
	Direct bool `ini:"direct"`
	Seed   int  `ini:"seed"`
	// MaxInFlight limits the number of open calls. A call that is due while the limit
	// is reached is not sent.
	MaxInFlight int `ini:"in_flight"`
}

// Stream is a section [stream NAME]: calls of a workspace to one path.
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
	// GrantRate and GrantBurst are the rate and burst of the workspace's grant; they
	// decide which calls conform to it.
	GrantRate  float64 `ini:"grant_rate"`
	GrantBurst float64 `ini:"grant_burst"`
	// SurgeOnly limits the surge to the streams that set it; if none does, the surge
	// applies to all streams.
	SurgeOnly bool `ini:"surge_only"`
	// Key is the workspace's key, read from KeyFile.
	Key string
}

// ParsePlan parses a load plan and reads the key files with readFile. Errors are
// *schema.Error values with file, section and key.
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
		return Plan{}, &schema.Error{File: name, Problem: "has no section [stream NAME]"}
	}
	return p, nil
}

func (p *Plan) decode(file string, sec *ini.Section, readFile func(string) ([]byte, error)) error {
	name, isStream := strings.CutPrefix(sec.Name(), "stream ")
	switch {
	case sec.Name() == "load":
		return schema.Decode(file, sec, &p.Load)
	case !isStream:
		return &schema.Error{File: file, Section: sec.Name(), Problem: "unknown section"}
	}
	s := Stream{Name: name, Method: "GET", Idempotent: true}
	if err := schema.Decode(file, sec, &s); err != nil {
		return err
	}
	if s.Path == "" || s.Rate <= 0 {
		return &schema.Error{File: file, Section: sec.Name(), Problem: "must have a path and a rate above zero"}
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
