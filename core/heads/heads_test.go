package heads

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a budget that refuses small heads while a large one holds the memory.
func TestLargestIsRefusedFirst(t *testing.T) {
	b := NewBudget(100_000)
	small, large, larger := &Share{}, &Share{}, &Share{}
	assert.Equal(t, len(b.Charge(small, 1000)), 0)
	assert.Equal(t, len(b.Charge(large, 30_000)), 0)
	refused := b.Charge(larger, 50_000)
	assert.Equal(t, len(refused), 1)
	assert.Assert(t, refused[0] == larger && larger.Refused())
	assert.Assert(t, !b.Begin(larger))
	assert.Assert(t, b.Begin(small) && b.Begin(large))
	b.Release(larger)
	assert.Equal(t, b.Held(), Bytes(31_000))
	assert.Equal(t, b.Count(), uint64(1))
}

// Guards against large heads whose requests run and that leave nothing to ordinary callers.
func TestOrdinaryHeadsHaveAReserve(t *testing.T) {
	b := NewBudget(100_000)
	running, large, small := &Share{}, &Share{}, &Share{}
	b.Charge(running, 70_000)
	assert.Assert(t, b.Begin(running))
	assert.Equal(t, len(b.Charge(large, SmallHead+1)), 1, "running ones are not refused, so this one is")
	assert.Equal(t, len(b.Charge(small, 10_000)), 0)
	assert.Assert(t, b.Begin(small))
}

// Guards against a budget that refuses everything, also a single request within the limits.
func TestASingleHeadIsServed(t *testing.T) {
	b := NewBudget(1000)
	only := &Share{}
	assert.Equal(t, len(b.Charge(only, 1_000_000)), 0)
	assert.Assert(t, b.Begin(only))
}

// Guards against memory beside heads that leaves nothing to them, or that a single request in
// a calm period does not get.
func TestRoomLeavesTheReserve(t *testing.T) {
	b := NewBudget(100_000)
	first, second := &Share{}, &Share{}
	assert.Assert(t, b.Room(first, 200_000), "alone")
	b.Charge(first, 30_000)
	assert.Assert(t, b.Room(second, 20_000))
	assert.Assert(t, !b.Room(second, 20_001))
	b.Refund(first, 10_000)
	assert.Assert(t, b.Room(second, 30_000))
	b.Refund(first, 90_000)
	assert.Equal(t, b.Held(), Bytes(0))
}

// Guards against shares that are counted twice or never released, and a sum above the budget.
func TestSumIsExactAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, shares = 200_000, 8
		b := NewBudget(limit)
		all := make([]*Share, shares)
		for i := range all {
			all[i] = &Share{}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := all[rapid.IntRange(0, shares-1).Draw(t, "share")]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				b.Begin(s)
			case 1:
				b.Release(s)
				*s = Share{}
			default:
				b.Charge(s, Bytes(rapid.IntRange(0, 60_000).Draw(t, "cost")))
			}
			sum, active, open := Bytes(0), Bytes(0), Bytes(0)
			for _, s := range all {
				sum += s.cost
				if s.phase != phaseRefused {
					active += s.cost
				}
				if s.phase == phaseOpen {
					open += s.cost
				}
			}
			assert.Equal(t, b.Held(), sum)
			assert.Assert(t, active <= limit || open == 0 || open == active, "%d in use, of which %d could be refused", active, open)
		}
		for _, s := range all {
			b.Release(s)
		}
		assert.Equal(t, b.Held(), Bytes(0))
	})
}

// scanAll passes a text in pieces and returns what was taken of it up to the first boundary,
// and its cost.
func scanAll(s *Scanner, text string, piece int) (n int, cost Bytes) {
	for n < len(text) {
		end := min(len(text), n+piece)
		used, c := s.Scan([]byte(text[n:end]))
		n, cost = n+used, cost+c
		if used < end-n || s.HeadEnded() || used == 0 {
			break
		}
	}
	return n, cost
}

// Guards against heads that are not counted because of how they are split, or of what comes
// before them on their connection.
func TestScannerFollowsMessages(t *testing.T) {
	const head, lines = "GET / HTTP/1.1\r\nHost: a\nB:\r\n\r\n", 3
	for name, c := range map[string]struct {
		length  int64
		body    string
		trailer int
	}{
		"no body":     {0, "", 0},
		"fixed":       {5, "a\n\n\r\n", 0},
		"chunked":     {Chunked, "2;x=y\r\n\n\n\r\nA\r\n0123456789\r\n0\r\n\r\n", 0},
		"with a tail": {Chunked, "1\nx\n0;e\r\nt:\r\nu:1\r\n\r\n", 2},
		"odd size":    {Chunked, "0x1\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			for piece := 1; piece <= len(head)+len(c.body); piece++ {
				s := &Scanner{}
				for range 2 {
					n, cost := scanAll(s, head+"rest", piece)
					assert.Equal(t, n, len(head))
					assert.Equal(t, cost, Bytes(len(head))+lines*LineCost)
					assert.Assert(t, s.HeadEnded())
					s.Body(c.length)
					_, cost = scanBody(s, c.body, piece)
					assert.Equal(t, cost/LineCost, Bytes(c.trailer))
					assert.Equal(t, *s, Scanner{}, "at the next head")
				}
			}
		})
	}
}

// scanBody passes all of a body in pieces.
func scanBody(s *Scanner, body string, piece int) (n int, cost Bytes) {
	for n < len(body) {
		used, c := s.Scan([]byte(body[n:min(len(body), n+piece)]))
		n, cost = n+used, cost+c
	}
	return n, cost
}

// Guards against a head that is not counted because empty lines come before it, which parsers
// skip after some requests.
func TestEmptyLinesDoNotEndAHead(t *testing.T) {
	const head = "\r\n\nGET / HTTP/1.1\r\na:\r\n\r\n"
	s := &Scanner{}
	n, cost := s.Scan([]byte(head))
	assert.Equal(t, n, len(head))
	assert.Equal(t, cost, Bytes(len(head))+2*LineCost)
	assert.Assert(t, s.HeadEnded())
}

// Guards against responses whose interim heads hide the final one.
func TestInterimResponsesAreTold(t *testing.T) {
	for text, interim := range map[string]bool{
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n": true, "HTTP/1.1 200 OK\r\n1:\r\n\r\n": false, "1\r\n\r\n": false,
	} {
		s := &Scanner{}
		s.Scan([]byte(text))
		assert.Equal(t, s.HeadEnded(), true)
		assert.Equal(t, s.Interim(), interim, "%q", text)
	}
}

// Guards against a scanner that is led astray, stops taking bytes or costs less than the
// bytes of a head.
func FuzzScanner(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\n\r\n", int64(0))
	f.Add(strings.Repeat("fffffffff", 9)+"\r\n", int64(Chunked))
	f.Fuzz(func(t *testing.T, text string, length int64) {
		s := &Scanner{}
		s.Body(length)
		for p := []byte(text); len(p) > 0; {
			n, cost := s.Scan(p)
			assert.Assert(t, n > 0 && n <= len(p) && cost >= 0)
			p = p[n:]
			if s.HeadEnded() {
				s.Body(length)
			}
		}
	})
}
