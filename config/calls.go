package config

import "time"

// Calls is the section [calls].
type Calls struct {
	// ReplayLimit is the largest request body in bytes that is kept for a retry.
	ReplayLimit int `ini:"replay_limit"`
	// AnswerLimit is the largest answer in bytes that is kept for an action.
	AnswerLimit int `ini:"answer_limit"`
	// ProgressTimeout is how long a peer may stay silent in the middle of a call.
	ProgressTimeout time.Duration `ini:"progress_timeout"`
	// ConnectTimeout is how long a new connection may take.
	ConnectTimeout time.Duration `ini:"connect_timeout"`
	// HeaderLimit is the largest request header in bytes.
	HeaderLimit int `ini:"header_limit"`
	// HeaderTimeout is how long a caller may take to send its header.
	HeaderTimeout time.Duration `ini:"header_timeout"`
	// RetryRatio and RetrySlack bound the repetitions towards each service over
	// the whole fleet: a share of its calls, and a number besides that is saved
	// up. Every daemon keeps to its part of both.
	RetryRatio float64 `ini:"retry_ratio"`
	RetrySlack int     `ini:"retry_slack"`
	// Connections is how many connections the caller's listener takes.
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
	case c.HeaderLimit < 1024:
		return "header_limit", "must be at least 1024 bytes"
	case c.HeaderTimeout <= 0:
		return "header_timeout", "must be above zero"
	case c.RetryRatio < 0 || c.RetryRatio > 1:
		return "retry_ratio", "must be between 0 and 1"
	case c.RetrySlack < 0:
		return "retry_slack", "can't be below zero"
	case c.Connections < 1:
		return "connections", "must be at least 1"
	}
	return "", ""
}
