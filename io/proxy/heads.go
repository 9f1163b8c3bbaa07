package proxy

import (
	"net/http"

	"chicorymast/core/fault"
	"chicorymast/io/header"
)

func headsRefusal() *fault.Refusal {
	return fault.Refuse(fault.ReasonHeadersTooLarge, "the headers of all requests take too much memory, and this one has many lines")
}

// RefuseHead responds to a request of a caller whose header takes too much memory.
func (p *Proxy) RefuseHead(w http.ResponseWriter) {
	r := headsRefusal()
	p.opt.Metrics.refused("entry", r.Reason)
	WriteProblem(w, p.opt.Dialect, r, 0)
}

// RefusePeerHead does the same for a request of another daemon.
func (p *Proxy) RefusePeerHead(w http.ResponseWriter) {
	p.refusePeer(w, "", header.Call{}, retryOutcome{}, headsRefusal())
}
