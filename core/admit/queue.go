package admit

import (
	"slices"

	"chicorymast/core/ident"
)

// fairQueue holds the waiting calls of one priority level in one queue per
// workspace and serves the workspaces round robin.
type fairQueue struct {
	byWorkspace map[ident.Workspace][]Request
	// order lists the workspaces with waiting calls, the next to be served first.
	order []ident.Workspace
	size  int
}

func (q *fairQueue) push(r Request) {
	if q.byWorkspace == nil {
		q.byWorkspace = map[ident.Workspace][]Request{}
	}
	if len(q.byWorkspace[r.Workspace]) == 0 {
		q.order = append(q.order, r.Workspace)
	}
	q.byWorkspace[r.Workspace] = append(q.byWorkspace[r.Workspace], r)
	q.size++
}

func (q *fairQueue) pop() Request {
	ws := q.order[0]
	r := q.byWorkspace[ws][0]
	q.removeAt(ws, 0)
	if len(q.order) > 1 && q.order[0] == ws {
		q.order = append(q.order[1:], ws)
	}
	return r
}

// removeAt removes one call, and the workspace from the order with its last call.
func (q *fairQueue) removeAt(ws ident.Workspace, i int) {
	q.byWorkspace[ws] = slices.Delete(q.byWorkspace[ws], i, i+1)
	q.size--
	if len(q.byWorkspace[ws]) > 0 {
		return
	}
	delete(q.byWorkspace, ws)
	q.order = slices.DeleteFunc(q.order, func(other ident.Workspace) bool { return other == ws })
}

func (q *fairQueue) remove(t Ticket) bool {
	for ws, queue := range q.byWorkspace {
		for i, r := range queue {
			if r.Ticket == t {
				q.removeAt(ws, i)
				return true
			}
		}
	}
	return false
}

// removeLate removes and returns the calls for which late is true.
func (q *fairQueue) removeLate(late func(Request) bool) []Request {
	var removed []Request
	for _, ws := range slices.Clone(q.order) {
		for i := len(q.byWorkspace[ws]) - 1; i >= 0; i-- {
			if r := q.byWorkspace[ws][i]; late(r) {
				removed = append(removed, r)
				q.removeAt(ws, i)
			}
		}
	}
	return removed
}

func (q *fairQueue) longest() ident.Workspace {
	var longest ident.Workspace
	for _, ws := range q.order {
		if len(q.byWorkspace[ws]) > len(q.byWorkspace[longest]) {
			longest = ws
		}
	}
	return longest
}

// worst returns the position of the waiting call to shed first.
func (q *fairQueue) worst() (ws ident.Workspace, index int) {
	ws = q.longest()
	for i, r := range q.byWorkspace[ws] {
		if shedBefore(r, q.byWorkspace[ws][index]) {
			index = i
		}
	}
	return ws, index
}

// shedBefore reports whether r should be shed rather than other. Calls that are
// not nested are shed first, because no work was done for them yet; then calls
// with a higher rank; at equal ranks, r.
func shedBefore(r, other Request) bool {
	if r.Nested != other.Nested {
		return !r.Nested
	}
	return r.Rank >= other.Rank
}

func (q *fairQueue) dropWorst() Request {
	ws, i := q.worst()
	r := q.byWorkspace[ws][i]
	q.removeAt(ws, i)
	return r
}

// shouldReplaceWorst reports whether an arriving call should be kept and the
// worst waiting call shed instead.
func (q *fairQueue) shouldReplaceWorst(r Request) bool {
	if q.size == 0 {
		return false
	}
	ws, i := q.worst()
	own, longest := len(q.byWorkspace[r.Workspace]), len(q.byWorkspace[ws])
	if ws != r.Workspace && own+1 < longest {
		return true
	}
	if ws != r.Workspace && own+1 > longest {
		return false
	}
	return !shedBefore(r, q.byWorkspace[ws][i])
}
