package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends configurations and reads them back, as the users' pages say: it goes to
// another daemon after a failure, a 5xx or a second without a response, and sends an order
// that got no clear response again.
type operator struct {
	rec    *record
	nodes  []string
	next   int
	client *http.Client
	// version is the newest one that was acknowledged.
	version int
}

func newOperator(rec *record, nodes []string) *operator {
	return &operator{rec: rec, nodes: nodes, client: &http.Client{Timeout: time.Second}}
}

// document returns a valid configuration.
func document(version, base int) string {
	return fmt.Sprintf(`{"version":%d,"base_version":%d,`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},`+
		`"tenants":[{"name":"pulo780","api_keys":["6wsjnbanfqasnmgkcuyj"],"priority":1,"rate_per_s":97,"burst":97}],`+
		`"listeners":[{"host":"hulo84.example","rules":[{"name":"r-1","type":"idempotent","target_latency":"2000ms","priority":2,"public":false,`+
		`"match":{"path_prefix":"/leny950/"},"action":{"service":"huvo11a","timeout":"%dms","max_attempts":2}}]},`+
		`{"host":"jepu9.example","rules":[{"name":"r-2","type":"non_idempotent","target_latency":"2000ms","priority":0,"public":false,`+
		`"match":{"path_prefix":"/puka111/"},"action":{"service":"wuno96b","timeout":"1500ms","max_attempts":2}}]}],`+
		`"clusters":[{"name":"huvo11a","health_check_path":"/health","max_connections":532,"protocol":"h1","tls":false},`+
		`{"name":"wuno96b","health_check_path":"/health","max_connections":622,"protocol":"h1","tls":false}]}`,
		version, base, 1000+version)
}

// put sends the next version until it has a clear response or the time is up. It
// reports whether it was acknowledged.
func (o *operator) put(limit time.Duration) (acknowledged bool) {
	base := o.version
	text := document(base+1, base)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		node := o.nodes[o.next%len(o.nodes)]
		status, _, err := o.call(http.MethodPut, node, text)
		o.rec.note("PUT /config version %d at %s: %s", base+1, node, outcome(status, err))
		switch {
		case err == nil && status == http.StatusOK:
			o.version = base + 1
			return true
		case err == nil && status < http.StatusInternalServerError:
			return false
		}
		o.next++
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// read reads the configuration at one daemon and returns its version, zero for none.
func (o *operator) read(node string) (version int) {
	status, body, err := o.call(http.MethodGet, node, "")
	if err == nil && status == http.StatusOK {
		var d struct {
			Version int `json:"version"`
		}
		if json.Unmarshal([]byte(body), &d) == nil {
			version = d.Version
		}
	}
	o.rec.note("GET /config at %s: %s, version %d", node, outcome(status, err), version)
	return version
}

func (o *operator) call(method, node, text string) (status int, body string, err error) {
	req, err := http.NewRequest(method, "http://"+node+"/config", strings.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func outcome(status int, err error) string {
	if err != nil {
		return "no response"
	}
	return fmt.Sprint(status)
}
