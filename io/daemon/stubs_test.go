package daemon

import (
	"encoding/json"
	"net/http"
	"strings"

	"chicorymast/core/ident"
	"chicorymast/io/stub"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

// stub returns the stub upstream with an id.
func (f *fleet) stub(u ident.Upstream) *trial.Stub {
	for _, s := range f.files.Stubs {
		if s.Upstream == u {
			return s
		}
	}
	f.t.Fatalf("no stub upstream %s", u)
	return nil
}

// ledger returns the ledger of a stub upstream: what it has run.
func (f *fleet) ledger(s *trial.Stub) (l stub.Ledger) {
	f.t.Helper()
	resp, err := f.client.Get("http://" + s.Address + "/-/ledger")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

// setFaults sets the faults of all stub upstreams of a service.
func (f *fleet) setFaults(svc ident.Service, faults stub.Faults) {
	f.t.Helper()
	for _, s := range f.files.Stubs {
		if s.Service.Name == svc {
			f.setStubFaults(s.Upstream, faults)
		}
	}
}

// setStubFaults sets the faults of one stub upstream.
func (f *fleet) setStubFaults(u ident.Upstream, faults stub.Faults) {
	f.t.Helper()
	text, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+f.stub(u).Address+"/-/faults", strings.NewReader(string(text)))
	assert.NilError(f.t, err)
	resp, err := f.client.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
}
