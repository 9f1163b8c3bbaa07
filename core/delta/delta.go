// Package delta encodes the difference between two texts, so that a small change
// to a large document takes little space to send and to store.
//
// # Usage
//
//	d := delta.Between(base, target)
//	target, err := delta.Apply(base, d)
//
// Texts are compared in chunks that end with a closing brace, which suits JSON:
// when one item of a list changes, all other items are copied from the base. The
// functions are pure. Apply returns ErrBase if the delta does not fit the base.
package delta

import (
	"errors"
	"strings"
)

// ErrBase is returned if a delta refers to bytes outside the base.
var ErrBase = errors.New("the delta was made on another text")

// Op appends bytes From to To of the base, or a literal text.
type Op struct {
	From    int    `json:"from,omitempty"`
	To      int    `json:"to,omitempty"`
	Literal string `json:"literal,omitempty"`
}

// Delta is the list of operations that turns a base into a target.
type Delta []Op

// Between returns the delta that turns base into target.
func Between(base, target string) Delta {
	offsets := map[string]int{}
	offset := 0
	for chunk := range chunks(base) {
		offsets[chunk] = offset
		offset += len(chunk)
	}
	var d Delta
	for chunk := range chunks(target) {
		if d.extends(base, chunk) {
			d[len(d)-1].To += len(chunk)
			continue
		}
		from, found := offsets[chunk]
		if !found {
			d = d.appendLiteral(chunk)
			continue
		}
		d = append(d, Op{From: from, To: from + len(chunk)})
	}
	return d
}

// Apply returns the target of a delta.
func Apply(base string, d Delta) (string, error) {
	var out strings.Builder
	for _, op := range d {
		if op.Literal != "" {
			out.WriteString(op.Literal)
			continue
		}
		if op.From < 0 || op.From > op.To || op.To > len(base) {
			return "", ErrBase
		}
		out.WriteString(base[op.From:op.To])
	}
	return out.String(), nil
}

func (d Delta) appendLiteral(text string) Delta {
	if n := len(d); n > 0 && d[n-1].Literal != "" {
		d[n-1].Literal += text
		return d
	}
	return append(d, Op{Literal: text})
}

// extends reports whether a chunk follows in the base right after the last copied
// range, so that the range can be extended.
func (d Delta) extends(base, chunk string) bool {
	n := len(d)
	return n > 0 && d[n-1].Literal == "" && strings.HasPrefix(base[d[n-1].To:], chunk)
}

// chunks yields the parts of a text, each up to and including a closing brace.
func chunks(text string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for text != "" {
			end := strings.IndexByte(text, '}') + 1
			if end == 0 {
				end = len(text)
			}
			if !yield(text[:end]) {
				return
			}
			text = text[end:]
		}
	}
}
