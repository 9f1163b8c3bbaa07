package state

import (
	"fmt"
	"maps"

	"chicorymast/core/ident"
)

// Bounds of evacuations. The state is sent to every daemon, so a faulty client must not
// make it grow without limit.
const (
	// maxEvacuations is the number of data centres that may be evacuated at once.
	maxEvacuations = 1024
	// maxDataCentreName is the longest name of a data centre, in bytes.
	maxDataCentreName = 256
)

// TakesCalls reports whether operators let the upstreams on a VM take new calls: neither
// is the VM drained nor its data centre evacuated.
func (s *State) TakesCalls(vm ident.VM, dc ident.DataCentre) bool {
	return !s.Drains[vm] && !s.Evacuations[dc]
}

// setEvacuation starts or ends an evacuation. An order that is in force already is
// accepted again, as a new revision.
func (s *State) setEvacuation(c SetEvacuation) Result {
	if c.DataCentre == "" || len(c.DataCentre) > maxDataCentreName {
		detail := fmt.Sprintf("the name of a data centre has 1 to %d bytes", maxDataCentreName)
		return Result{Outcome: OutcomeInvalid, Detail: detail}
	}
	if c.Base != 0 && c.Base != s.ConfirmedAt {
		return s.overtaken(c.Base)
	}
	before := s.Evacuations[c.DataCentre]
	if c.Evacuating && !before && len(s.Evacuations) >= maxEvacuations {
		return Result{Outcome: OutcomeInvalid, Detail: fmt.Sprintf("%d data centres are evacuated already", maxEvacuations)}
	}
	if before == c.Evacuating {
		return s.accept()
	}
	s.hashItems()
	s.itemHash.toggle("evacuation", string(c.DataCentre), true)
	evacuations := maps.Clone(s.Evacuations)
	if evacuations == nil { // a snapshot without the field
		evacuations = map[ident.DataCentre]bool{}
	}
	if c.Evacuating {
		evacuations[c.DataCentre] = true
	} else {
		delete(evacuations, c.DataCentre)
	}
	s.Evacuations = evacuations
	return s.accept()
}
