package main

import (
	"net/http"
	"time"
)

const (
	// contact and drain are contactMs and drainMs of the sheets.
	contact = 3000 * time.Millisecond
	drain   = 2000 * time.Millisecond
	// configApply is configApplyMs.
	configApply = 2000 * time.Millisecond
	// tolerance is how much later than a bound something is before it counts.
	tolerance = 100 * time.Millisecond
	// settle is how long a deployment runs before anything happens.
	settle = 8 * time.Second
)

// deploy starts a small deployment whose processes reach the store through a proxy.
func deploy(s *site, fronts int) (*proxy, error) {
	p, err := newProxy(s.network+"2:0", s.addr)
	if err != nil {
		return nil, err
	}
	s.addr = p.addr
	s.configure(configuration{holdService: bookingService})
	for _, service := range []string{bookingService, bookingService, bookingService, newBookingService} {
		if _, err := s.addServer(service); err != nil {
			return nil, err
		}
	}
	if err := s.addSides(4); err != nil {
		return nil, err
	}
	if err := s.addFronts(fronts); err != nil {
		return nil, err
	}
	return p, nil
}

// leavingServer has a server leave just after the connections to the store have gone silent.
func leavingServer(s *site, rec *record, trouble bool) (int, error) {
	p, err := deploy(s, 4)
	if err != nil {
		return failed, err
	}
	var t traffic
	t.start(s, time.Now().Add(settle+8*time.Second), [2]string{http.MethodPost, holdPrefix}, [2]string{http.MethodGet, lookupPrefix})
	time.Sleep(settle)
	silent := time.Now()
	if trouble {
		p.silence()
		rec.printf("the open connections to the store go silent; new ones work")
	}
	time.Sleep(300 * time.Millisecond)
	leaving := s.servers[0]
	left := s.leave(leaving)
	rec.printf("%s has left: its entry is removed", leaving.id)
	time.Sleep(time.Until(left.Add(drain + 1200*time.Millisecond)))
	leaving.exit()
	rec.printf("%s exits", leaving.id)
	attempts := t.wait()

	late, last := 0, left
	for _, a := range leaving.ran() {
		c := attempts[a.id]
		if a.at.After(last) {
			last = a.at
		}
		if a.at.Sub(left) <= drain+tolerance || c.sent.Sub(silent) <= contact+tolerance {
			continue
		}
		late++
		rec.printf("%s ran %s%s of %s %d ms after it had left; sent to %s %d ms after the silence; answered %d",
			leaving.id, c.prefix, "1", a.id, a.at.Sub(left).Milliseconds(), c.front.name, c.sent.Sub(silent).Milliseconds(), c.status)
	}
	rec.summary(s, attempts)
	rec.printf("the last request reached %s %d ms after it had left; %d reached it later than drainMs through gateways in touch",
		leaving.id, last.Sub(left).Milliseconds(), late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
