package rankpeer

import (
	"time"

	"verbenashift/core/request/allotment"
	"verbenashift/core/request/precedence"
)

// Classes are the requests of a service that wait, and those that run at one group, by class with
// the first class first. Classes at the end without requests are left out.
type Classes struct {
	Waiting, Running []uint32
	// Usable is how many slots of the group should be taken, 0 if that is not known; in sums it is the
	// mean of the gateways.
	Usable uint32
}

// NewClasses returns a demand as it is sent.
func NewClasses(d allotment.Demand) Classes {
	return Classes{newCounts(d.Waiting), newCounts(d.Running), uint32(max(d.Usable, 0))}
}

func newCounts(c allotment.Counts) []uint32 {
	n := len(c)
	for n > 0 && c[n-1] <= 0 {
		n--
	}
	var out []uint32
	for _, k := range c[:n] {
		out = append(out, uint32(max(k, 0)))
	}
	return out
}

// Demand returns the demand that was sent. Classes that are too many belong to the last.
func (c *Classes) Demand() allotment.Demand {
	return allotment.Demand{Waiting: countsOf(c.Waiting), Running: countsOf(c.Running), Usable: int(c.Usable)}
}

func countsOf(list []uint32) (out allotment.Counts) {
	for class, n := range list {
		out[min(class, precedence.MaxClasses-1)] += int(n)
	}
	return out
}

// ClassSums are the sums over the gateways of a group that have reported Classes.
type ClassSums struct {
	Classes
	// Gateways is the number of these gateways, and Age the mean age of what they reported when the
	// sums were made.
	Gateways int
	Age      time.Duration
}

// Demand returns the sums, with the number of gateways.
func (s *ClassSums) Demand() allotment.Demand {
	d := s.Classes.Demand()
	d.Entries = s.Gateways
	return d
}

// SumClasses returns the sums over gateways and over other sums, or nil if there is no gateway.
func SumClasses(sums []ClassSums) *ClassSums {
	var demand allotment.Demand
	var out ClassSums
	var age time.Duration
	usable, known := 0, 0
	for i := range sums {
		s := &sums[i]
		if s.Gateways <= 0 {
			continue
		}
		demand.Add(s.Demand())
		out.Gateways += s.Gateways
		age += time.Duration(s.Gateways) * max(s.Age, 0)
		if s.Usable > 0 {
			usable += s.Gateways * int(s.Usable)
			known += s.Gateways
		}
	}
	if out.Gateways == 0 {
		return nil
	}
	demand.Usable = usable / max(known, 1)
	out.Classes, out.Age = NewClasses(demand), age/time.Duration(out.Gateways)
	return &out
}
