package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const burstWindow = 10 * time.Second

func TestBurstShares(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		total   float64
		senders int
		age     time.Duration
		want    float64
	}{
		"few, and not known":        {90, AssumedSenders(19), time.Minute, 1},
		"many, and not known":       {264, AssumedSenders(197), time.Minute, 4},
		"whole fleet, not known":    {1040, AssumedSenders(788), time.Minute, 3},
		"few":                       {90, 2, time.Minute, 22},
		"few, just restarted":       {90, 2, time.Second, 3},
		"a dozen":                   {116, 12, time.Minute, 4},
		"many":                      {264, 53, time.Minute, 4},
		"many, just restarted":      {264, 53, time.Second, 4},
		"more senders than retries": {90, 390, time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := Burst{Total: tt.total, Window: burstWindow, StartedAt: now.Add(-tt.age)}
			is.Equal(b.Share(tt.senders, now), tt.want)
		})
	}
}

// Guards against requests that are lost with a group of targets because the retries are divided
// among more senders than there are.
func TestFewSendersCanRetryAllTheyLose(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := Burst{Total: 90, Window: burstWindow}
	budgets := NewBudgets(Limits{Ratio: 0.17, KeyBurst: b.Share(2, now), Window: burstWindow})
	g := budgets.For(Key{"pool", "pool"})
	for range 12 {
		is.True(g.Take(now))
	}
}

// Guards against more retries than all senders may make together, when each spends its share,
// restarts and spends another one.
func TestRestartedSendersStayWithinTheBurst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for senders := 1; senders <= minSenders/lives; senders++ {
		before := Burst{Total: 90, Window: burstWindow}
		after := Burst{Total: 90, Window: burstWindow, StartedAt: now}
		is.True(float64(senders)*(before.Share(senders, now)+after.Share(senders, now)) <= 90)
	}
}
