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

func (f *fleet) standIn(u ident.Upstream) *trial.Stub {
	for _, s := range f.files.Stubs {
		if s.Upstream == u {
			return s
		}
	}
	f.t.Fatalf("no stand-in %s", u)
	return nil
}

// ledger returns what a stand-in ran.
func (f *fleet) ledger(s *trial.Stub) (l stub.Ledger) {
	f.t.Helper()
	resp, err := f.client.Get("http://" + s.Address + "/-/ledger")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

// fail sets the faults of all stand-ins of a service.
func (f *fleet) fail(svc ident.Service, faults stub.Faults) {
	f.t.Helper()
	for _, s := range f.files.Stubs {
		if s.Service.Name == svc {
			f.failOne(s.Upstream, faults)
		}
	}
}

// failOne sets the faults of one stand-in.
func (f *fleet) failOne(u ident.Upstream, faults stub.Faults) {
	f.t.Helper()
	text, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+f.standIn(u).Address+"/-/faults", strings.NewReader(string(text)))
	assert.NilError(f.t, err)
	resp, err := f.client.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
}
