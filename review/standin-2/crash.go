package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sort"
	"time"
)

var errNotReady = errors.New("the fleet doesn't become ready")

// crashPath is the path of the request that crashes each server that begins to run it.
const crashPath = "/puje670/ink/7"

// downTime is how long a crashed server is away.
const downTime = 2300 * time.Millisecond

// caseCrash sends a request that crashes servers once a second, from one client. While the
// sidecar machines are stopped and started in turn, the client moves to the next machine when
// its own is not ready any more.
func caseCrash(rec *record, trouble bool) (broken bool, err error) {
	services := []string{"xano55b", "xano55b", "xano55b", "xano55b", "dele69a", "dele69a", "dele69a", "dele69a", "dele69a"}
	f, err := newFleet(rec, services)
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
	targets := servers[4:]
	for _, s := range targets {
		s.crashOn(crashPath)
	}
	doc := configuration(5, 0, []route{{"r-1", "/puje670/", "idempotent", "dele69a", "1200ms", 2}}, []string{"dele69a", "xano55b"})
	if status, _ := f.putConfiguration(doc, time.Now().Add(20*time.Second)); status != http.StatusOK {
		return false, errNotReady
	}
	callers := f.sidecars[:4]
	for _, m := range f.sidecars {
		if !waitReady(m, 10*time.Second) {
			return false, errNotReady
		}
	}
	time.Sleep(contact + time.Second)
	if trouble {
		go f.roll(callers)
	}
	return f.judgeCrashes(targets, f.sendCrashing(callers)), nil
}

// sendCrashing sends the request that crashes servers once a second, at one machine after the
// other, and returns by which machine each attempt was sent.
func (f *fleet) sendCrashing(callers []*machine) (sender map[string]*machine) {
	sender = map[string]*machine{}
	at, misses := 0, 0
	began := time.Now()
	for n := 1; time.Since(began) < 48*time.Second; n++ {
		sender[attemptID(n)] = callers[at]
		f.request(callers[at], crashPath, attemptID(n))
		time.Sleep(time.Second)
		if misses++; ready(callers[at]) {
			misses = 0
		}
		if misses >= 2 {
			at, misses = (at+1)%len(callers), 0
			f.rec.note("the client moves to %s", callers[at].name)
		}
	}
	return sender
}

// roll stops and starts machines in turn; the next one is stopped once the one before has been
// in touch for a while.
func (f *fleet) roll(machines []*machine) {
	time.Sleep(3 * time.Second)
	for _, m := range machines {
		f.rec.note("%s gets SIGTERM", m.name)
		m.disturb()
		f.terminate(m)
		f.rec.note("%s has ended", m.name)
		time.Sleep(300 * time.Millisecond)
		if err := f.start(m); err != nil {
			f.rec.note("%s doesn't start: %v", m.name, err)
			return
		}
		m.disturb()
		time.Sleep(4 * time.Second)
	}
}

// judgeCrashes counts the requests that reached servers later than contact after the request
// had crashed the third one, sent by machines in touch.
func (f *fleet) judgeCrashes(targets []*server, sender map[string]*machine) (broken bool) {
	var arrivals []run
	for _, s := range targets {
		arrivals = append(arrivals, s.runs()...)
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	late := 0
	for i, a := range arrivals {
		counts := i >= 3 && a.at.Sub(arrivals[2].at) > contact && sender[a.attempt].undisturbed(a.at)
		f.rec.note("run %d, %s at %s, %.1f s after the third crash", i+1, a.attempt, a.instance, a.at.Sub(arrivals[min(2, len(arrivals)-1)].at).Seconds())
		if counts {
			late++
		}
	}
	f.rec.say("the request has crashed %d servers; %d of the runs began later than contact after the third crash", len(arrivals), late)
	return late > 3
}

// ready asks a daemon whether it is ready.
func ready(m *machine) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.ip + ":" + readyPort + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func waitReady(m *machine, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ready(m) {
			return true
		}
	}
	return false
}

// crashOn makes a request crash the server.
func (s *server) crashOn(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPath = path
}

// crash ends the server as a crash of its process does: its connections are reset and its
// port refuses others. It comes back under another id.
func (s *server) crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	old := s.srv
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	s.rec.note("%s crashes", s.id)
	_ = old.Close()
	time.AfterFunc(downTime, func() {
		if err := s.listen(); err != nil {
			s.rec.note("%s doesn't come back: %v", s.id, err)
		}
	})
}
