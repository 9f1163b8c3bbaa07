// Package heads accounts for the memory that the heads of HTTP messages take in a process,
// summed over all of its connections. A head of very many short lines takes many times its
// size once it is parsed, so each line has a cost of its own.
//
// # Usage
//
//	b := heads.NewBudget(64 << 20)
//	s := &heads.Share{}               // of one message
//	n, cost := scanner.Scan(p)        // of the bytes that were read
//	for _, v := range b.Charge(s, cost) {
//		// refuse the message of v
//	}
//	if !b.Begin(s) { /* it was refused */ }
//	b.Release(s)                      // when the message is not in use any more
//
// A Budget is not safe for concurrent use.
package heads

// Bytes is an amount of memory.
type Bytes int64

const (
	// LineCost is the memory that a line of a head may take, apart from its bytes: an entry of
	// a map with a slice, a name and a value (115 bytes were measured), and the same for the
	// copies that are made of a head on its way through a daemon.
	LineCost Bytes = 384
	// SmallHead is the cost of a head that counts as ordinary: some 35 lines.
	SmallHead Bytes = 16 << 10
	// largeNumerator and largeDenominator give the part of the budget that heads above
	// SmallHead may take. The rest is kept for ordinary callers.
	largeNumerator, largeDenominator = 3, 4
	// bodyNumerator and bodyDenominator give the part of the budget up to which there is room
	// for bodies. A request whose body is kept or streamed takes buffers that are not counted.
	bodyNumerator, bodyDenominator = 1, 2
)

type phase int

const (
	phaseOpen phase = iota
	phaseRunning
	phaseRefused
)

// Share is what the head of one message takes. The zero value is an open share that takes
// nothing.
type Share struct {
	// Owner is what the caller knows the share by.
	Owner any

	cost       Bytes
	phase      phase
	listed     bool
	prev, next *Share
}

// Cost returns what the share takes.
func (s *Share) Cost() Bytes { return s.cost }

// Refused reports whether the message is to be refused.
func (s *Share) Refused() bool { return s.phase == phaseRefused }

// Budget bounds the sum of all shares.
type Budget struct {
	limit Bytes
	// held is the sum of all shares, refused that of the refused ones among them, whose
	// memory is about to be freed.
	held, refused Bytes
	// count is the number of shares refused so far.
	count uint64
	// open is a list of the shares that may be refused, with the newest first.
	open *Share
}

// NewBudget returns a budget of the given size.
func NewBudget(limit Bytes) *Budget {
	return &Budget{limit: limit}
}

// Charge adds to the cost of a share. It returns the shares to be refused for it, which may
// include this one: the largest ones whose messages have not begun to be handled.
func (b *Budget) Charge(s *Share, cost Bytes) (refused []*Share) {
	if cost <= 0 {
		return nil
	}
	s.cost += cost
	b.held += cost
	if s.phase == phaseRefused {
		b.refused += cost
		return nil
	}
	if s.phase == phaseOpen && !s.listed {
		b.list(s)
	}
	for v := b.victim(); v != nil; v = b.victim() {
		b.unlist(v)
		v.phase = phaseRefused
		b.refused += v.cost
		b.count++
		refused = append(refused, v)
	}
	return refused
}

// victim returns the share that is to be refused next, nil if the shares fit the budget. A
// share that holds all of the memory in use is not refused, however small the budget.
func (b *Budget) victim() *Share {
	active := b.held - b.refused
	if active <= b.limit*largeNumerator/largeDenominator {
		return nil
	}
	var largest *Share
	for s := b.open; s != nil; s = s.next {
		if largest == nil || s.cost > largest.cost {
			largest = s
		}
	}
	if largest == nil || largest.cost == active || (largest.cost <= SmallHead && active <= b.limit) {
		return nil
	}
	return largest
}

// Room reports whether a share may grow by what a body costs. One that alone takes all that is
// in use always may.
func (b *Budget) Room(s *Share, cost Bytes) bool {
	active := b.held - b.refused
	return active == s.cost || active+cost <= b.limit*bodyNumerator/bodyDenominator
}

// Refund takes back a part of what a share was charged.
func (b *Budget) Refund(s *Share, cost Bytes) {
	cost = min(cost, s.cost)
	s.cost -= cost
	b.held -= cost
	if s.phase == phaseRefused {
		b.refused -= cost
	}
}

// Begin marks a share whose message begins to be handled; from then on it is not refused. It
// returns false if the message is to be refused.
func (b *Budget) Begin(s *Share) bool {
	if s.phase == phaseRefused {
		return false
	}
	b.unlist(s)
	s.phase = phaseRunning
	return true
}

// Release ends a share. A refused one stays refused.
func (b *Budget) Release(s *Share) {
	b.unlist(s)
	b.held -= s.cost
	if s.phase == phaseRefused {
		b.refused -= s.cost
	}
	s.cost = 0
}

// Held returns the sum of all shares.
func (b *Budget) Held() Bytes { return b.held }

// Count returns the number of shares refused so far.
func (b *Budget) Count() uint64 { return b.count }

// SetLimit changes the size of the budget.
func (b *Budget) SetLimit(limit Bytes) { b.limit = limit }

func (b *Budget) list(s *Share) {
	s.listed, s.next = true, b.open
	if b.open != nil {
		b.open.prev = s
	}
	b.open = s
}

func (b *Budget) unlist(s *Share) {
	if !s.listed {
		return
	}
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		b.open = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	}
	s.listed, s.prev, s.next = false, nil, nil
}
