package main

import (
	"expvar"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"verbenashift/core/request/admission"
)

// show sets the metrics of the queue and, while requests wait, logs its state.
func (a *admitter) show(p *admission.Pool, now time.Time) {
	l := p.Load()
	set(metricWaiting, a.service, l.Items)
	set(metricRunning, a.service, l.Running)
	set(metricLimit, a.service, l.Slots)
	tallies := p.Tallies()
	a.showClasses(tallies)
	groups := p.Groups(now)
	for _, g := range groups {
		a.showGroup(g)
	}
	a.forgetGroups(groups)
	if l.Items > 0 {
		line := []any{"service", a.service, "waiting", l.Items, "running", l.Running, "limit", l.Slots, "tokens-a-second", int(l.Rate), "groups", groups}
		a.log.Info("queue", append(line, classAttrs(tallies)...)...)
	}
}

// showClasses sets the metrics by class. A service with a single class has none.
func (a *admitter) showClasses(tallies []admission.Tally) {
	if len(tallies) < 2 {
		return
	}
	for class, t := range tallies {
		key := a.service + "/" + strconv.Itoa(class)
		set(metricClassWaiting, key, t.Waiting)
		set(metricClassRunning, key, t.Running)
		set(metricClassStarted, key, int(t.Started))
		set(metricClassRefused, key, int(t.Refused))
		set(metricClassGaveWay, key, int(t.GaveWay))
	}
}

// classAttrs returns the counts of the classes for a log line, the first class first. It returns
// nil for a service with a single class.
func classAttrs(tallies []admission.Tally) []any {
	if len(tallies) < 2 {
		return nil
	}
	var waiting, running []int
	var started, refused, gaveWay []int64
	for _, t := range tallies {
		waiting, running = append(waiting, t.Waiting), append(running, t.Running)
		started, refused, gaveWay = append(started, t.Started), append(refused, t.Refused), append(gaveWay, t.GaveWay)
	}
	return []any{
		"waiting-by-class", waiting, "running-by-class", running, "started-by-class", started, "refused-by-class", refused,
		"gave-way-by-class", gaveWay,
	}
}

// showGroup sets the metrics of a group, and logs how many of its slots are usable when that has
// changed.
func (a *admitter) showGroup(g admission.GroupLoad) {
	key := a.service + "/" + g.Group
	set(metricRunning, key, g.Running)
	set(metricLimit, key, g.Limit)
	set(metricAvailable, key, boolToInt(g.Available))
	set(metricUsable, key, g.Usable)
	before, bounded := a.usable[g.Group]
	if g.Usable < g.Slots {
		a.usable[g.Group] = g.Usable
	} else {
		delete(a.usable, g.Group)
	}
	// All slots of a group that gains or loses engines are usable before and after.
	if unchanged := g.Usable == before; unchanged || !bounded && g.Usable >= g.Slots {
		return
	}
	a.log.Info("headroom", "service", a.service, "group", g.Group, "usable", g.Usable, "slots", g.Slots, "stretch", round(g.Stretch),
		"running-here", g.Running)
}

// round rounds to two decimals.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// forgetGroups removes what was shown of groups that are gone.
func (a *admitter) forgetGroups(present []admission.GroupLoad) {
	maps.DeleteFunc(a.usable, func(name string, _ int) bool {
		return !slices.ContainsFunc(present, func(g admission.GroupLoad) bool { return g.Group == name })
	})
}

func set(m *expvar.Map, key string, n int) {
	v := new(expvar.Int)
	v.Set(int64(n))
	m.Set(key, v)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
