package trial

import (
	"time"

	"chicorymast/core/ident"
)

// The layouts of the two deployments keep the proportions of servers, slots
// and connections; slots are a tenth, so that one machine carries them.

const deployMean = 60 * time.Millisecond

// Mapa is the deployment in three data centres with a chain four deep.
func Mapa() Layout {
	l := deployment([]ident.DataCentre{"kosice-1", "kosice-2", "kosice-3"})
	l.Services = []Service{
		{Name: "objednavky", Servers: 4, Slots: 7, MaxOpenCalls: 51, MeanServiceTime: deployMean, Calls: []string{"/objednavky GET /katalog/item"}},
		{Name: "katalog", Servers: 5, Slots: 6, MaxOpenCalls: 43, MeanServiceTime: deployMean, Calls: []string{"/katalog GET /grafika/thumb"}},
		{Name: "grafika", Servers: 3, Slots: 9, MaxOpenCalls: 65, MeanServiceTime: deployMean, Calls: []string{"/grafika GET /expedicia/rate"}},
		{Name: "expedicia", Servers: 3, Slots: 2, MaxOpenCalls: 20, MeanServiceTime: deployMean / 4},
	}
	l.Routes = deployRoutes("objednavky", "katalog", "grafika", "expedicia")
	return l
}

// Coinex is the deployment in four data centres with a chain four deep.
func Coinex() Layout {
	l := deployment([]ident.DataCentre{"suva", "nadi", "lautoka", "nausori"})
	l.Services = []Service{
		{Name: "credit-svc", Servers: 4, Slots: 8, MaxOpenCalls: 55, MeanServiceTime: deployMean, Calls: []string{"/credit-svc GET /balance-svc/ledger"}},
		{Name: "balance-svc", Servers: 5, Slots: 7, MaxOpenCalls: 53, MeanServiceTime: deployMean, Calls: []string{"/balance-svc GET /audit-svc/check"}},
		{Name: "audit-svc", Servers: 4, Slots: 8, MaxOpenCalls: 55, MeanServiceTime: deployMean, Calls: []string{"/audit-svc GET /receipt-svc/tariff"}},
		{Name: "receipt-svc", Servers: 4, Slots: 3, MaxOpenCalls: 29, MeanServiceTime: deployMean / 4},
	}
	l.Routes = deployRoutes("credit-svc", "balance-svc", "audit-svc", "receipt-svc")
	return l
}

func deployment(dcs []ident.DataCentre) Layout {
	return Layout{DataCentres: dcs, ControlDaemons: 3}
}

func deployRoutes(first, second, third, fourth ident.Service) []Route {
	root := "/" + string(first) + "/{id}"
	return []Route{
		{Name: "place", Method: "POST", Path: root, Service: first, Class: ident.ClassCritical},
		{Name: "status", Method: "GET", Path: root, Service: first, Idempotent: true, Class: ident.ClassNormal},
		{Name: "browse", Method: "GET", Path: "/" + string(second) + "/{id}", Service: second, Idempotent: true, Class: ident.ClassLow},
		{Name: "third", Method: "GET", Path: "/" + string(third) + "/{id}", Service: third, Idempotent: true, Internal: true, Class: ident.ClassNormal},
		{Name: "fourth", Method: "GET", Path: "/" + string(fourth) + "/{id}", Service: fourth, Idempotent: true, Internal: true, Class: ident.ClassNormal},
	}
}

// Capacity returns how many actions a second the layout's slots complete in
// the mix of the scenarios, where some calls begin at the second service.
func (l Layout) Capacity() float64 {
	best := 0.0
	for i, s := range l.Services {
		rate := float64(s.Servers*s.Slots) / s.holdTime(l, i).Seconds()
		if i == 0 {
			rate /= 1 - browseShare
		}
		if best == 0 || rate < best {
			best = rate
		}
	}
	return best
}

// holdTime is how long an action holds a slot: its own time and that of the
// calls below it.
func (s Service) holdTime(l Layout, i int) time.Duration {
	total := time.Duration(0)
	for _, below := range l.Services[i:] {
		total += below.MeanServiceTime
	}
	return total
}
