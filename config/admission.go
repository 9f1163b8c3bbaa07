package config

// Admission is the section [admission].
type Admission struct {
	// QueuePerSlot is how many calls may wait for each slot of the upstream.
	QueuePerSlot float64 `ini:"queue_per_slot"`
}

func defaultAdmission() Admission {
	return Admission{QueuePerSlot: 1}
}

// QueueLength returns how many calls may wait beside an upstream.
func (a Admission) QueueLength(slots int) int {
	return max(1, int(a.QueuePerSlot*float64(slots)))
}

func (a *Admission) check(*Config) (key, problem string) {
	if a.QueuePerSlot < 0 || a.QueuePerSlot > 100 {
		return "queue_per_slot", "must be between 0 and 100"
	}
	return "", ""
}
