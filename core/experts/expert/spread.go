package expert

// minDomains is the number of servers and of availability zones over which the
// replicas of an expert should be spread, if it has that many: the failure of
// one server or zone then leaves a replica of each expert that has two.
const minDomains = 2

// spread counts the replicas of each expert per server and per availability
// zone.
type spread struct {
	servers, zones domains
	replicas       []int
}

// domains are the failure domains of one kind.
type domains struct {
	of       []int32 // of a rank
	n        int
	count    []int32 // of replicas, by expert and domain
	distinct []int32 // domains with a replica, by expert
}

func newSpread(g *Group) *spread {
	return &spread{
		servers:  newDomains(g, func(r Rank) string { return r.Zone + "\x00" + r.Server }),
		zones:    newDomains(g, func(r Rank) string { return r.Zone }),
		replicas: make([]int, g.Experts),
	}
}

func newDomains(g *Group, name func(Rank) string) domains {
	d := domains{of: make([]int32, len(g.Ranks)), distinct: make([]int32, g.Experts)}
	known := map[string]int32{}
	for r, rank := range g.Ranks {
		i, ok := known[name(rank)]
		if !ok {
			i = int32(len(known))
			known[name(rank)] = i
		}
		d.of[r] = i
	}
	d.n = len(known)
	d.count = make([]int32, g.Experts*d.n)
	return d
}

func (s *spread) reset() {
	clear(s.replicas)
	for _, d := range []*domains{&s.servers, &s.zones} {
		clear(d.count)
		clear(d.distinct)
	}
}

func (s *spread) add(e int32, rank int) {
	s.replicas[e]++
	s.servers.change(e, rank, 1)
	s.zones.change(e, rank, 1)
}

func (s *spread) remove(e int32, rank int) {
	s.replicas[e]--
	s.servers.change(e, rank, -1)
	s.zones.change(e, rank, -1)
}

func (d *domains) change(e int32, rank int, by int32) {
	i := int(e)*d.n + int(d.of[rank])
	if d.count[i] == 0 {
		d.distinct[e]++
	}
	d.count[i] += by
	if d.count[i] == 0 {
		d.distinct[e]--
	}
}

// deficit returns how many more servers and zones the replicas of the expert
// should be on.
func (s *spread) deficit(e int32) int {
	n := s.replicas[e]
	return s.servers.short(n, int(s.servers.distinct[e])) + s.zones.short(n, int(s.zones.distinct[e]))
}

// deficitWith returns the deficit after a replica is added on one rank and
// removed from another; -1 means no rank.
func (s *spread) deficitWith(e int32, add, remove int) int {
	n := s.replicas[e]
	if add >= 0 {
		n++
	}
	if remove >= 0 {
		n--
	}
	return s.servers.short(n, s.servers.after(e, add, remove)) + s.zones.short(n, s.zones.after(e, add, remove))
}

// short returns how many domains are missing for the number of replicas.
func (d *domains) short(replicas, distinct int) int {
	return max(0, min(minDomains, replicas, d.n)-distinct)
}

// after returns the number of distinct domains after a replica is added on one
// rank and removed from another; -1 means no rank.
func (d *domains) after(e int32, add, remove int) int {
	distinct := int(d.distinct[e])
	if add >= 0 && remove >= 0 && d.of[add] == d.of[remove] {
		return distinct
	}
	if add >= 0 && d.count[int(e)*d.n+int(d.of[add])] == 0 {
		distinct++
	}
	if remove >= 0 && d.count[int(e)*d.n+int(d.of[remove])] == 1 {
		distinct--
	}
	return distinct
}
