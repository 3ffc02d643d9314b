// Package residency decides in which availability zones the targets of a request may be.
//
// An operator may bind the requests of a route, and those of a workspace, to some regions: neither
// they nor their bodies may reach a target elsewhere, whatever else is lost. Where both are bound,
// both bindings apply.
//
// # Usage
//
//	zones := residency.Zones(regionOf, route.Regions, workspace.Regions)
//	if zones.Allow(target.Zone) {
//		send(target)
//	}
package residency

import "slices"

// Set is a set of availability zones. The nil Set allows all zones, any other one those that it holds.
type Set map[string]struct{}

// Allow reports whether a zone is in the set.
func (s Set) Allow(zone string) bool {
	if s == nil {
		return true
	}
	_, ok := s[zone]
	return ok
}

// Zones returns the zones that all of the bindings allow, each of which lists regions or is empty for
// any. regionOf holds the region of each zone; zones that it lacks are in none.
func Zones(regionOf map[string]string, bindings ...[]string) Set {
	bindings = slices.DeleteFunc(slices.Clone(bindings), func(regions []string) bool { return len(regions) == 0 })
	if len(bindings) == 0 {
		return nil
	}
	zones := Set{}
	for zone, region := range regionOf {
		if !slices.ContainsFunc(bindings, func(regions []string) bool { return !slices.Contains(regions, region) }) {
			zones[zone] = struct{}{}
		}
	}
	return zones
}
