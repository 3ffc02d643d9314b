package member

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// fleet simulates nodes that exchange digests in rounds of a second. The first
// nodes are entries, the others agents.
type fleet struct {
	t     *testing.T
	now   time.Time
	nodes []*View
	index map[string]int
	list  []Instance
	down  map[int]bool
	// cut reports whether two zones are partitioned from each other.
	cut func(a, b string) bool
}

func newFleet(t *testing.T, entries, agents int) *fleet {
	f := &fleet{t: t, now: start, index: map[string]int{}, down: map[int]bool{}, cut: func(_, _ string) bool { return false }}
	for i := range entries + agents {
		name := fmt.Sprint("n", i)
		f.index[name] = i
		self := Self{Name: name, Zone: fmt.Sprint("z", i%3), Incarnation: 1, Agent: i >= entries}
		f.nodes = append(f.nodes, New(self, rand.New(rand.NewPCG(3, uint64(i)))))
		if self.Agent {
			f.list = append(f.list, Instance{Name: name, Zone: self.Zone})
		}
	}
	for _, v := range f.nodes {
		v.SetInstances(f.list, f.now)
	}
	return f
}

func (f *fleet) reaches(a, b *View) bool {
	return !f.down[f.index[a.self.Name]] && !f.down[f.index[b.self.Name]] && !f.cut(a.self.Zone, b.self.Zone)
}

func (f *fleet) rounds(n int) {
	for range n {
		f.now = f.now.Add(time.Second)
		for _, v := range f.nodes {
			for _, name := range v.Round(f.now) {
				f.exchange(v, name)
			}
		}
	}
}

func (f *fleet) exchange(v *View, name string) {
	peer := f.nodes[f.index[name]]
	if !f.reaches(v, peer) {
		v.RecordFailure(name, f.now)
		return
	}
	f.deliver(peer, v.Digest(nil, name, nil, f.now))
	f.deliver(v, peer.Digest(nil, v.self.Name, nil, f.now))
}

func (f *fleet) deliver(to *View, digest []byte) {
	if len(digest) > MaxDigest {
		f.t.Fatalf("digest of %d bytes", len(digest))
	}
	received, err := to.Merge(digest, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	to.SetRevision(received.Revision)
}

// count returns at how many of the nodes that are up a condition holds.
func (f *fleet) count(holds func(v *View) bool) (n int) {
	for i, v := range f.nodes {
		if !f.down[i] && holds(v) {
			n++
		}
	}
	return n
}

func TestRevisionReachesAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 22, 42)
	f.nodes[30].SetRevision(7)
	f.nodes[30].SetRevision(6) // never decreases
	f.rounds(9)
	is.Equal(f.count(func(v *View) bool { return v.revision == 7 }), 64)
	is.Equal(f.count(func(v *View) bool { return len(v.updates) > 0 }), 0) // no agent has changed
}

// Guards against sending new work to a draining agent that the instance list shows as
// live for minutes, which costs each caller a refusal. A zone has just failed; the
// update about the drain must not be queued behind those about the zone.
func TestDrainingSpreads(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 100, 200)
	f.rounds(20)
	for i := 102; i < 300; i += 3 {
		f.down[i] = true
	}
	f.rounds(6)
	f.nodes[130].SetDraining()
	f.rounds(12)
	is.Equal(f.count(func(v *View) bool { return v.Eligible("n130") }), 0)
	f.rounds(8)
	for _, v := range f.nodes {
		v.SetInstances(f.list, f.now)
	}
	is.Equal(f.count(func(v *View) bool { return v.Eligible("n130") }), 0)
	stale := 0
	for i := range f.down {
		stale += f.count(func(v *View) bool { return v.Eligible(fmt.Sprint("n", i)) })
	}
	is.True(stale < 66*234*2/100) // after 26 s 98 in 100 know of each dead agent
	// One entry learns of an agent's draining from a refusal. A suspicion by a
	// node that has not learned of it must not make the agent eligible again.
	f.nodes[0].RecordAnswer("n131", 1, true, 0, f.now)
	f.nodes[0].apply(Record{ID: idOf("n131"), Incarnation: 1, State: Suspect}, f.now)
	is.True(!f.nodes[0].Eligible("n131"))
}

// Guards against sending new work to an instance that only the list shows as leaving.
// The entries stop at once; the agent finds itself on the list, drains and informs nodes
// with an older list.
func TestListSaysLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 4)
	leaving := append([]Instance(nil), f.list...)
	leaving[0].Leaving = true
	f.nodes[0].SetInstances(leaving, f.now)
	is.True(!f.nodes[0].Eligible("n2"))
	is.True(f.nodes[1].Eligible("n2"))
	f.nodes[2].SetInstances(leaving, f.now)
	is.True(f.nodes[2].Draining())
	f.nodes[2].SetInstances(f.list, f.now) // an older copy of the list
	is.True(f.nodes[2].Draining())
	f.rounds(6)
	is.True(!f.nodes[1].Eligible("n2"))
}

// Guards against late digests of an agent that was paused, replaced under its name, and
// resumed: entries would use the load and the draining of a process that no longer has
// a target. The old process has to learn that it must stop.
func TestOldIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 60)
	f.rounds(4)
	old, entry := f.nodes[3], f.nodes[0]
	old.SetDraining()
	late := old.Digest(nil, "n0", nil, f.now)
	f.nodes[3] = New(Self{Name: "n3", Zone: "z0", Incarnation: 2, Agent: true}, rand.New(rand.NewPCG(1, 1)))
	f.nodes[3].SetInstances(f.list, f.now)
	f.rounds(30)
	_, err := entry.Merge(late, f.now)
	var stale *StaleError
	is.True(errors.As(err, &stale) && stale.Known == 2 && stale.Got == 1)
	entry.RecordAnswer("n3", 1, true, 0, f.now)
	is.True(entry.Eligible("n3"))
	_, err = old.Merge(entry.Digest(nil, "n3", nil, f.now), f.now)
	is.NoErr(err)
	is.True(old.Superseded() && !f.nodes[3].Superseded())
	// A third node relays a record of the old process.
	relayed := appendRecord(appendHeader(nil, 0), f.nodes[2].own)
	relayed = appendQuota(appendRecord(relayed, Record{ID: idOf("n3"), Incarnation: 1, Sequence: 9, Draining: true, Wait: time.Hour}), nil)
	_, err = entry.Merge(relayed, f.now.Add(time.Second))
	is.NoErr(err)
	m, ok := entry.Lookup("n3")
	is.True(ok && entry.Eligible("n3") && m.Wait < time.Minute)
}

// Guards against sending requests to a crashed instance for longer than its detection
// takes, and against not using one that was only slow.
func TestDeathAndFalseSuspicion(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 22, 42)
	f.rounds(20)
	f.down[30] = true
	for i := range 22 {
		f.nodes[i].RecordFailure("n31", f.now) // slow, not dead
	}
	f.rounds(20)
	is.Equal(f.count(func(v *View) bool { return v.Eligible("n30") }), 0)
	is.Equal(f.count(func(v *View) bool { return v.Eligible("n31") || v.self.Name == "n31" }), 63)
	f.down[30] = false
	f.rounds(30)
	is.Equal(f.count(func(v *View) bool { return v.Eligible("n30") || v.own.ID == idOf("n30") }), 64)
}

// Guards against limits that are granted twice in a partition: each side continues and
// knows how much of the fleet it sees. A node that receives nothing knows that it is
// isolated, so that the balancer can bypass it.
func TestPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 12, 24)
	f.rounds(10)
	is.Equal(f.count(func(v *View) bool { return v.VisibleFraction(f.now) == 1 }), 36)
	f.cut = func(a, b string) bool { return a != b && (a == "z0" || b == "z0") }
	f.nodes[2].SetRevision(3)
	f.rounds(30)
	is.Equal(f.count(func(v *View) bool { return v.Isolated(f.now) }), 0)
	for _, v := range f.nodes {
		part := v.VisibleFraction(f.now)
		is.True(v.self.Zone == "z0" && part < 0.4 || v.self.Zone != "z0" && part > 0.6 && part < 0.7)
	}
	f.cut = func(_, _ string) bool { return false }
	f.rounds(40)
	is.Equal(f.count(func(v *View) bool { return v.VisibleFraction(f.now) == 1 && v.revision == 3 }), 36)
	is.Equal(f.count(func(v *View) bool { return v.Eligible("n15") || v.self.Name == "n15" }), 36)
	f.down[5] = true
	f.rounds(int(IsolatedAfter/time.Second) - 1)
	is.True(!f.nodes[5].Isolated(f.now))
	f.rounds(1)
	is.True(f.nodes[5].Isolated(f.now))
	is.Equal(f.count(func(v *View) bool { return v.Isolated(f.now) }), 0)
}

func TestUnlistedAgentsAreBounded(t *testing.T) {
	is := is.New(t)
	v := New(Self{Name: "e"}, rand.New(rand.NewPCG(1, 1)))
	v.SetInstances(nil, start)
	for i := range 1000 {
		digest := appendRecord(appendHeader(nil, 0), Record{ID: uint64(i + 1), Incarnation: 1})
		_, err := v.Merge(appendQuota(digest, nil), start)
		is.NoErr(err)
	}
	is.Equal(len(v.members), maxUnlisted)
	v.SetInstances(nil, start.Add(unlistedFor))
	is.Equal(len(v.members), 0)
}

func FuzzDecode(f *testing.F) {
	v := New(Self{Name: "a", Incarnation: 5, Agent: true}, rand.New(rand.NewPCG(1, 1)))
	v.SetInstances([]Instance{{Name: "b"}}, start)
	f.Add(v.Digest(nil, "b", []byte("quota"), start))
	f.Add([]byte{version, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Fatal(err)
			}
			return
		}
		again := appendHeader(nil, d.Revision)
		for _, r := range d.Records {
			again = appendRecord(again, r)
		}
		back, err := Decode(appendQuota(again, d.Quota))
		if err != nil || fmt.Sprint(back) != fmt.Sprint(d) {
			t.Fatalf("%v: %+v came back as %+v", err, d, back)
		}
	})
}
