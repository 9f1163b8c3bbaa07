package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// downTime is how long a machine that loses its disk is down.
	downTime = 300 * time.Millisecond
	// catchUp is the bound catch_up: a machine counts as lost for so long after it is back.
	catchUp = 4 * time.Second
	// recoveryTime is the bound recovery, contactTime the bound contact.
	recoveryTime = 15 * time.Second
	contactTime  = 3 * time.Second
)

// runDisks loses the disk of one core machine and, once that machine no longer counts as
// lost, that of another one. The rule is broken if no daemon returns the configuration
// that was acknowledged, for contact after recovery has passed.
func runDisks(opt options, rec *record) (broken bool, err error) {
	f, err := newFleet(opt, rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	var nodes []string
	for i := range 3 {
		m, err := f.add(machine{name: fmt.Sprintf("core-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), core: true})
		if err != nil {
			return false, err
		}
		nodes = append(nodes, m.address(f.ports.control))
	}
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	o := newOperator(rec, nodes)
	if !o.put(20 * time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	if !putFor(o, 3*time.Second) {
		return false, errors.New("a configuration was not acknowledged before the disruption")
	}
	if err := loseDisksInTurn(f, o, opt.trouble); err != nil {
		return false, err
	}
	o.put(2 * time.Second) // one more change, which may or may not be acknowledged
	rec.note("all machines are back; version %d is the newest that was acknowledged", o.version)
	time.Sleep(recoveryTime)
	return !readBack(o, contactTime+2*time.Second), nil
}

// putFor sends changes for some time and reports whether each was acknowledged.
func putFor(o *operator, d time.Duration) bool {
	all := true
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		all = o.put(3*time.Second) && all
	}
	return all
}

// loseDisksInTurn makes two core machines lose their disks, the second one catchUp after
// the first was back. Changes go on in between.
func loseDisksInTurn(f *fleet, o *operator, trouble bool) error {
	const margin = 300 * time.Millisecond
	if trouble {
		if err := f.machines[1].loseDisk(downTime); err != nil {
			return err
		}
	}
	back := time.Now()
	putFor(o, catchUp-time.Second)
	time.Sleep(time.Until(back.Add(catchUp + margin)))
	if !trouble {
		return nil
	}
	return f.machines[2].loseDisk(downTime)
}

// readBack reads the configuration at all daemons for some time. It reports whether one
// returned the newest acknowledged version.
func readBack(o *operator, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, node := range o.nodes {
			if o.read(node) >= o.version {
				return true
			}
		}
	}
	return false
}
