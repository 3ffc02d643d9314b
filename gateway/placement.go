package main

import "verbenashift/core/configuration/deployment"

// setPlacement records the services whose requests are placed by the free slots of their targets:
// those with engines and with requests of several classes, the first of which have no time to wait at
// a full engine. It is called with the lock held.
func (f *fleet) setPlacement(cfg *deployment.Config) {
	if cfg == f.config {
		return
	}
	f.config, f.bySlots = cfg, map[string]bool{}
	if cfg == nil {
		return
	}
	for service, order := range ordersOf(cfg) {
		f.bySlots[service] = f.services[service].Engine != nil && order.Classes() > 1
	}
}

// placedBySlots returns the slots of a target if requests are placed by them, or 0. It is called
// with the lock held.
func (f *fleet) placedBySlots(t *deployment.Target) int {
	if !f.bySlots[t.Service] {
		return 0
	}
	return t.Slots
}
