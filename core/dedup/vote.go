package dedup

// Vote counts the replies of a group's replicas to one claim.
type Vote struct {
	replicas int
	print    Fingerprint
	granted  int
	held     []Record
}

// NewVote returns a vote among so many replicas.
func NewVote(replicas int, fp Fingerprint) *Vote {
	return &Vote{replicas: replicas, print: fp}
}

// Add counts one reply.
func (v *Vote) Add(r Reply) {
	if r.Granted {
		v.granted++
	}
	if r.Held != nil {
		v.held = append(v.held, *r.Held)
	}
}

// Verdict returns the verdict, or nil while more replies may change it.
// Final says that no more will come.
func (v *Vote) Verdict(final bool) Verdict {
	if v.granted > v.replicas/2 {
		return Run{}
	}
	for _, r := range v.held {
		if r.Fingerprint != v.print {
			return Conflict{}
		}
		if r.Phase == PhaseDone {
			return Replay{Response: r.Response}
		}
	}
	if !final {
		return nil
	}
	return v.last()
}

// last judges by what some replicas hold. A single run under way may still
// become known as done, so it is worth waiting for.
func (v *Vote) last() Verdict {
	running := false
	for _, r := range v.held {
		if r.Phase == PhaseUnknown {
			return Unknown{}
		}
		running = true
	}
	if running {
		return Wait{}
	}
	return Unreachable{}
}
