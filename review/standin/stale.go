package main

import (
	"net/http"
	"time"
)

// The dose of the sheet: configurations in quick succession for stormLength, one each stormGap.
const (
	stormGap    = 330 * time.Millisecond
	stormLength = 4 * time.Second
	// stormBefore is how much of it comes before the silence.
	stormBefore = 1 * time.Second
)

// staleConfiguration has the connections to the store go silent amid configurations in quick
// succession, of which one moves a route and drops another.
func staleConfiguration(s *site, rec *record, trouble bool) (int, error) {
	p, err := deploy(s, 6)
	if err != nil {
		return failed, err
	}
	var t traffic
	t.start(s, time.Now().Add(settle+stormBefore+8*time.Second), [3]string{http.MethodPost, holdPrefix, order}, [3]string{http.MethodGet, visitPrefix})
	time.Sleep(settle)

	cfg := configuration{holdService: bookingService}
	var silent, moved time.Time
	began := time.Now()
	for n := 0; time.Since(began) < stormLength; n++ {
		if silent.IsZero() && time.Since(began) >= stormBefore {
			silent = time.Now()
			if trouble {
				p.silence()
				rec.printf("the open connections to the store go silent; new ones work")
			}
			cfg = configuration{holdService: newBookingService, dropped: []string{"visit-list"}}
		}
		acked := s.configure(cfg)
		rec.printf("version %d is acknowledged", s.version)
		if !silent.IsZero() && moved.IsZero() {
			moved = acked
			rec.printf("it moves slot-hold to %s and drops visit-list", newBookingService)
		}
		time.Sleep(stormGap)
	}
	attempts := t.wait()

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
	rec.summary(s, attempts)
	for _, f := range s.fronts {
		rec.printf("%s: the last request that was handled by the older version was sent %d ms after the acknowledgement", f.name, last[f].Milliseconds())
	}
	rec.printf("%d requests were handled by the older version later than configApplyMs, by gateways in touch", stale)
	if stale > 0 {
		return broken, nil
	}
	return held, nil
}
