package dedup

// Vote counts the replies of a group's replicas to one claim.
type Vote struct {
	replicas    int
	fingerprint Fingerprint
	granted     int
	held        []Record
}

// NewVote returns a vote on a claim that was sent to the given number of replicas.
func NewVote(replicas int, fp Fingerprint) *Vote {
	return &Vote{replicas: replicas, fingerprint: fp}
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

// Verdict returns the verdict, or nil while further replies may change it. Final
// means that no further replies will arrive.
func (v *Vote) Verdict(final bool) Verdict {
	if v.granted > v.replicas/2 {
		return Run{}
	}
	for _, r := range v.held {
		if r.Fingerprint != v.fingerprint {
			return Conflict{}
		}
		if r.Phase == PhaseDone {
			return Replay{Response: r.Response}
		}
	}
	if !final {
		return nil
	}
	return v.finalVerdict()
}

// finalVerdict decides without a majority of grants. If another run is in
// progress, its response may still become available, so the verdict is to wait.
func (v *Vote) finalVerdict() Verdict {
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
