package config

import (
	"math"
	"time"
)

// Calls is the section [calls].
type Calls struct {
	// ReplayLimit is the largest request body in bytes that is buffered so that
	// the call can be retried, and the largest response to an idempotent call that
	// is received completely before it is passed on.
	ReplayLimit int `ini:"replay_limit"`
	// AnswerLimit is the largest response in bytes that is stored in the record
	// of an action.
	AnswerLimit int `ini:"answer_limit"`
	// ProgressTimeout limits the time that a caller sends no data while its request
	// body is read.
	ProgressTimeout time.Duration `ini:"progress_timeout"`
	// ConnectTimeout limits the time to establish a connection.
	ConnectTimeout time.Duration `ini:"connect_timeout"`
	// HeaderLimit is the maximum size in bytes of a request header, and of the header
	// of an upstream's response.
	HeaderLimit int `ini:"header_limit"`
	// HeaderTimeout limits the time that a caller takes to send the request header.
	HeaderTimeout time.Duration `ini:"header_timeout"`
	// HeaderMemoryMB is the memory in MB that the headers of all requests and responses may
	// take at once, parsed and with their copies; zero stands for a part of the memory limit.
	HeaderMemoryMB float64 `ini:"header_memory_mb"`
	// RetryRatio and RetrySlack set the retry budget of each service for the whole
	// fleet: RetryRatio retries are added for each successful call, and up to
	// RetrySlack unused retries are saved. Each daemon enforces its share.
	RetryRatio float64 `ini:"retry_ratio"`
	RetrySlack float64 `ini:"retry_slack"`
	// RetryWindow is the period in which RetryRatio and RetrySlack hold. If it is above
	// zero, retries are earned by calls that are sent for the first time, not by successes,
	// and each daemon has the whole ratio.
	RetryWindow time.Duration `ini:"retry_window"`
	// PlaceTrees lets calls run in another data centre where the calls that their runs
	// make would otherwise go there one by one.
	PlaceTrees bool `ini:"place_trees"`
	// Connections is the maximum number of open connections on the caller listener.
	Connections int `ini:"connections"`
}

func defaultCalls() Calls {
	return Calls{
		ReplayLimit:     64 << 10,
		AnswerLimit:     64 << 10,
		ProgressTimeout: 10 * time.Second,
		ConnectTimeout:  time.Second,
		HeaderLimit:     32 << 10,
		HeaderTimeout:   5 * time.Second,
		RetryRatio:      0.1,
		RetrySlack:      100,
		Connections:     4096,
	}
}

func (c *Calls) check(*Config) (key, problem string) {
	switch {
	case c.ReplayLimit < 0:
		return "replay_limit", "can't be below zero"
	case c.AnswerLimit < 0:
		return "answer_limit", "can't be below zero"
	case c.ProgressTimeout <= 0:
		return "progress_timeout", "must be above zero"
	case c.ConnectTimeout <= 0:
		return "connect_timeout", "must be above zero"
	case c.RetryRatio < 0 || c.RetryRatio > 1:
		return "retry_ratio", "must be between 0 and 1"
	case !(c.RetrySlack >= 0) || math.IsInf(c.RetrySlack, 1):
		return "retry_slack", "must be a number of at least zero"
	case c.RetryWindow < 0:
		return "retry_window", "can't be below zero"
	case c.Connections < 1:
		return "connections", "must be at least 1"
	}
	return c.checkHeaders()
}

func (c *Calls) checkHeaders() (key, problem string) {
	switch {
	case c.HeaderLimit < 1024:
		return "header_limit", "must be at least 1024 bytes"
	case !(c.HeaderMemoryMB >= 0 && c.HeaderMemoryMB <= maxMemoryLimitMB):
		return "header_memory_mb", "must be 0 or the memory in MB"
	case c.HeaderTimeout <= 0:
		return "header_timeout", "must be above zero"
	}
	return "", ""
}

const (
	// headerShare is the part of the memory limit that headers may take. Some 5,000 requests
	// with ordinary headers at once take less of a limit of 184 MB.
	headerShare = 0.25
	// unlimitedHeaderMemoryMB is what headers may take if no memory limit is known.
	unlimitedHeaderMemoryMB = 256
)

// HeaderMemory returns the memory in bytes that the headers of all messages may take.
func (c *Config) HeaderMemory() int64 {
	mb := c.Calls.HeaderMemoryMB
	if mb == 0 {
		mb = c.Daemon.MemoryLimitMB * headerShare
	}
	if mb == 0 {
		mb = unlimitedHeaderMemoryMB
	}
	return int64(mb * (1 << 20))
}
