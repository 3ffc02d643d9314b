package main

import (
	"expvar"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/coldstart"
	"verbenashift/core/request/permit"
)

// metricCold counts how often a target was found to be cold.
var metricCold = expvar.NewInt("targets-cold")

// servicesOf returns the services of a configuration, if there is one, by name.
func servicesOf(cfg *deployment.Config) map[string]deployment.Service {
	services := map[string]deployment.Service{}
	if cfg == nil {
		return services
	}
	for _, s := range cfg.Services {
		services[s.Name] = s
	}
	return services
}

// markCold limits the requests to a target for a while if its service tolerates only so many while
// it is cold. It is called with the lock held.
func (f *fleet) markCold(t *deployment.Target, d time.Duration, now time.Time) {
	rate := f.services[t.Service].ColdRate
	if d <= 0 || rate <= 0 {
		return
	}
	if _, _, cold := f.cold.ReadyAt(t.ID, now); !cold {
		metricCold.Add(1)
		f.log.Info("target is cold", "target", t.ID, "service", t.Service, "zone", t.Zone, "ms", d.Milliseconds(), "requests-a-second", rate)
	}
	f.cold.Mark(t.ID, coldstart.Limit{PerSecond: rate, Factor: f.coldFactor, Slack: f.coldSlack}, now.Add(d), now)
}

// markRestored takes the targets of zones that are evacuated no longer for cold: they have served
// nothing for a while, and an entry that says so may come late. It is called with the lock held.
func (f *fleet) markRestored(evacuated map[string]bool, now time.Time) {
	for _, p := range f.targetStates {
		if f.evacuated[p.Zone] && !evacuated[p.Zone] {
			f.markCold(&p.Target, f.services[p.Service].ColdStart, now)
		}
	}
}

// addAvailability adds to an availability when a throttled target takes a request. It is called
// with the lock held.
func (f *fleet) addAvailability(o *permit.Availability, id string, now time.Time) {
	paused := f.backpressure.paused[id]
	at, rate, cold := f.cold.ReadyAt(id, now)
	if !cold {
		f.backpressure.limits.addTo(o, id, paused, now)
		return
	}
	if at.Before(paused) {
		at = paused
	}
	o.Add(at, rate)
}

// setSenders sets the number of gateways that send to the targets.
func (f *fleet) setSenders(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders = n
	f.table.SetSharing(n)
	f.shareCold()
}

// shareCold divides what cold targets tolerate among the gateways; as long as their number is not
// known, among as many as there are targets. It is called with the lock held.
func (f *fleet) shareCold() {
	n := f.senders
	if n == 0 {
		n = len(f.targetStates)
	}
	f.cold.SetSenders(n)
}
