package config

// Admission is the section [admission].
type Admission struct {
	// QueuePerSlot is the queue length per slot of the upstream.
	QueuePerSlot float64 `ini:"queue_per_slot"`
}

func defaultAdmission() Admission {
	return Admission{QueuePerSlot: 1}
}

// QueueLength returns the maximum number of queued calls for an upstream with
// this many slots; it is at least 1.
func (a Admission) QueueLength(slots int) int {
	return max(1, int(a.QueuePerSlot*float64(slots)))
}

func (a *Admission) check(*Config) (key, problem string) {
	if a.QueuePerSlot < 0 || a.QueuePerSlot > 100 {
		return "queue_per_slot", "must be between 0 and 100"
	}
	return "", ""
}
