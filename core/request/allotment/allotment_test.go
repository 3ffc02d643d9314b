package allotment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenashift/core/request/precedence"
)

// group is a group of engines and the demand at each entry.
type group struct {
	classes, slots, usable int
	entries                []Demand
}

func (g *group) sums() Demand {
	var d Demand
	for _, e := range g.entries {
		d.Add(e)
	}
	d.Usable = g.usable
	return d
}

// input returns what entry i knows.
func (g *group) input(i int, draw float64) Input {
	sums := g.sums()
	return Input{
		Classes: g.classes, Own: g.entries[i], Reported: g.entries[i], Sums: sums, Slots: g.slots,
		Running: sums.Running.Total(), OwnRunning: g.entries[i].Running, Entries: len(g.entries), Part: 1, Draw: draw,
	}
}

// start returns how many requests of each class an entry starts: the first that waits, and one in ten
// of those behind it.
func start(in *Input) Counts {
	a := Of(in)
	var out Counts
	running := in.Own.Running
	for n := 1; ; n++ {
		first, behind := -1, -1
		for c := range in.Classes {
			switch {
			case out[c] >= in.Own.Waiting[c] || a.Room(c, running) == 0:
			case first < 0:
				first = c
			case behind < 0 || out[c] < out[behind]:
				behind = c
			}
		}
		if behind >= 0 && n%10 == 0 {
			first = behind
		}
		if first < 0 {
			return out
		}
		out[first]++
		running[first]++
	}
}

// draws is the number of draws over which the expectation is taken.
const draws = 40

// expected returns how many requests of each class all entries start, in the mean over their draws.
func (g *group) expected() [precedence.MaxClasses]float64 {
	var out [precedence.MaxClasses]float64
	for i := range g.entries {
		for k := range draws {
			in := g.input(i, (float64(k)+0.5)/draws)
			for c, n := range start(&in) {
				out[c] += float64(n) / draws
			}
		}
	}
	return out
}

func randomGroup(t *rapid.T) *group {
	g := &group{classes: rapid.IntRange(1, precedence.MaxClasses).Draw(t, "classes")}
	counts := func(name string, most int) (out Counts) {
		for c := range g.classes {
			if rapid.Bool().Draw(t, name+" some") {
				out[c] = rapid.IntRange(0, most).Draw(t, name)
			}
		}
		return out
	}
	for range rapid.IntRange(1, 30).Draw(t, "entries") {
		g.entries = append(g.entries, Demand{Waiting: counts("waiting", 40), Running: counts("running", 20)})
	}
	// Most groups are nearly full.
	running := g.sums()
	g.slots = max(running.Running.Total()+rapid.IntRange(-40, 60).Draw(t, "free"), 1)
	g.usable = rapid.IntRange(1, g.slots).Draw(t, "usable")
	return g
}

// Guards against entries that start more requests together than there are free slots.
func TestNeverMoreThanTheFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := randomGroup(t)
		got := g.expected()
		total, idle := 0.0, 0
		for _, n := range got {
			total += n
		}
		for _, e := range g.entries {
			if e.Running.Total() == 0 {
				idle++ // Each may have one.
			}
		}
		sums := g.sums()
		rounding := float64(len(g.entries)) / draws
		if free := max(g.slots-sums.Running.Total(), 0); total > float64(free+idle)+rounding {
			t.Fatalf("%.1f started of %d free slots, %d entries had none", total, free, idle)
		}
	})
}

// Guards against a request that gets a slot although one of a class before it waits at any entry, and
// against a flood that takes the floor of the classes behind.
func TestClassesInTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := randomGroup(t)
		g.usable = g.slots
		got, sums := g.expected(), g.sums()
		free := float64(max(g.slots-sums.Running.Total(), 0))
		first, others := -1, 0.0
		for c := range g.classes {
			switch {
			case sums.Waiting[c]+sums.Running[c] == 0:
			case first < 0:
				first = c
			default:
				others++
			}
		}
		for c := range g.classes {
			slots, part := (1-precedence.FloorShare)*float64(g.slots), maxFreeShare
			if c != first {
				slots, part = precedence.FloorShare*float64(g.slots)/others, precedence.FloorShare/others
			}
			// Parts are rounded at each entry.
			least := min(float64(sums.Waiting[c]), part*free, slots-float64(sums.Running[c])) - float64(len(g.entries))
			if sums.Waiting[c] > 0 && got[c] < least {
				t.Fatalf("class %d: %.1f started, at least %.1f expected", c, got[c], least)
			}
		}
	})
}

// Guards against entries of which one has all the room although the same waits at each.
func TestPartsFollowWhatWaits(t *testing.T) {
	is := is.New(t)
	g := &group{classes: 3, slots: 400, usable: 400}
	for i := range 16 {
		g.entries = append(g.entries, Demand{Waiting: Counts{0, 0, 10 + 20*(i%2)}, Running: Counts{5, 0, 15}})
	}
	for i := range g.entries {
		in := g.input(i, 0.5)
		n := start(&in)[2]
		is.True(n >= 2+4*(i%2) && n <= 3+5*(i%2)) // 80 slots for 320, of which 10 or 30 wait here
	}
}

func TestAllotments(t *testing.T) {
	patient := Demand{Waiting: Counts{0, 40}, Running: Counts{0, 50}}
	urgent := Demand{Waiting: Counts{10, 0}, Running: Counts{0, 0}}
	for name, tt := range map[string]struct {
		g         group
		entry     int
		change    func(in *Input)
		want      Counts
		contended bool
	}{
		"room for all":                         {group{2, 200, 200, []Demand{patient, urgent}}, 0, nil, Counts{0, 40}, false},
		"urgent requests wait elsewhere":       {group{2, 60, 60, []Demand{patient, urgent}}, 0, nil, Counts{}, true},
		"at the entry of the urgent":           {group{2, 60, 60, []Demand{patient, urgent}}, 1, nil, Counts{10, 0}, true},
		"no slot is free":                      {group{2, 50, 50, []Demand{patient, urgent}}, 0, nil, Counts{}, true},
		"no slot is free, the entry has none":  {group{2, 50, 50, []Demand{patient, urgent}}, 1, nil, Counts{1, 0}, true},
		"fewer than the slots should be taken": {group{2, 90, 60, []Demand{patient, urgent}}, 0, nil, Counts{}, true},
		"the same for the urgent":              {group{2, 90, 60, []Demand{patient, urgent}}, 1, nil, Counts{10, 0}, true},
		"others do not report":                 {group{2, 90, 90, []Demand{patient, urgent}}, 0, func(in *Input) { in.Running += 35 }, Counts{0, 0}, true},
		"a flood of the first class":           {group{2, 100, 100, []Demand{{Waiting: Counts{90}, Running: Counts{60}}, {Waiting: Counts{0, 40}, Running: Counts{0, 2}}}}, 1, nil, Counts{0, 8}, true},
		"half of what waits is for this group": {group{2, 200, 200, []Demand{patient, urgent}}, 0, func(in *Input) { in.Part = 0.5 }, Counts{0, 40}, false},
		"sums without the own requests":        {group{2, 60, 60, []Demand{patient}}, 0, func(in *Input) { in.Sums = Demand{} }, Counts{}, true},
		"started since the load was taken":     {group{2, 60, 60, []Demand{patient}}, 0, func(in *Input) { in.Own.Running[1], in.Own.Waiting[1] = 56, 34 }, Counts{0, 4}, true},
		"no class":                             {group{0, 60, 60, []Demand{patient}}, 0, nil, Counts{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := tt.g.input(tt.entry, 0.5)
			if tt.change != nil {
				tt.change(&in)
			}
			is.Equal(Of(&in).Contended, tt.contended)
			is.Equal(start(&in), tt.want)
		})
	}
}

// Guards against a report of a class that nobody has configured, and against one that makes sums
// overflow or fall.
func TestSumsOfReports(t *testing.T) {
	is := is.New(t)
	var sums Demand
	sums.Add(Demand{Waiting: Counts{1, 2, 3, 4}, Running: Counts{-5, 1 << 62, 7}})
	sums.Add(Demand{Running: Counts{4, 1 << 62}})
	is.Equal(sums, Demand{Waiting: Counts{1, 2, 3, 4}, Running: Counts{4, 2 * maxCount, 7}})
	got, unknown := sums.Fold(2)
	is.Equal(got, Demand{Waiting: Counts{1, 9}, Running: Counts{4, 2*maxCount + 7}})
	is.True(unknown)
	for _, n := range []int{4, precedence.MaxClasses, 99} {
		got, unknown = sums.Fold(n)
		is.Equal(got, sums)
		is.True(!unknown)
	}
	got, _ = sums.Fold(-1)
	is.Equal(got.Waiting, Counts{10})
}

// Guards against sums that are used although they cannot be right, and against mistrust of those that
// are.
func TestTrust(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	full := Input{Slots: 100, Running: 97, Sums: Demand{Running: Counts{97}}}
	idle := Input{Slots: 100, Running: 60, Sums: Demand{Running: Counts{60}, Usable: 120}}
	limited := Input{Slots: 100, Running: 60, Sums: Demand{Running: Counts{60}, Usable: 62}}
	many := Input{Slots: 100, Running: 97, Sums: Demand{Running: Counts{0, 250}}}
	const every = 200 * time.Millisecond
	for name, tt := range map[string]struct {
		in        *Input
		contended bool
		kept      int
		age       time.Duration
		reports   int
		want      Reason
	}{
		"full":                        {&full, true, 0, every, 50, ""},
		"idle, nothing waits":         {&idle, false, 0, every, 50, ""},
		"idle for a moment":           {&idle, true, 0, every, 4, ""},
		"idle":                        {&idle, true, 0, every, 6, ReasonIdle},
		"idle by reports of long ago": {&idle, true, 0, time.Second, 8, ""},
		"kept free":                   {&idle, true, 36, every, 50, ""},
		"no more should run":          {&limited, true, 0, every, 50, ""},
		"more than the group runs":    {&many, false, 0, every, 1, ReasonRunning},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var trust Trust
			at := now
			for range tt.reports {
				trust.Observe(tt.in, &Allotment{Contended: tt.contended, Kept: tt.kept}, tt.age, at)
				at = at.Add(every)
			}
			is.Equal(trust.Distrusted(at), tt.want)
			is.Equal(trust.Distrusted(at.Add(distrustTime)), Reason(""))
		})
	}
	var trust Trust
	trust.Observe(&idle, &Allotment{Contended: true}, every, now)
	trust.Observe(&full, &Allotment{Contended: true}, every, now.Add(every))
	trust.Observe(&idle, &Allotment{Contended: true}, every, now.Add(time.Second))
	is.Equal(trust.Distrusted(now.Add(time.Second)), Reason("")) // not at a stretch
	trust.Observe(&idle, &Allotment{Contended: true}, every, now.Add(5*time.Second))
	is.Equal(trust.Distrusted(now.Add(5*time.Second)), Reason("")) // not known of the time between
}

// BenchmarkOf measures a decision with the reports of 390 entries in four classes.
func BenchmarkOf(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	g := &group{classes: 4, slots: 5400, usable: 5000}
	for range 390 {
		var d Demand
		for c := range g.classes {
			d.Waiting[c], d.Running[c] = rng.IntN(8), rng.IntN(5)
		}
		g.entries = append(g.entries, d)
	}
	b.Run("sums", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = g.sums()
		}
	})
	in := g.input(7, 0.5)
	b.Run("decision", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a := Of(&in)
			_ = a.Room(3, in.Own.Running)
		}
	})
}

func ExampleOf() {
	own := Demand{Waiting: Counts{3}}
	in := Input{Classes: 2, Own: own, Reported: own, Sums: Demand{Waiting: Counts{3, 40}, Running: Counts{10, 80}}, Slots: 96, Running: 90, Part: 1}
	a := Of(&in)
	fmt.Println(a.Limit, a.Room(0, own.Running), a.Contended)
	// Output: 3 3 true
}
