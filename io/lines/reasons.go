package lines

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/event"
)

// Sum counts the refusals with the same reason, route, service, deciding VM and age of
// inputs in one second.
type Sum struct {
	Second  time.Time
	Reason  string
	Route   string
	Service string
	VM      ident.VM
	Age     string
	Count   int
}

// Reasons sums the refusals of requests at their entries. Those that were left out of
// the log are included, with an unknown age.
func Reasons(logs []Line) []Sum {
	counts := map[Sum]int{}
	for _, l := range logs {
		s := Sum{Second: l.Time.Truncate(time.Second), VM: l.VM}
		switch l.Event {
		case event.RequestRefused:
			s.Reason, s.Route, s.Service, s.Age = l.Text("reason"), l.Text("route"), l.Text("service"), ageClass(l)
			counts[s]++
		case event.DecisionsOmitted:
			countOmitted(counts, s, l)
		}
	}
	sums := make([]Sum, 0, len(counts))
	for s, n := range counts {
		s.Count = n
		sums = append(sums, s)
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		return cmp.Or(a.Second.Compare(b.Second), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Age, b.Age))
	})
	return sums
}

func countOmitted(counts map[Sum]int, s Sum, l Line) {
	list, _ := l.Fields["most"].([]any)
	for _, item := range list {
		o, _ := item.(map[string]any)
		number, _ := o["of_event"].(float64)
		n, _ := o["count"].(float64)
		if event.ID(number) != event.RequestRefused {
			continue
		}
		s.Reason, s.Route, s.Service, s.Age = fmt.Sprint(o["reason"]), fmt.Sprint(o["route"]), fmt.Sprint(o["service"]), ageUnknown
		counts[s] += int(n)
	}
}

const ageUnknown = "unknown"

// ageClass returns the order of magnitude of the age of a decision's inputs.
func ageClass(l Line) string {
	ms, known := l.Number("input_age_ms")
	switch {
	case !known:
		return ageUnknown
	case ms < 100:
		return "<0.1s"
	case ms < 1000:
		return "<1s"
	case ms < 10_000:
		return "<10s"
	}
	return ">=10s"
}
