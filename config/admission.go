package config

// Admission is the section [admission].
type Admission struct {
	// QueuePerSlot is the queue length per slot of the upstream.
	QueuePerSlot float64 `ini:"queue_per_slot"`
	// SlotShare is the share of the upstream's slots that calls may take. Below
	// 1 it keeps an upstream that slows down when it is nearly full at its best
	// speed, and leaves slots for health checks and new connections.
	SlotShare float64 `ini:"slot_share"`
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
	return "", ""
}
