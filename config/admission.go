package config

import (
	"math"
	"time"
)

// maxWarmupOverrun is the largest overrun; a larger one would not protect any upstream.
const maxWarmupOverrun = 100

// Admission is the section [admission].
type Admission struct {
	// QueuePerSlot is the queue length per slot of the upstream.
	QueuePerSlot float64 `ini:"queue_per_slot"`
	// SlotShare is the share of the upstream's slots that calls may take. Below
	// 1 it keeps an upstream that slows down when it is nearly full at its best
	// speed, and leaves slots for health checks and new connections.
	SlotShare float64 `ini:"slot_share"`
	// RunQueueTarget is the delay of the daemon's own run queue up to which its processor
	// time counts as no bottleneck. Zero turns the measurement off.
	RunQueueTarget time.Duration `ini:"run_queue_target"`
	// WarmupOverrun and WarmupSlack bound the calls that a cold upstream gets in any
	// second: WarmupOverrun times the warm-up rate of its service and WarmupSlack calls
	// more. An overrun of zero means that cold upstreams are treated like others.
	WarmupOverrun float64 `ini:"warmup_overrun"`
	WarmupSlack   float64 `ini:"warmup_slack"`
	// Ramp lets the concurrency of an upstream that has started or recovered begin low and
	// rise as its calls succeed.
	Ramp bool `ini:"ramp"`
	// LearnAcceptance lets entries refuse a part of the calls whose trees can't end well,
	// as upstreams reject a share of their calls without running them.
	LearnAcceptance bool `ini:"learn_acceptance"`
}

func defaultAdmission() Admission {
	return Admission{QueuePerSlot: 1, SlotShare: 1}
}

// QueueLength returns the maximum number of queued calls for an upstream with
// this many slots; it is at least 1.
func (a Admission) QueueLength(slots int) int {
	return max(1, int(a.QueuePerSlot*float64(slots)))
}

// UsableSlots returns the number of an upstream's slots that calls may take; it is
// at least 1.
func (a Admission) UsableSlots(slots int) int {
	return max(1, int(a.SlotShare*float64(slots)))
}

func (a *Admission) check(*Config) (key, problem string) {
	if a.QueuePerSlot < 0 || a.QueuePerSlot > 100 {
		return "queue_per_slot", "must be between 0 and 100"
	}
	if !(a.SlotShare > 0 && a.SlotShare <= 1) {
		return "slot_share", "must be above 0 and at most 1"
	}
	if a.RunQueueTarget < 0 || a.RunQueueTarget > time.Second {
		return "run_queue_target", "must be between 0 and 1s"
	}
	if !(a.WarmupOverrun >= 0 && a.WarmupOverrun <= maxWarmupOverrun) {
		return "warmup_overrun", "must be between 0 and 100"
	}
	if !(a.WarmupSlack >= 0) || math.IsInf(a.WarmupSlack, 1) {
		return "warmup_slack", "must be a number of at least zero"
	}
	return "", ""
}
