package heads

import "bytes"

// Chunked is the length of a body that is sent in chunks.
const Chunked = -1

// statusPosition is where the status begins in the first line of a response.
const statusPosition = len("HTTP/1.1 ")

type part int

const (
	// partHead is a head, and partHeadEnded the place behind it until Body is called.
	partHead part = iota
	partHeadEnded
	partFixed
	partChunkSize
	partChunkExtension
	partChunkData
	partChunkEnd
	partTrailer
)

// Scanner follows the messages that arrive on a connection, one behind the other, and returns
// the cost of their heads and trailers. It need not tell a legal message from others: the
// parser of the messages does that. The zero value is at the begin of a head.
type Scanner struct {
	part part
	// text is set if the present line has a character other than its end, and begun if some
	// line of the head had. Parsers skip empty lines before a head in some cases.
	text, begun bool
	// position is the place in the first line of a response, up to that of its status or
	// behind it, and class is the first digit of the status.
	position int
	class    byte
	// left is what is left of a body, or of a chunk.
	left int64
}

// Body says how long the body behind the head is.
func (s *Scanner) Body(length int64) {
	s.Head()
	switch {
	case length == 0:
	case length < 0:
		s.part = partChunkSize
	default:
		s.part, s.left = partFixed, length
	}
}

// Head says that the next byte begins a head.
func (s *Scanner) Head() { *s = Scanner{} }

// HeadEnded reports whether the head is complete and Body is to be called.
func (s *Scanner) HeadEnded() bool { return s.part == partHeadEnded }

// InBody reports whether a body or its trailers are not complete.
func (s *Scanner) InBody() bool { return s.part > partHeadEnded }

// Interim reports whether the head that has ended is that of an interim response, behind which
// another response follows.
func (s *Scanner) Interim() bool { return s.class == '1' }

// Scan takes bytes that follow those of before. It returns how many of them belong to the
// present message up to the end of its head, or its body, and what they cost. The others are
// to be passed again.
func (s *Scanner) Scan(p []byte) (n int, cost Bytes) {
	if s.part == partHeadEnded {
		// A server that waits for the end of the connection reads a byte before it says Body.
		if len(p) == 0 {
			return 0, 0
		}
		if p[0] == '\n' {
			return 1, 1 + LineCost
		}
		return 1, 1
	}
	for n < len(p) {
		switch s.part {
		case partHead, partTrailer:
			used, ended := s.lines(p[n:], &cost)
			n += used
			if ended {
				return n, cost
			}
		case partFixed, partChunkData:
			used := int(min(s.left, int64(len(p)-n)))
			n += used
			s.left -= int64(used)
			if s.left > 0 {
				return n, cost
			}
			if s.part == partFixed {
				s.Head()
				return n, cost
			}
			s.part = partChunkEnd
		default:
			s.chunkByte(p[n])
			n++
		}
	}
	return n, cost
}

// lines takes the lines of a head or of trailers up to the empty one that ends them.
func (s *Scanner) lines(p []byte, cost *Bytes) (n int, ended bool) {
	for n < len(p) {
		length := bytes.IndexByte(p[n:], '\n')
		if length < 0 {
			s.characters(p[n:])
			*cost += Bytes(len(p) - n)
			return len(p), false
		}
		s.characters(p[n : n+length])
		n += length + 1
		*cost += Bytes(length) + 1
		switch {
		case s.text:
			s.text, s.position = false, statusPosition+1
			*cost += LineCost
		case s.part == partTrailer:
			s.Head()
			return n, true
		case s.begun:
			s.part = partHeadEnded
			return n, true
		}
	}
	return n, false
}

// characters takes a part of a line.
func (s *Scanner) characters(p []byte) {
	for _, c := range p {
		if s.text && s.position > statusPosition {
			return
		}
		if c != '\r' {
			s.text, s.begun = true, true
		}
		if s.position == statusPosition {
			s.class = c
		}
		s.position++
	}
}

// chunkByte takes a byte between the data of two chunks.
func (s *Scanner) chunkByte(c byte) {
	const maxSize = 1 << 48 // a larger one is refused by the parser
	switch {
	case s.part == partChunkEnd:
		if c == '\n' {
			s.part, s.left = partChunkSize, 0
		}
	case c == '\n':
		s.part = partChunkData
		if s.left == 0 {
			s.part, s.text = partTrailer, false
		}
	case s.part == partChunkSize:
		digit, ok := hexDigit(c)
		if !ok || s.left > maxSize {
			s.part = partChunkExtension
			return
		}
		s.left = s.left<<4 | digit
	}
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
