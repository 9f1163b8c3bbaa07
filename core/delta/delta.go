// Package delta says how one text differs from another, so that a small change
// of a large document costs little to send and to keep.
//
// # Usage
//
//	d := delta.Between(have, want)
//	want, err := delta.Apply(have, d)
//
// Texts are compared in pieces that end with a closing brace, which suits
// JSON: a list of items that changes in one item repeats all others. The
// functions are pure; Apply returns ErrBase for a delta of another text.
package delta

import (
	"errors"
	"strings"
)

// ErrBase is returned when a delta refers to what the text does not have.
var ErrBase = errors.New("the delta was made on another text")

// Op adds a part of the base, from byte From to byte To, or a literal text.
type Op struct {
	From    int    `json:"from,omitempty"`
	To      int    `json:"to,omitempty"`
	Literal string `json:"literal,omitempty"`
}

// Delta leads from one text to another.
type Delta []Op

// Between returns what leads from one text to another.
func Between(have, want string) Delta {
	places := map[string]int{}
	at := 0
	for piece := range pieces(have) {
		places[piece] = at
		at += len(piece)
	}
	var d Delta
	for piece := range pieces(want) {
		if d.goesOn(have, piece) {
			d[len(d)-1].To += len(piece)
			continue
		}
		from, kept := places[piece]
		if !kept {
			d = d.literal(piece)
			continue
		}
		d = append(d, Op{From: from, To: from + len(piece)})
	}
	return d
}

// Apply returns the text that a delta leads to.
func Apply(have string, d Delta) (string, error) {
	var out strings.Builder
	for _, op := range d {
		if op.Literal != "" {
			out.WriteString(op.Literal)
			continue
		}
		if op.From < 0 || op.From > op.To || op.To > len(have) {
			return "", ErrBase
		}
		out.WriteString(have[op.From:op.To])
	}
	return out.String(), nil
}

func (d Delta) literal(text string) Delta {
	if n := len(d); n > 0 && d[n-1].Literal != "" {
		d[n-1].Literal += text
		return d
	}
	return append(d, Op{Literal: text})
}

// goesOn reports whether the base goes on with a piece where the last copied
// part ended.
func (d Delta) goesOn(have, piece string) bool {
	n := len(d)
	return n > 0 && d[n-1].Literal == "" && strings.HasPrefix(have[d[n-1].To:], piece)
}

// pieces yields the parts of a text, each up to and with a closing brace.
func pieces(text string) func(yield func(string) bool) {
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
