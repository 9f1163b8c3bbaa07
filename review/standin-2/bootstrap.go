package main

import (
	"net/http"
	"os"
	"time"
)

// lostAt is when the core machine loses its disk, after the first start of all. PROTOCOL and
// DEPLOY set no time before which a disk can't be lost.
const lostAt = 200 * time.Millisecond

// caseBootstrap starts a fleet for the first time. One of the three core machines loses its
// disk at once and restarts with an empty one. Once it is back and has had its time, the
// operator's first configuration has to be taken, and to be read back.
func caseBootstrap(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, []string{"dele69a", "xano55b", "dele69a"})
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	servers, err := f.startServers()
	defer func() { closeServers(servers) }()
	if err != nil {
		return false, err
	}
	if err := f.loseDisk(f.core[2], trouble); err != nil {
		return false, err
	}
	return f.judgeStart(), nil
}

// loseDisk takes the disk of a core machine, if that is the disruption. Later starts are not
// the first one of the whole system.
func (f *fleet) loseDisk(lost *machine, trouble bool) error {
	if trouble {
		time.Sleep(lostAt)
		f.kill(lost)
		if err := os.RemoveAll(f.dataDir(lost)); err != nil {
			return err
		}
		f.rec.note("%s has lost its disk", lost.name)
		time.Sleep(500 * time.Millisecond)
	}
	for _, m := range f.core {
		m.bootstrap = false
	}
	if trouble {
		return f.start(lost)
	}
	return nil
}

// judgeStart sends the first configuration and reads it back.
func (f *fleet) judgeStart() (broken bool) {
	// The page asks for service `recovery` after all are back; a new machine counts as lost
	// for `catch_up` after its start. The operator goes on for as long again.
	back := time.Now()
	bound := back.Add(2 * (catchUp + recovery))
	doc := configuration(5, 0, []route{{"r-1", "/puje670/", "idempotent", "dele69a", "1200ms", 2}}, []string{"dele69a", "xano55b"})
	status, tries := f.putConfiguration(doc, bound)
	f.rec.say("first configuration: status %d after %d tries, %.1f s after all machines were back", status, tries, time.Since(back).Seconds())
	served, sent := f.sendSome(6 * time.Second)
	f.rec.say("requests: %d sent, %d served", sent, served)
	answered := 0
	for end := time.Now().Add(contact); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		n, _ := f.readConfiguration()
		answered += n
	}
	for _, m := range append(append([]*machine{}, f.core...), f.sidecars...) {
		if !m.runs() {
			f.rec.say("%s has ended by itself", m.name)
		}
	}
	f.rec.say("reads of the configuration at the end: %d answered", answered)
	return status != http.StatusOK || answered == 0
}

// sendSome sends requests to all sidecars for a time.
func (f *fleet) sendSome(d time.Duration) (served, sent int) {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := f.sidecars[n%len(f.sidecars)]
		n++
		status := f.request(m, "/puje670/1", attemptID(n))
		sent++
		if status == http.StatusOK {
			served++
		}
	}
	return served, sent
}
