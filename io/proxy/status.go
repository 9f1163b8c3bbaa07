package proxy

import (
	"net/http"

	"chicorymast/core/fault"
	"chicorymast/io/event"

	"go.uber.org/zap"
)

const (
	// minFinalStatus and maxStatus bound the final statuses of RFC 9110, section 15. net/http
	// panics when a handler passes on a lower one, and callers don't know higher ones.
	minFinalStatus = 200
	maxStatus      = 599
)

// checkStatus refuses a response that callers could not interpret: one whose status is not
// defined, that switches to a protocol that nobody asked for (101), or that has content
// although its status excludes it (205).
func checkStatus(resp *http.Response) *fault.Refusal {
	switch {
	case resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus || hasSign(resp.Status):
		return fault.Failed(fault.ReasonAnswerInvalid, "the answer has the invalid status %.40q", resp.Status)
	case resp.StatusCode == http.StatusResetContent && resp.ContentLength != 0:
		return fault.Failed(fault.ReasonAnswerInvalid, "the answer has status 205, but content")
	}
	return nil
}

// hasSign reports whether a status begins with a sign, which net/http accepts as part of a
// number.
func hasSign(status string) bool {
	return status != "" && (status[0] == '+' || status[0] == '-')
}

// contentIsLeft reports whether content may follow a response that must not have any, and
// that net/http therefore leaves on the connection.
func contentIsLeft(resp *http.Response) bool {
	if resp.StatusCode != http.StatusNoContent {
		return false
	}
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || (length != "" && length != "0")
}

func (p *Proxy) noteInvalidAnswer(from string, r *fault.Refusal) {
	if r.Reason == fault.ReasonAnswerInvalid {
		p.opt.Log.Emit(event.ResponseInvalid, zap.String("from", from), zap.String("detail", r.Detail))
	}
}
