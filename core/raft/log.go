package raft

import "slices"

// log holds the entries after a snapshot.
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

// term returns the term of an entry, if the log still holds it.
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

// from returns up to most entries from an index on.
func (l *log) from(i Index, most int) []Entry {
	if i > l.last() {
		return nil
	}
	part := l.entries[i-l.first():]
	return slices.Clone(part[:min(most, len(part))])
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge takes entries from the leader and returns those that are new; a
// conflicting tail is dropped.
func (l *log) merge(entries []Entry) (added []Entry) {
	for i, e := range entries {
		if e.Index <= l.snapshot.Index {
			continue
		}
		if t, held := l.term(e.Index); held && t == e.Term {
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

// upTo moves the commit index and returns the newly committed entries.
func (l *log) upTo(i Index) []Entry {
	i = min(i, l.last())
	if i <= l.commit {
		return nil
	}
	newly := slices.Clone(l.entries[l.commit+1-l.first() : i+1-l.first()])
	l.commit = i
	return newly
}

// compact drops entries that a snapshot covers, but keeps some for followers
// that are a little behind.
func (l *log) compact(s Snapshot, keep int) {
	if s.Index <= l.snapshot.Index {
		return
	}
	base := s.Index
	if Index(keep) < base {
		base -= Index(keep)
	} else {
		base = 0
	}
	base = max(base, l.snapshot.Index)
	t, held := l.term(base)
	if !held {
		return
	}
	l.entries = slices.Clone(l.entries[base+1-l.first():])
	l.snapshot = Snapshot{Index: base, Term: t, Members: l.snapshot.Members}
}

func (l *log) reset(s Snapshot) {
	l.snapshot, l.entries, l.commit = s, nil, s.Index
}

// upToDate reports whether a log that ends so holds all that this one does.
func (l *log) upToDate(last Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return last >= l.last()
}
