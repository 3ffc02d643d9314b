package headroom

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	cost  = Cost{Base: 35 * time.Millisecond, PerRequest: 2800 * time.Microsecond, Reading: 15 * time.Millisecond, Ranks: 63}
)

const (
	slots      = 630
	pause      = 120 * time.Millisecond
	streamTime = 1900 * time.Millisecond
)

func ExampleLimit() {
	limit := Limit{Cost: cost}
	now := start
	// Each third second another mix of requests makes a pass take twice as long.
	for i := range 12 {
		now = now.Add(time.Second)
		limit.Observe(78*time.Millisecond, 630, now)
		if i%3 == 0 {
			limit.Observe(141*time.Millisecond, 630, now)
		}
	}
	fmt.Println(limit.Slots(Load{Slots: 630, Demand: 630, Pause: 120 * time.Millisecond, StreamTime: 1900 * time.Millisecond}, now))
	// Output: 326
}

func ExampleMeter() {
	var meter Meter
	now := start
	for _, pass := range []time.Duration{80, 90, 150} {
		now = now.Add(pass * time.Millisecond)
		// Each of three streams gets an event of the pass, one of them after a detour.
		for _, late := range []time.Duration{0, 0, 9} {
			if took, ok := meter.Observe((pass+late)*time.Millisecond, now.Add(late*time.Millisecond)); ok {
				fmt.Println(took)
			}
		}
	}
	// Output:
	// 80ms
	// 90ms
}

// observe records a pass in each second, with the given stretch, and returns the time after them.
func observe(l *Limit, stretches ...float64) time.Time {
	now := start
	for _, s := range stretches {
		l.Observe(cost.pass(slots, s), slots, now)
		now = now.Add(time.Second)
	}
	return now
}

func repeat(n int, stretches ...float64) []float64 {
	var out []float64
	for range n {
		out = append(out, stretches...)
	}
	return out
}

func TestSlots(t *testing.T) {
	for _, tt := range []struct {
		name      string
		cost      Cost
		pause     time.Duration
		stretches []float64
		want      int
	}{
		{"nothing observed", cost, pause, nil, slots},
		{"even passes", cost, pause, repeat(10, 1), slots},
		{"long passes often", cost, pause, repeat(10, 1, 1, 2), 326},
		{"long passes seldom", cost, pause, append(repeat(29, 1), 2), slots},
		{"cannot be borne", cost, pause, repeat(10, 1, 1, 5), slots},
		{"no accepted pause", cost, 0, repeat(10, 1, 1, 2), slots},
		{"cost unknown", Cost{}, pause, repeat(10, 1, 1, 2), slots},
		{"ranks unknown", Cost{Base: cost.Base, PerRequest: cost.PerRequest}, pause, repeat(10, 2), slots},
		{"reading longer than the pause", Cost{Base: cost.Base, PerRequest: cost.PerRequest, Reading: time.Minute, Ranks: 63}, pause, repeat(10, 2), slots},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := Limit{Cost: tt.cost}
			now := observe(&l, tt.stretches...)
			is.New(t).Equal(l.Slots(Load{slots, slots, tt.pause, streamTime}, now.Add(-time.Millisecond)), tt.want)
		})
	}
}

// Guards against a limit that outlives what it was learned from.
func TestForgets(t *testing.T) {
	is := is.New(t)
	l := Limit{Cost: cost}
	now := observe(&l, repeat(10, 1, 1, 2)...)
	is.True(l.Slots(Load{slots, slots, pause, streamTime}, now) < slots)
	is.Equal(l.Slots(Load{slots, slots, pause, streamTime}, now.Add(buckets*time.Second)), slots)
	// A second before what is known, as after a step of a clock without a monotonic reading.
	is.True(l.Slots(Load{slots, slots, pause, streamTime}, start.Add(-time.Hour)) <= slots)
	l.Observe(pause, slots, start.Add(-time.Hour))
}

// Guards against taking the pause of one stream, or of a resumed one, for a pass.
func TestMeterNeedsStreamsThatAgree(t *testing.T) {
	is := is.New(t)
	var m Meter
	now := start
	_, ok := m.Observe(80*time.Millisecond, now)
	is.True(!ok)
	now = now.Add(80 * time.Millisecond)
	_, ok = m.Observe(80*time.Millisecond, now) // the previous pass had one event
	is.True(!ok)
	for range 3 * maxSamples {
		m.Observe(80*time.Millisecond, now)
	}
	is.Equal(len(m.samples), maxSamples)
	m.Observe(3*time.Second, now)
	pass, ok := m.Observe(80*time.Millisecond, now.Add(80*time.Millisecond))
	is.True(ok)
	is.Equal(pass, 80*time.Millisecond)
}
