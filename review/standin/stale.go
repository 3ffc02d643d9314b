package main

import (
	"net/http"
	"time"
)

const (
	// changeGap is the time between two configurations in quick succession, as in the site file.
	changeGap = 330 * time.Millisecond
	// silenceAfter is how long after the first of them the connections go silent.
	silenceAfter = 100 * time.Millisecond
)

// staleConfiguration has the connections to the store go silent between two configurations, of which the
// second one moves a route and drops another.
func staleConfiguration(s *site, rec *record, trouble bool) (int, error) {
	p, err := deploy(s, 6)
	if err != nil {
		return failed, err
	}
	var t traffic
	t.start(s, time.Now().Add(settle+8*time.Second), [3]string{http.MethodPost, holdPrefix, order}, [3]string{http.MethodGet, visitPrefix})
	time.Sleep(settle)

	next := s.configure(configuration{holdService: bookingService}).Add(changeGap)
	rec.printf("version %d is acknowledged, in which the routes are as before", s.version)
	time.Sleep(silenceAfter)
	silent := time.Now()
	if trouble {
		p.silence()
		rec.printf("the open connections to the store go silent; new ones work")
	}
	time.Sleep(time.Until(next))
	moved := s.configure(configuration{holdService: newBookingService, dropped: []string{"visit-list"}})
	rec.printf("version %d is acknowledged: it moves slot-hold to %s and drops visit-list", s.version, newBookingService)
	attempts := t.wait()
	rec.summary(s, attempts)

	stale := 0
	last := map[*front]time.Duration{}
	for _, v := range s.servers {
		if v.service != bookingService {
			continue
		}
		for _, a := range v.ran() {
			c := attempts[a.id]
			after := c.sent.Sub(moved)
			last[c.front] = max(last[c.front], after)
			if after <= configApply+tolerance || c.sent.Sub(silent) <= contact+tolerance {
				continue
			}
			stale++
			rec.printf("%s of %s ran %s1 of %s, sent to %s %d ms after the acknowledgement and %d ms after the silence",
				v.id, v.service, c.prefix, a.id, c.front.name, after.Milliseconds(), c.sent.Sub(silent).Milliseconds())
		}
	}
	for _, f := range s.fronts {
		rec.printf("%s: the last request that was handled by the older version was sent %d ms after the acknowledgement", f.name, last[f].Milliseconds())
	}
	rec.printf("%d requests were handled by the older version later than configApplyMs, by gateways in touch", stale)
	if stale > 0 {
		return broken, nil
	}
	return held, nil
}
