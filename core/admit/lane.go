package admit

import (
	"slices"

	"chicorymast/core/ident"
)

// lane holds the waiting calls of one class, a queue for each workspace, and
// serves the workspaces in turn.
type lane struct {
	queues map[ident.Workspace][]Request
	turn   []ident.Workspace
	size   int
}

func (l *lane) push(r Request) {
	if l.queues == nil {
		l.queues = map[ident.Workspace][]Request{}
	}
	if len(l.queues[r.Workspace]) == 0 {
		l.turn = append(l.turn, r.Workspace)
	}
	l.queues[r.Workspace] = append(l.queues[r.Workspace], r)
	l.size++
}

func (l *lane) pop() Request {
	w := l.turn[0]
	r := l.queues[w][0]
	l.cut(w, 0)
	if len(l.turn) > 1 && l.turn[0] == w {
		l.turn = append(l.turn[1:], w)
	}
	return r
}

// cut removes one call and keeps the turn list in step.
func (l *lane) cut(w ident.Workspace, at int) {
	l.queues[w] = slices.Delete(l.queues[w], at, at+1)
	l.size--
	if len(l.queues[w]) > 0 {
		return
	}
	delete(l.queues, w)
	l.turn = slices.DeleteFunc(l.turn, func(t ident.Workspace) bool { return t == w })
}

func (l *lane) remove(t Ticket) bool {
	for w, queue := range l.queues {
		for i, r := range queue {
			if r.Ticket == t {
				l.cut(w, i)
				return true
			}
		}
	}
	return false
}

// expired takes out the calls that are too late.
func (l *lane) expired(late func(Request) bool) []Request {
	var gone []Request
	for _, w := range slices.Clone(l.turn) {
		for i := len(l.queues[w]) - 1; i >= 0; i-- {
			if r := l.queues[w][i]; late(r) {
				gone = append(gone, r)
				l.cut(w, i)
			}
		}
	}
	return gone
}

func (l *lane) longest() ident.Workspace {
	var found ident.Workspace
	for _, w := range l.turn {
		if len(l.queues[w]) > len(l.queues[found]) {
			found = w
		}
	}
	return found
}

func (l *lane) worst() (w ident.Workspace, at int) {
	w = l.longest()
	for i, r := range l.queues[w] {
		if worse(r, l.queues[w][at]) {
			at = i
		}
	}
	return w, at
}

// worse reports whether r should be shed rather than other: one for which
// nothing was done yet, then the one of the higher rank.
func worse(r, other Request) bool {
	if r.Nested != other.Nested {
		return !r.Nested
	}
	return r.Rank >= other.Rank
}

func (l *lane) dropWorst() Request {
	w, at := l.worst()
	r := l.queues[w][at]
	l.cut(w, at)
	return r
}

// betterThanWorst reports whether an arriving call should take the place of
// the worst one that waits.
func (l *lane) betterThanWorst(r Request) bool {
	if l.size == 0 {
		return false
	}
	w, at := l.worst()
	mine, longest := len(l.queues[r.Workspace]), len(l.queues[w])
	if w != r.Workspace && mine+1 < longest {
		return true
	}
	if w != r.Workspace && mine+1 > longest {
		return false
	}
	return !worse(r, l.queues[w][at])
}
