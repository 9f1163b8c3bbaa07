package raft

import "slices"

const (
	// MaxMessageBytes is the size of the entries, or of the piece of a snapshot, in one
	// message. A message with a single larger entry exceeds it.
	MaxMessageBytes = 128 << 10
	// MaxInflightBytes and maxInflightMessages bound what is sent to a member ahead of
	// its acknowledgements.
	MaxInflightBytes    = 512 << 10
	maxInflightMessages = 32
	// entryOverhead is the encoded size of an entry without its data, in bytes.
	entryOverhead = 64
)

// sendState is how a leader sends entries to another member.
type sendState string

const (
	// sendProbing sends one message at a time until it is known which entries the member
	// has.
	sendProbing sendState = "probing"
	// sendStreaming sends entries ahead of their acknowledgements.
	sendStreaming sendState = "streaming"
	// sendSnapshot sends a snapshot in pieces, each after the former is acknowledged.
	sendSnapshot sendState = "snapshot"
)

// progress is a leader's replication state of one other member.
type progress struct {
	// match is the last entry known to be stored by the member, next the first one to
	// send.
	match, next Index
	state       sendState
	// awaiting is set while a probe, or a piece of a snapshot, is not acknowledged.
	awaiting bool
	// inflight holds the messages with entries that are not acknowledged.
	inflight []inflightMessage
	// sentAt is the tick of the last message with entries or a piece of a snapshot, or of
	// the last acknowledgement of one.
	sentAt int
	// snapshot is the one being sent, of which the member has acknowledged offset bytes.
	snapshot Snapshot
	offset   int
	// replied is set if the member replied since the last quorum check.
	replied bool
	// lastReplyAt is the tick of its last reply.
	lastReplyAt int
	// round is the newest heartbeat round that the member acknowledged.
	round uint64
	// stamp is the latest reading of the member's own clock that has arrived.
	stamp Stamp
}

// inflightMessage is a message with entries up to last.
type inflightMessage struct {
	last  Index
	bytes int
}

// probe sends one message at a time from here on, the first one with the entry next.
func (p *progress) probe(next Index) {
	p.state, p.next, p.awaiting, p.inflight = sendProbing, next, false, nil
	p.snapshot, p.offset = Snapshot{}, 0
}

// stream sends entries ahead of their acknowledgements from here on.
func (p *progress) stream() {
	p.state, p.next, p.awaiting, p.inflight = sendStreaming, p.match+1, false, nil
}

// maySend reports whether a message with entries may be sent now.
func (p *progress) maySend() bool {
	if p.state == sendProbing {
		return !p.awaiting
	}
	bytes := 0
	for _, m := range p.inflight {
		bytes += m.bytes
	}
	return len(p.inflight) < maxInflightMessages && bytes < MaxInflightBytes
}

// sent records that a message with entries was sent.
func (p *progress) sent(tick int, entries []Entry) {
	p.sentAt = tick
	if p.state == sendProbing {
		p.awaiting = true
		return
	}
	p.next += Index(len(entries))
	p.inflight = append(p.inflight, inflightMessage{last: p.next - 1, bytes: BytesOf(entries)})
}

// accepted records that the member has all entries up to i.
func (p *progress) accepted(tick int, i Index) {
	p.match = max(p.match, i)
	before := len(p.inflight)
	p.inflight = slices.DeleteFunc(p.inflight, func(m inflightMessage) bool { return m.last <= p.match })
	if len(p.inflight) < before {
		p.sentAt = tick
	}
	if p.state == sendProbing && i+1 >= p.next {
		p.stream()
	}
	p.next = max(p.next, p.match+1)
}

// rejected records that the member lacks the entry at prev, or has another one there, and
// that its log matches up to hint at best. It reports whether that was news: with several
// messages under way each is rejected for the same reason.
func (p *progress) rejected(prev, hint Index) (news bool) {
	if prev == 0 {
		prev = p.next - 1 // an earlier release does not say which message it rejects
	}
	switch p.state {
	case sendSnapshot:
		return false
	case sendProbing:
		if prev+1 != p.next {
			return false
		}
	case sendStreaming:
		if prev <= p.match {
			return false
		}
	}
	p.probe(max(p.match+1, min(prev, hint+1)))
	return true
}

// expire sends again what has not been acknowledged within the given time.
func (p *progress) expire(tick, timeout int) {
	if tick-p.sentAt < timeout {
		return
	}
	switch {
	case p.state == sendStreaming && len(p.inflight) > 0:
		p.probe(p.match + 1)
	case p.awaiting:
		p.awaiting = false
	}
}

// BytesOf returns the encoded size of entries in bytes.
func BytesOf(entries []Entry) (bytes int) {
	for _, e := range entries {
		bytes += entryOverhead + len(e.Data)
	}
	return bytes
}
