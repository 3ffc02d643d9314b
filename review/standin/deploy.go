package main

import "time"

const (
	// contact and configApply are contactMs and configApplyMs of the sheet.
	contact     = 3000 * time.Millisecond
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
