package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     string
	attempts                    int
}

const host = "nony93.example"

// configuration returns a complete configuration without tenants.
func configuration(version, base int, routes []route, services []string) []byte {
	rules := []any{}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "type": r.kind, "target_latency": "1000ms", "priority": 1, "public": true,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout": r.timeout, "max_attempts": r.attempts},
		})
	}
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_check_path": "/health", "max_connections": 484, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "base_version": base,
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
	return data
}

// call makes one call to a daemon's control address. It returns status 0 without an answer
// within a second.
func call(method, address, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// putConfiguration sends a configuration, and the same again to the next core machine after
// each call without a clear answer, until it is acknowledged, refused, or the time is up.
func (f *fleet) putConfiguration(doc []byte, until time.Time) (status int, tries int) {
	pause := 100 * time.Millisecond
	for n := 0; time.Now().Before(until); n++ {
		m := f.core[n%len(f.core)]
		status, answer := call(http.MethodPut, m.ip+":"+controlPort, "/config", doc)
		f.rec.note("PUT /config at %s: %d %.120s", m.name, status, answer)
		if status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429) {
			return status, n + 1
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
		tries = n + 1
	}
	return 0, tries
}

// readConfiguration reads the configuration at all core machines.
func (f *fleet) readConfiguration() (answered int, last []byte) {
	for _, m := range f.core {
		status, answer := call(http.MethodGet, m.ip+":"+controlPort, "/config", nil)
		f.rec.note("GET /config at %s: %d %.120s", m.name, status, answer)
		if status == 200 {
			answered++
			last = answer
		}
	}
	return answered, last
}
