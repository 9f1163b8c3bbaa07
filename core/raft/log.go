package raft

import "slices"

// log holds the entries that follow a snapshot.
type log struct {
	snapshot Snapshot
	entries  []Entry
	commit   Index
}

func newLog(r Restored) log {
	return log{snapshot: r.Snapshot, entries: slices.Clone(r.Entries), commit: r.Snapshot.Index}
}

func (l *log) first() Index { return l.snapshot.Index + 1 }

func (l *log) last() Index { return l.snapshot.Index + Index(len(l.entries)) }

// term returns the term of the entry at an index if it is in the log.
func (l *log) term(i Index) (Term, bool) {
	if i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.first() || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.first()].Term, true
}

func (l *log) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// slice returns entries from an index on, at most the given number. Together they have at
// most the given size in bytes, unless the first one alone is larger.
func (l *log) slice(i Index, limit, maxBytes int) []Entry {
	if i > l.last() {
		return nil
	}
	part := l.entries[i-l.first():]
	part = part[:min(limit, len(part))]
	for n := range part {
		if maxBytes -= BytesOf(part[n : n+1]); maxBytes < 0 && n > 0 {
			part = part[:n]
			break
		}
	}
	return slices.Clone(part)
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge stores the leader's entries and returns the new ones. Entries that
// conflict, and all after them, are removed.
func (l *log) merge(entries []Entry) (added []Entry) {
	for i, e := range entries {
		if e.Index <= l.snapshot.Index {
			continue
		}
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.last() {
			l.entries = l.entries[: e.Index-l.first() : e.Index-l.first()]
		}
		l.append(entries[i:]...)
		return entries[i:]
	}
	return nil
}

// commitUpTo advances the commit index and returns the newly committed entries.
func (l *log) commitUpTo(i Index) []Entry {
	i = min(i, l.last())
	if i <= l.commit {
		return nil
	}
	committed := slices.Clone(l.entries[l.commit+1-l.first() : i+1-l.first()])
	l.commit = i
	return committed
}

// compact removes the entries that a snapshot covers. It keeps at most the given number and
// bytes of the last ones, which followers slightly behind may need.
func (l *log) compact(s Snapshot, keep, keepBytes int) {
	if s.Index <= l.snapshot.Index {
		return
	}
	lastDropped := s.Index
	for lastDropped > l.snapshot.Index && s.Index-lastDropped < Index(keep) {
		at := lastDropped - l.first()
		if keepBytes -= BytesOf(l.entries[at : at+1]); keepBytes < 0 {
			break
		}
		lastDropped--
	}
	t, ok := l.term(lastDropped)
	if !ok {
		return
	}
	l.entries = slices.Clone(l.entries[lastDropped+1-l.first():])
	l.snapshot = Snapshot{Index: lastDropped, Term: t, Members: l.snapshot.Members}
}

func (l *log) reset(s Snapshot) {
	l.snapshot, l.entries, l.commit = s, nil, s.Index
}

// upToDate reports whether a log that ends with the given index and term is at
// least as up to date as this one (Raft paper, 5.4.1).
func (l *log) upToDate(last Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return last >= l.last()
}
