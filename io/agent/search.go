package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chicorymast/core/fresh"
	"chicorymast/io/event"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

const (
	// searchWidth is the number of relays that are probed at once: enough to include
	// control daemons of several data centres.
	searchWidth = 6
	// searchSettle is how long a search waits for a preferred relay after the first
	// fresh one has answered.
	searchSettle = 50 * time.Millisecond
	// searchPause is the time between two searches while the current relay answers
	// but is stale. It is short, so that a new leader is found soon.
	searchPause = 250 * time.Millisecond
	// minAgeGain is by how much another stale relay's configuration must be younger
	// to justify a change of relays.
	minAgeGain = time.Second
)

// probeResult is the reply of a relay to a probe.
type probeResult struct {
	// rank is the relay's place in the list of relays.
	rank  int
	age   time.Duration
	reply wire.SyncReply
}

// selectRelay sets a relay, a fresh one if possible. It reports whether the
// next attempt may follow without a pause.
func (a *Agent) selectRelay(ctx context.Context) bool {
	relays := a.opt.RelayAddresses()
	if len(relays) == 0 {
		return a.relay != "" && !a.failed
	}
	// The last relay is this daemon itself; it is used when no other one answers.
	others, self := relays[:len(relays)-1], relays[len(relays)-1]
	current := slices.Index(relays, a.relay)
	responsive := current >= 0 && !a.failed
	if len(others) == 0 {
		a.switchTo(self, reasonNoOther)
		return responsive
	}
	candidates := a.candidates(len(others), current)
	if len(candidates) == 0 {
		return true
	}
	a.searchedAt = a.opt.Clock.Now()
	reason := a.searchReason(responsive)
	best, ok := pickRelay(a.probe(ctx, others, candidates), responsive, a.age)
	if ok {
		a.switchTo(others[best], reason)
	} else if !responsive {
		a.switchTo(self, reasonNoOther)
	}
	return ok || responsive
}

// candidates returns the ranks of the relays to probe now, among the first n:
// some of all others when the current relay fails or is stale, and every
// preferredPause some of the earlier ones when it is fresh.
func (a *Agent) candidates(n, current int) (ranks []int) {
	responsive := current >= 0 && !a.failed
	upToDate := responsive && a.age <= fresh.StaleAfter
	since := a.opt.Clock.Now().Sub(a.searchedAt)
	if (upToDate && since < preferredPause) || (responsive && since < searchPause) {
		return nil
	}
	if upToDate {
		n = min(n, current)
	}
	for _, rank := range searchRanks(n, a.searches) {
		if rank != current || !responsive {
			ranks = append(ranks, rank)
		}
	}
	a.searches++
	return ranks
}

// searchRanks returns which of n relays a search probes. Searches proceed from both ends of
// the list, which ends with control daemons of other data centres: one fault does not
// silence all relays of the first searches.
func searchRanks(n, search int) (ranks []int) {
	if n <= searchWidth {
		for rank := range n {
			ranks = append(ranks, rank)
		}
		return ranks
	}
	const fromEnd = searchWidth / 3
	rounds := (n + searchWidth - 1) / searchWidth
	round := search % rounds
	first, last := round*(searchWidth-fromEnd), n-1-round*fromEnd
	for i := range searchWidth - fromEnd {
		ranks = append(ranks, (first+i)%n)
	}
	for i := range fromEnd {
		if !slices.Contains(ranks, last-i) {
			ranks = append(ranks, last-i)
		}
	}
	return ranks
}

// probe asks several relays at once for their configuration and its age. What they reply
// is applied at once, so that a change does not wait for the first sync with another relay.
func (a *Agent) probe(ctx context.Context, relays []string, ranks []int) (replies []probeResult) {
	ctx, cancel := context.WithTimeout(ctx, fresh.SearchTimeout)
	defer cancel()
	q := a.request(0)
	q.Probe = true
	sent := a.opt.Clock.Now()
	results := make(chan *probeResult, len(ranks))
	for _, rank := range ranks {
		go func() {
			reply, err := wire.Call[wire.SyncReply](ctx, a.opt.Pool, relays[rank], wire.MethodSync, q)
			if err != nil {
				results <- nil // the loop below waits for one result of each relay
				return
			}
			results <- &probeResult{rank: rank, age: time.Duration(reply.AgeMs) * time.Millisecond, reply: reply}
		}()
	}
	settle := time.NewTimer(fresh.SearchTimeout)
	defer settle.Stop()
	settling := false
	for range ranks {
		select {
		case result := <-results:
			if result == nil {
				continue
			}
			replies = append(replies, *result)
			a.confirm(q, sent, result.reply)
			if a.opt.Recall != nil && (len(result.reply.Departures) > 0 || result.reply.Evacuated) {
				a.opt.Recall(result.reply.Departures, result.reply.Evacuated)
			}
			if result.age <= fresh.StaleAfter && !settling {
				settling = true
				settle.Reset(searchSettle)
			}
		case <-settle.C:
			return replies
		}
	}
	return replies
}

// pickRelay returns the rank of the relay to change to: the first fresh one, else
// the one with the youngest configuration. A stale one is chosen only if the
// current relay does not answer or is older by more than minAgeGain.
func pickRelay(replies []probeResult, responsive bool, age time.Duration) (rank int, ok bool) {
	if len(replies) == 0 {
		return 0, false
	}
	best := slices.MinFunc(replies, func(x, y probeResult) int {
		return cmp.Or(cmp.Compare(max(x.age, fresh.StaleAfter), max(y.age, fresh.StaleAfter)), cmp.Compare(x.rank, y.rank))
	})
	ok = best.age <= fresh.StaleAfter || !responsive || age-best.age > minAgeGain
	return best.rank, ok
}

// changeReason is why the relay changes, for the log.
type changeReason string

const (
	reasonFirst     changeReason = "first"
	reasonSilent    changeReason = "silent"
	reasonStale     changeReason = "stale"
	reasonPreferred changeReason = "preferred"
	reasonNoOther   changeReason = "no_other_answers"
)

func (a *Agent) searchReason(responsive bool) changeReason {
	switch {
	case a.relay == "":
		return reasonFirst
	case !responsive:
		return reasonSilent
	case a.age > fresh.StaleAfter:
		return reasonStale
	}
	return reasonPreferred
}

func (a *Agent) switchTo(next string, reason changeReason) {
	a.failed = false
	a.silence.End()
	if next == a.relay {
		return
	}
	a.mu.Lock()
	a.relay = next
	a.mu.Unlock()
	a.age = 0
	a.bulkAt, a.reserved = time.Time{}, false
	a.cursor = wire.Cursor{}
	a.opt.Log.Emit(event.RelayChanged, zap.String("relay", next), zap.String("reason", string(reason)), a.unconfirmed())
}
