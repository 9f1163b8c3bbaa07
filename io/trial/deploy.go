package trial

import (
	"time"

	"chicorymast/core/ident"
)

// The layouts of the two deployments keep their proportions of servers, slots and
// connections. The number of slots is a tenth of theirs, so that the fleet fits on one
// machine.

const deploymentServiceTime = 60 * time.Millisecond

// Mapa returns the layout of a deployment in three data centres with call chains of
// four services.
func Mapa() Layout {
	l := deploymentLayout([]ident.DataCentre{"kosice-1", "kosice-2", "kosice-3"})
	l.Services = []Service{
		{Name: "objednavky", Servers: 4, Slots: 7, MaxOpenCalls: 51, MeanServiceTime: deploymentServiceTime, Calls: []string{"/objednavky GET /katalog/item"}},
		{Name: "katalog", Servers: 5, Slots: 6, MaxOpenCalls: 43, MeanServiceTime: deploymentServiceTime, Calls: []string{"/katalog GET /grafika/thumb"}},
		{Name: "grafika", Servers: 3, Slots: 9, MaxOpenCalls: 65, MeanServiceTime: deploymentServiceTime, Calls: []string{"/grafika GET /expedicia/rate"}},
		{Name: "expedicia", Servers: 3, Slots: 2, MaxOpenCalls: 20, MeanServiceTime: deploymentServiceTime / 4},
	}
	l.Routes = deploymentRoutes("objednavky", "katalog", "grafika", "expedicia")
	return l
}

// Coinex returns the layout of a deployment in four data centres with call chains of
// four services.
func Coinex() Layout {
	l := deploymentLayout([]ident.DataCentre{"suva", "nadi", "lautoka", "nausori"})
	l.Services = []Service{
		{Name: "credit-svc", Servers: 4, Slots: 8, MaxOpenCalls: 55, MeanServiceTime: deploymentServiceTime, Calls: []string{"/credit-svc GET /balance-svc/ledger"}},
		{Name: "balance-svc", Servers: 5, Slots: 7, MaxOpenCalls: 53, MeanServiceTime: deploymentServiceTime, Calls: []string{"/balance-svc GET /audit-svc/check"}},
		{Name: "audit-svc", Servers: 4, Slots: 8, MaxOpenCalls: 55, MeanServiceTime: deploymentServiceTime, Calls: []string{"/audit-svc GET /receipt-svc/tariff"}},
		{Name: "receipt-svc", Servers: 4, Slots: 3, MaxOpenCalls: 29, MeanServiceTime: deploymentServiceTime / 4},
	}
	l.Routes = deploymentRoutes("credit-svc", "balance-svc", "audit-svc", "receipt-svc")
	return l
}

func deploymentLayout(dcs []ident.DataCentre) Layout {
	return Layout{DataCentres: dcs, ControlDaemons: 3}
}

// deploymentRoutes returns the routes of a chain of four services: three public routes
// and the internal ones of the nested calls.
func deploymentRoutes(first, second, third, fourth ident.Service) []Route {
	root := "/" + string(first) + "/{id}"
	return []Route{
		{Name: "place", Method: "POST", Path: root, Service: first, Class: ident.ClassCritical},
		{Name: "status", Method: "GET", Path: root, Service: first, Idempotent: true, Class: ident.ClassNormal},
		{Name: "browse", Method: "GET", Path: "/" + string(second) + "/{id}", Service: second, Idempotent: true, Class: ident.ClassLow},
		{Name: "third", Method: "GET", Path: "/" + string(third) + "/{id}", Service: third, Idempotent: true, Internal: true, Class: ident.ClassNormal},
		{Name: "fourth", Method: "GET", Path: "/" + string(fourth) + "/{id}", Service: fourth, Idempotent: true, Internal: true, Class: ident.ClassNormal},
	}
}

// Capacity returns the actions per second that the slots of the bottleneck service
// can complete with the call mix of the scenarios, in which the share browseShare
// begins at the second service.
func (l Layout) Capacity() float64 {
	lowest := 0.0
	for i, s := range l.Services {
		rate := float64(s.Servers*s.Slots) / s.holdTime(l, i).Seconds()
		if i == 0 {
			rate /= 1 - browseShare
		}
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// holdTime returns the mean time for which an action holds a slot of the service with
// index i in the chain: its service time and that of the services downstream.
func (s Service) holdTime(l Layout, i int) time.Duration {
	total := time.Duration(0)
	for _, downstream := range l.Services[i:] {
		total += downstream.MeanServiceTime
	}
	return total
}
