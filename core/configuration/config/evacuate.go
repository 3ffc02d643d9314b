package config

import "slices"

// Evacuate evacuates an availability zone or restores it.
type Evacuate struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// Force accepts an evacuation after which some model or service has no target that may get
	// work, and one of a zone without targets.
	Force bool `json:"force,omitempty"`
}

// apply changes the list of evacuated zones.
func (e *Evacuate) apply(c *Config) error {
	at, evacuated := slices.BinarySearch(c.EvacuatedZones, e.Zone)
	if !e.Evacuated {
		if !evacuated {
			return &NotFoundError{Kind: "evacuated zone", Name: e.Zone}
		}
		c.EvacuatedZones = slices.Delete(slices.Clone(c.EvacuatedZones), at, at+1)
		return nil
	}
	if e.Zone == "" {
		return &InvalidError{Field: "evacuate.zone", Want: "the name of an availability zone"}
	}
	if evacuated {
		return nil
	}
	next := *c
	next.EvacuatedZones = slices.Insert(slices.Clone(c.EvacuatedZones), at, e.Zone)
	if err := e.check(*c, next); err != nil && !e.Force {
		return err
	}
	*c = next
	return nil
}

// check returns an error for an evacuation that is probably a mistake: of a zone without targets,
// or of the last zone with a target of some model or service.
func (e *Evacuate) check(cur, next Config) error {
	inZone := func(t Target) bool { return t.Zone == e.Zone }
	if !slices.ContainsFunc(cur.Targets, inZone) {
		return &InvalidError{Field: "evacuate.zone", Value: e.Zone, Want: "a zone that has targets, unless forced"}
	}
	after := next.served()
	for _, t := range cur.Targets {
		if inZone(t) && !cur.Closed(t) && !after[t.serves()] {
			return &InvalidError{
				Field: "evacuate.zone", Value: e.Zone,
				Want: "another zone with a target of " + t.Model + t.Service + ", unless forced",
			}
		}
	}
	return nil
}

// serves returns the model or the service of a target with its kind.
func (t Target) serves() [2]string { return [2]string{t.Model, t.Service} }

// served returns the models and services that have a target which may get new work.
func (c Config) served() map[[2]string]bool {
	out := map[[2]string]bool{}
	for _, t := range c.Targets {
		if !c.Closed(t) {
			out[t.serves()] = true
		}
	}
	return out
}

// Closed reports whether a target gets no new work, because it is drained or its zone is
// evacuated.
func (c Config) Closed(t Target) bool {
	return t.Drained || c.Evacuated(t.Zone)
}

// Evacuated reports whether an availability zone is evacuated.
func (c Config) Evacuated(zone string) bool {
	_, evacuated := slices.BinarySearch(c.EvacuatedZones, zone)
	return evacuated
}
