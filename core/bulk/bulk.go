// Package bulk admits the large replies of a relay: all of the configuration, or all members.
// When many daemons start at once, or lose their relay, each asks for them. Those that are
// made and sent at once take bounded memory; the others are told when to ask again, one
// after the other, in the order in which they asked.
//
// # Usage
//
//	g := bulk.NewGate(bulk.MaxHeld)
//	switch v := g.Admit(now, size, reserved).(type) {
//	case bulk.Send:  // make and send the reply, then call g.Sent(now, size)
//	case bulk.Wait:  // ask the gate again once another reply was sent, after g.EndWait()
//	case bulk.Later: // reply without the large part: ask again after v.After, with v.Reserved
//	}
//
// A Gate reads no clock and is not safe for concurrent use.
package bulk

import "time"

// Bytes is a size in bytes.
type Bytes int

const (
	// MaxHeld is the size of the replies that a relay makes and sends at once. Each takes
	// several times its size while it is encoded.
	MaxHeld Bytes = 4 << 20
	// Small is the size up to which a reply is not counted.
	Small Bytes = 16 << 10
	// firstRate is the number of bytes a second that is assumed until some were sent.
	firstRate = 2 << 20
	// minRate is the lowest number of bytes a second that is assumed.
	minRate = 128 << 10
	// smoothing is the weight of the latest reply in the rate.
	smoothing = 0.2
	// maxWaiting is the number of questions that are held at once.
	maxWaiting = 32
	// minAfter and maxAfter bound the time after which a daemon is to ask again.
	minAfter = 50 * time.Millisecond
	maxAfter = 5 * time.Second
)

// Verdict says whether a large reply may be made now. The set is sealed.
type Verdict interface{ isVerdict() }

// Send admits the reply; it is held until Sent.
type Send struct{}

// Wait holds the question of a daemon that came back a little too early.
type Wait struct{}

// Later asks the daemon to come back.
type Later struct {
	After time.Duration
	// Reserved is set if the time to send the reply is reserved from then on.
	Reserved bool
}

func (Send) isVerdict()  {}
func (Wait) isVerdict()  {}
func (Later) isVerdict() {}

// Gate admits large replies.
type Gate struct {
	limit, held Bytes
	// rate is the number of bytes a second at which replies have been sent.
	rate float64
	// busySince is when the present series of replies began, sent what of it is sent.
	busySince time.Time
	sent      Bytes
	// waiting is the number of questions that are held.
	waiting int
	// promised and returning are the times until which the relay is occupied by the replies
	// that it has promised: to all daemons, and to those that came back too early.
	promised, returning time.Time
}

// NewGate returns a gate that holds replies up to the given size, or one larger reply.
func NewGate(limit Bytes) *Gate {
	return &Gate{limit: limit, rate: firstRate}
}

// Admit returns the verdict on a reply of the given size. Reserved is that of the last
// verdict on the same daemon.
func (g *Gate) Admit(now time.Time, size Bytes, reserved bool) Verdict {
	if size <= Small {
		return Send{}
	}
	if g.held > 0 && g.held+size > g.limit {
		if reserved && g.waiting < maxWaiting {
			g.waiting++
			return Wait{}
		}
		return g.promise(now, size, reserved)
	}
	if g.held == 0 {
		g.busySince, g.sent = now, 0
	}
	g.held += size
	return Send{}
}

// promise reserves the time to send a reply: behind all that was promised before, or, for a
// daemon that came back too early, behind the others that did.
func (g *Gate) promise(now time.Time, size Bytes, reserved bool) Later {
	line := &g.promised
	if reserved {
		line = &g.returning
	}
	if line.Before(now) {
		*line = now.Add(g.timeFor(min(g.held, max(g.held+size-g.limit, 0))))
	}
	after := line.Sub(now)
	if after > maxAfter {
		return Later{After: maxAfter, Reserved: reserved}
	}
	*line = line.Add(g.timeFor(size))
	if g.promised.Before(g.returning) {
		g.promised = g.returning
	}
	return Later{After: max(after, minAfter), Reserved: true}
}

func (g *Gate) timeFor(size Bytes) time.Duration {
	return time.Duration(float64(size) / g.rate * float64(time.Second))
}

// Sent releases a reply that was admitted, sent or not.
func (g *Gate) Sent(now time.Time, size Bytes) {
	if size <= Small {
		return
	}
	g.held -= size
	g.sent += size
	if elapsed := now.Sub(g.busySince); elapsed > 0 {
		g.rate += smoothing * (float64(g.sent)/elapsed.Seconds() - g.rate)
		g.rate = max(g.rate, minRate)
	}
}

// EndWait ends a Wait, before the gate is asked again or because the daemon has left.
func (g *Gate) EndWait() { g.waiting-- }

// Held returns the size of the replies that are made and sent now.
func (g *Gate) Held() Bytes { return g.held }
