package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

func attemptID(n int) string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(n))
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

// request sends a GET to the daemon of a machine and returns the status, zero for none.
func (f *fleet) request(m *machine, path, attempt string) (status int) {
	const deadline = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ip+":"+outboundPort+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Remaining-Ms", fmt.Sprint(deadline.Milliseconds()))
	f.rec.note("%s sent to %s, GET %s", attempt, m.name, path)
	resp, err := clients.Do(req)
	if err != nil {
		f.rec.note("%s no answer: %v", attempt, err)
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || (resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Signature") == "") {
		f.rec.note("%s answered %d, incomplete or not signed", attempt, resp.StatusCode)
		return 0
	}
	f.rec.note("%s answered %d", attempt, resp.StatusCode)
	return resp.StatusCode
}
