package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is the bound drain: how long requests may reach a server after a daemon
	// has acknowledged that it is gone.
	drainTime = 2 * time.Second
	// restartDelay is how long a killed process is down.
	restartDelay = 300 * time.Millisecond
	// heldUp is how late a heartbeat arrives.
	heldUp = 4500 * time.Millisecond
	// servesOn is how long a leaving server goes on serving.
	servesOn = 9 * time.Second
	// loadGap is the time between two requests.
	loadGap = 15 * time.Millisecond
)

// runLeave lets a server leave with a DELETE while its last heartbeat is held up on its
// way, and kills the daemon beside it after the acknowledgement. The rule is broken if a
// request reaches the server later than drain after the acknowledgement and later than
// contact after the daemon was started again.
func runLeave(opt options, rec *record) (broken bool, err error) {
	f, err := newFleet(opt, rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	front, err := paymentFleet(f)
	if err != nil {
		return false, err
	}
	servers, err := startServers(f, nil)
	defer stopServers(servers)
	if err != nil {
		return false, err
	}
	if !awaitServed(rec, front) {
		return false, errors.New("no request was served before the disruption")
	}
	stopLoad := startLoad(rec, front)
	defer stopLoad()
	time.Sleep(contactTime + time.Second)
	return leaveBehind(rec, servers[1], opt.trouble)
}

// startLoad sends requests at a steady rate until stop is called.
func startLoad(rec *record, front *machine) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(loadGap)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				pay(rec, front, fmt.Sprintf("request-%d", n))
			}()
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}

func leaveBehind(rec *record, s *server, trouble bool) (broken bool, err error) {
	close(s.silent)
	<-s.silenced
	late, sentAt := s.heartbeat(), time.Now()
	rec.note("%s sends its last heartbeat, sequence %d, which is held up on its way", s.id, s.sequence)
	if !s.deregister() {
		return false, errors.New("the DELETE was not acknowledged")
	}
	goneAt := time.Now()
	rec.note("%s: DELETE acknowledged by %s", s.id, s.machine.name)
	startedAt := time.Time{}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		s.machine.kill()
		rec.note("%s was killed", s.machine.name)
		time.Sleep(restartDelay)
		if err := s.machine.start(false); err != nil {
			return false, err
		}
		startedAt = time.Now()
	}
	time.Sleep(time.Until(sentAt.Add(heldUp)))
	rec.note("%s: the heartbeat arrives, acknowledged: %v", s.id, s.deliver(late))
	time.Sleep(time.Until(goneAt.Add(servesOn)))
	inTouch := startedAt.Add(contactTime)
	for _, a := range s.arrived() {
		if a.at.After(goneAt.Add(drainTime)) && a.at.After(inTouch) {
			rec.note("%s reached %s %d ms after %s had acknowledged that it is gone, %d ms after the start of that daemon",
				a.id, s.id, a.at.Sub(goneAt).Milliseconds(), s.machine.name, a.at.Sub(startedAt).Milliseconds())
			broken = true
		}
	}
	return broken, nil
}

// arrived returns the requests that have reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
