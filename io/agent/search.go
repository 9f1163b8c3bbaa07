package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chicorymast/io/event"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

const (
	// searchWidth is how many relays are asked at once: enough that the control
	// daemons of several data centres are among them.
	searchWidth = 6
	// searchTimeout leaves a relay on another continent time to answer.
	searchTimeout = 500 * time.Millisecond
	// searchSettle is how much longer than the first fresh relay a better one
	// may take.
	searchSettle = 50 * time.Millisecond
	// searchPause stands between two searches while the present relay answers
	// but is stale: a new leader among the control daemons is noticed soon.
	searchPause = 250 * time.Millisecond
	// youngerBy is by how much another stale relay's configuration must be
	// younger to be worth a change of relays.
	youngerBy = time.Second
)

// found is a relay that answered a probe.
type found struct {
	// rank is its place in the list of relays.
	rank int
	age  time.Duration
}

// choose sees to it that a relay is set, and a fresh one where there is one. It
// reports whether the relay that is set is worth an attempt at once.
func (a *Agent) choose(ctx context.Context) bool {
	relays := a.opt.RelayAddresses()
	if len(relays) == 0 {
		return a.relay != "" && !a.failed
	}
	// The last of the list is this daemon itself, for when nobody answers.
	others, self := relays[:len(relays)-1], relays[len(relays)-1]
	present := slices.Index(relays, a.relay)
	works := present >= 0 && !a.failed
	if len(others) == 0 {
		a.switchTo(self)
		return works
	}
	candidates := a.candidates(len(others), present)
	if len(candidates) == 0 {
		return true
	}
	a.searchedAt = a.opt.Clock.Now()
	best, ok := pick(a.probe(ctx, others, candidates), works, a.age)
	if ok {
		a.switchTo(others[best])
	} else if !works {
		a.switchTo(self)
	}
	return ok || works
}

// candidates returns the places, of n, of those relays that are worth a probe
// now: some of all others when the present one fails or is stale, from time to
// time those before it when it is neither.
func (a *Agent) candidates(n, present int) (places []int) {
	works := present >= 0 && !a.failed
	fresh := works && a.age <= staleAfter
	since := a.opt.Clock.Now().Sub(a.searchedAt)
	if (fresh && since < preferredPause) || (works && since < searchPause) {
		return nil
	}
	if fresh {
		n = min(n, present)
	}
	for i := range min(n, searchWidth) {
		place := (a.searched + i) % n
		if place != present || !works {
			places = append(places, place)
		}
	}
	a.searched += searchWidth
	return places
}

// probe asks several relays at once how old their configuration is.
func (a *Agent) probe(ctx context.Context, relays []string, places []int) (answers []found) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	q := a.request(0)
	q.Probe = true
	heard := make(chan *found, len(places))
	for _, place := range places {
		go func() {
			reply, err := wire.Call[wire.SyncReply](ctx, a.opt.Pool, relays[place], wire.MethodSync, q)
			if err != nil {
				heard <- nil // silence is an answer, too
				return
			}
			heard <- &found{rank: place, age: time.Duration(reply.AgeMs) * time.Millisecond}
		}()
	}
	settle := time.NewTimer(searchTimeout)
	defer settle.Stop()
	fresh := false
	for range places {
		select {
		case f := <-heard:
			if f == nil {
				continue
			}
			answers = append(answers, *f)
			if f.age <= staleAfter && !fresh {
				fresh = true
				settle.Reset(searchSettle)
			}
		case <-settle.C:
			return answers
		}
	}
	return answers
}

// pick returns the rank of the relay to change to: the first fresh one, else
// the one with the youngest configuration, provided that the present one does
// not work or that its configuration is older by far.
func pick(answers []found, works bool, age time.Duration) (rank int, ok bool) {
	if len(answers) == 0 {
		return 0, false
	}
	best := slices.MinFunc(answers, func(x, y found) int {
		return cmp.Or(cmp.Compare(max(x.age, staleAfter), max(y.age, staleAfter)), cmp.Compare(x.rank, y.rank))
	})
	ok = best.age <= staleAfter || !works || age-best.age > youngerBy
	return best.rank, ok
}

func (a *Agent) switchTo(next string) {
	a.failed = false
	if next == a.relay {
		return
	}
	a.mu.Lock()
	a.relay = next
	a.mu.Unlock()
	a.age = 0
	a.mark = wire.Cursor{}
	a.opt.Log.Emit(event.RelayChanged, zap.String("relay", next))
}
