package logreader

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// GroupSummary summarizes how an expert group was coordinated.
type GroupSummary struct {
	Group string
	// Coordinators is how many times an agent became the coordinator, MaxConcurrent the
	// largest number that acted at the same time.
	Coordinators, MaxConcurrent int
	// Uncoordinated is how long no coordinator acted, between the first and the last line of one.
	Uncoordinated time.Duration
	// MapChanges counts the map changes that were started.
	MapChanges int
	// Skew and WorstSkew are the mean and the 95th percentile of the load of the most loaded
	// rank over the mean load, PassMillis the mean duration of a forward pass in
	// milliseconds. Each is 0 if unknown.
	Skew, WorstSkew, PassMillis float64
	// MinUsable is the lowest number of slots, of Slots, that a gateway took for usable without passes
	// that are too long, and Stretch the largest one behind it. All are 0 if every slot always was.
	MinUsable, Slots int
	Stretch          float64
}

// term is the period in which one coordinator acted.
type term struct {
	instance    string
	from, until time.Time
	ended       bool
}

// summaryBuilder accumulates the log lines about one group.
type summaryBuilder struct {
	GroupSummary
	terms         []*term
	skews, passes []float64
}

// current returns the current term of an instance, or nil.
func (s *summaryBuilder) current(instance string) *term {
	for i := len(s.terms) - 1; i >= 0; i-- {
		if t := s.terms[i]; t.instance == instance && !t.ended {
			return t
		}
	}
	return nil
}

// addHeadroom adds a line of a gateway on the usable slots.
func (s *summaryBuilder) addHeadroom(l Line) {
	usable, slots := int(number(l, "usable")), int(number(l, "slots"))
	if usable < slots && (s.Slots == 0 || usable < s.MinUsable) {
		s.MinUsable, s.Slots = usable, slots
	}
	s.Stretch = max(s.Stretch, number(l, "stretch"))
}

func (s *summaryBuilder) add(l Line) {
	if l.Message == "headroom" {
		s.addHeadroom(l)
		return
	}
	t := s.current(l.Instance)
	if l.Message == "steward begins" {
		if t != nil {
			// Its process was killed and restarted.
			t.ended = true
		}
		s.Coordinators++
		t = &term{instance: l.Instance, from: l.At}
		s.terms = append(s.terms, t)
	}
	if t == nil {
		return
	}
	t.until = l.At
	switch l.Message {
	case "steward ends":
		t.ended = true
	case "change of map":
		s.MapChanges++
	case "group state":
		s.skews = appendKnown(s.skews, l.Field("skew"))
		s.passes = appendKnown(s.passes, l.Field("pass-ms"))
	}
}

// appendKnown appends a number that is over 0: 0 stands for an unknown value.
func appendKnown(list []float64, text string) []float64 {
	if x, err := strconv.ParseFloat(text, 64); err == nil && x > 0 {
		return append(list, x)
	}
	return list
}

// finish computes the values that depend on all lines.
func (s *summaryBuilder) finish() GroupSummary {
	for _, t := range s.terms {
		concurrent := 0
		for _, other := range s.terms {
			if !t.from.Before(other.from) && t.from.Before(other.until) {
				concurrent++
			}
		}
		s.MaxConcurrent = max(s.MaxConcurrent, concurrent, 1)
	}
	slices.SortFunc(s.terms, func(a, b *term) int { return a.from.Compare(b.from) })
	var until time.Time
	for _, t := range s.terms {
		if !until.IsZero() && t.from.After(until) {
			s.Uncoordinated += t.from.Sub(until)
		}
		if t.until.After(until) {
			until = t.until
		}
	}
	s.Skew, s.PassMillis = mean(s.skews), mean(s.passes)
	if slices.Sort(s.skews); len(s.skews) > 0 {
		s.WorstSkew = s.skews[len(s.skews)*95/100]
	}
	return s.GroupSummary
}

func mean(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// GroupSummaries returns a summary of each expert group, sorted by name.
func GroupSummaries(lines []Line) []GroupSummary {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.At.Compare(b.At) })
	groups := map[string]*summaryBuilder{}
	for _, l := range sorted {
		switch l.Message {
		case "steward begins", "steward ends", "group state", "change of map", "headroom":
		default:
			continue
		}
		name := l.Field("group")
		if groups[name] == nil {
			groups[name] = &summaryBuilder{GroupSummary: GroupSummary{Group: name}}
		}
		groups[name].add(l)
	}
	out := make([]GroupSummary, 0, len(groups))
	for _, s := range groups {
		out = append(out, s.finish())
	}
	slices.SortFunc(out, func(a, b GroupSummary) int { return cmp.Compare(a.Group, b.Group) })
	return out
}
