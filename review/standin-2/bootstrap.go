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
	services := []string{"dele69a", "xano55b", "dele69a"}
	f, err := newFleet(rec, services)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	for _, m := range f.sidecars {
		s, err := startServer(rec, m, "i-"+m.name, 64, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.close()
	}
	if trouble {
		lost := f.core[2]
		time.Sleep(lostAt)
		f.kill(lost)
		if err := os.RemoveAll(f.dataDir(lost)); err != nil {
			return false, err
		}
		rec.note("%s has lost its disk", lost.name)
		time.Sleep(500 * time.Millisecond)
	}
	// The whole system has started; later starts are not the first one.
	for _, m := range f.core {
		m.bootstrap = false
	}
	if trouble {
		if err := f.start(f.core[2]); err != nil {
			return false, err
		}
	}
	back := time.Now()
	// The page asks for service `recovery` after all are back; a new machine counts as lost
	// for `catch_up` after its start. The operator goes on for as long again.
	bound := back.Add(2 * (catchUp + recovery))
	doc := configuration(5, 0, []route{{"r-1", "/puje670/", "idempotent", "dele69a", "1200ms", 2}}, []string{"dele69a", "xano55b"})
	status, tries := f.putConfiguration(doc, bound)
	rec.say("first configuration: status %d after %d tries, %.1f s after all machines were back", status, tries, time.Since(back).Seconds())
	served, sent := f.sendSome(6 * time.Second)
	rec.say("requests: %d sent, %d served", sent, served)
	answered := 0
	for end := time.Now().Add(contact); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if n, _ := f.readConfiguration(); n > 0 {
			answered += n
		}
	}
	for _, m := range append(append([]*machine{}, f.core...), f.sidecars...) {
		rec.note("%s runs: %v", m.name, m.runs())
		if !m.runs() {
			rec.say("%s has ended by itself", m.name)
		}
	}
	rec.say("reads of the configuration at the end: %d answered", answered)
	return status != http.StatusOK || answered == 0, nil
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
