package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	payments       = 200
	paymentsGap    = 50 * time.Millisecond
	lossBegin      = 3 * time.Second
	lossTime       = 4 * time.Second
	lostOneIn      = 3 // at most 0.4 of the answers may be lost
	paymentService = "wuno96b"
	paymentHost    = "jepu9.example"
	paymentKey     = "6wsjnbanfqasnmgkcuyj"
	deadlineMs     = "1500"
)

// runTwice sends requests of a non-idempotent route, without a body and with a header of
// the caller's own, X-Idempotency-Key, while servers lose some of their answers. The rule
// is broken if a request runs more than once.
func runTwice(opt options, rec *record) (broken bool, err error) {
	f, err := newFleet(opt, rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	front, err := paymentFleet(f)
	if err != nil {
		return false, err
	}
	var losing atomic.Bool
	var runs atomic.Int64
	lose := func(string) bool { return runs.Add(1)%lostOneIn == 0 && losing.Load() }
	servers, err := startServers(f, lose)
	defer stopServers(servers)
	if err != nil {
		return false, err
	}
	if !awaitServed(rec, front) {
		return false, errors.New("no request was served before the disruption")
	}
	if opt.trouble {
		time.AfterFunc(lossBegin, func() { losing.Store(true) })
		time.AfterFunc(lossBegin+lossTime, func() { losing.Store(false) })
	}
	sendPayments(rec, front)
	return ranTwice(rec, servers), nil
}

// paymentFleet starts three core machines and three sidecar machines, of which the last
// two serve payments, and puts a configuration in force. It returns the first sidecar
// machine, where the clients are.
func paymentFleet(f *fleet) (front *machine, err error) {
	var nodes []string
	for i := range 3 {
		m, err := f.add(machine{name: fmt.Sprintf("core-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), core: true})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, m.address(f.ports.control))
	}
	for i, service := range []string{"huvo11a", paymentService, paymentService} {
		m, err := f.add(machine{name: fmt.Sprintf("sidecar-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), service: service})
		if err != nil {
			return nil, err
		}
		if front == nil {
			front = m
		}
	}
	for _, m := range f.machines {
		if err := m.start(m.core); err != nil {
			return nil, err
		}
	}
	o := newOperator(f.rec, nodes)
	if !o.put(20 * time.Second) {
		return nil, errors.New("the first configuration was not acknowledged")
	}
	return front, nil
}

// awaitServed sends requests until one is served.
func awaitServed(rec *record, front *machine) bool {
	const limit, pause = 20 * time.Second, 200 * time.Millisecond
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		if pay(rec, front, fmt.Sprintf("warm-up-%d", n)) == http.StatusOK {
			time.Sleep(time.Second)
			return true
		}
		time.Sleep(pause)
	}
	return false
}

func sendPayments(rec *record, front *machine) {
	var wg sync.WaitGroup
	for n := range payments {
		wg.Add(1)
		go func() {
			defer wg.Done()
			pay(rec, front, fmt.Sprintf("payment-%d", n))
		}()
		time.Sleep(paymentsGap)
	}
	wg.Wait()
}

// pay sends one client attempt, once, on a connection of its own, and returns its
// status, zero for no response.
func pay(rec *record, front *machine, id string) (status int) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + front.address(front.fleet.ports.outbound) + "/puka111/" + id
	req, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = paymentHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining-Ms", deadlineMs)
	req.Header.Set("Authorization", "Token "+paymentKey)
	req.Header.Set("X-Idempotency-Key", "key-of-"+id)
	rec.note("client sends %s", id)
	resp, err := client.Do(req)
	if err != nil {
		rec.note("client gets no response to %s: %v", id, err)
		return 0
	}
	_ = resp.Body.Close()
	rec.note("client gets %d for %s", resp.StatusCode, id)
	return resp.StatusCode
}

// ranTwice reports whether a request ran more than once, on all servers together.
func ranTwice(rec *record, servers []*server) (broken bool) {
	total := map[string]int{}
	for _, s := range servers {
		for id, n := range s.counts() {
			total[id] += n
		}
	}
	for id, n := range total {
		if n > 1 {
			rec.note("the non-idempotent request %s was sent once and ran %d times", id, n)
			broken = true
		}
	}
	rec.note("%d requests ran", len(total))
	return broken
}
