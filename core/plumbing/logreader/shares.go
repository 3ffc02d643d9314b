package logreader

import (
	"cmp"
	"slices"
	"strconv"
)

// Share counts the outcomes of the tries in one group of requests. Each try of a caller
// has its own identifier, so a request that was refused and retried counts as two.
type Share struct {
	Group string
	Tries int
	// OnTime and Late count complete answers, Refused the tries that did not run, Failed
	// those that ended in another way, and Disconnected those whose callers did not wait
	// for the end.
	OnTime, Late, Refused, Failed, Disconnected int
}

// Served returns the fraction of tries that got a complete answer, among those whose
// callers waited for one.
func (s Share) Served() float64 {
	if s.Tries == s.Disconnected {
		return 0
	}
	return float64(s.OnTime+s.Late) / float64(s.Tries-s.Disconnected)
}

func (s *Share) add(l Line) {
	s.Tries++
	switch status := l.Field("status"); {
	case l.Field("outcome") == "caller-left":
		s.Disconnected++
	case status == "503":
		s.Refused++
	case status != "200":
		s.Failed++
	case l.Field("on-time") == "true":
		s.OnTime++
	default:
		s.Late++
	}
}

// Shares counts the requests that have ended per group, sorted by group name. Lines
// whose group is "" are skipped.
func Shares(lines []Line, group func(Line) string) []Share {
	shares := map[string]*Share{}
	for _, l := range lines {
		name := ""
		if l.Message == "request" {
			name = group(l)
		}
		if name == "" {
			continue
		}
		if shares[name] == nil {
			shares[name] = &Share{Group: name}
		}
		shares[name].add(l)
	}
	out := make([]Share, 0, len(shares))
	for _, s := range shares {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Share) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// ByField groups requests by an attribute of their log lines.
func ByField(name string) func(Line) string {
	return func(l Line) string { return l.Field(name) }
}

// ByClass groups requests by their service and the rank of their class. Requests of a service with
// a single class are left out.
func ByClass(l Line) string {
	if l.Field("class") == "" {
		return ""
	}
	return l.Field("service") + "/" + l.Field("class")
}

// The groups of BySize.
const (
	largestTenth = "largest tenth"
	fifthBelow   = "fifth below"
	smaller      = "smaller"
)

// BySize groups requests by their size in tokens among those of the same route: the
// largest tenth, the fifth below it, and the rest.
func BySize(lines []Line) func(Line) string {
	sizes := map[string][]int{}
	for _, l := range lines {
		if n := tokens(l); l.Message == "request" && n > 0 {
			route := l.Field("route")
			sizes[route] = append(sizes[route], n)
		}
	}
	for _, s := range sizes {
		slices.Sort(s)
	}
	return func(l Line) string {
		s, n := sizes[l.Field("route")], tokens(l)
		switch {
		case n <= 0 || len(s) == 0:
			return ""
		case n >= s[len(s)*9/10]:
			return largestTenth
		case n >= s[len(s)*7/10]:
			return fifthBelow
		}
		return smaller
	}
}

// tokens returns the size of a request, or 0 if its line does not have it.
func tokens(l Line) int {
	n, err := strconv.Atoi(l.Field("tokens"))
	if err != nil {
		return 0
	}
	return n
}
