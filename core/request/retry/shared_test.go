package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const burstWindow = 10 * time.Second

// drain makes all retries that a service has now, and returns how many these were.
func drain(s *SharedBudgets, now time.Time) (n int) {
	for s.For(ServiceKey("pool")).Take(now) {
		n++
	}
	return n
}

func TestBurstShares(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		total            float64
		targets, senders int
		// age is how long ago the process started; 0 for the first start of all.
		age  time.Duration
		want float64
	}{
		"few, and not known":        {90, 19, 0, 0, 90.0 / 64 / 2},
		"many, and not known":       {264, 197, 0, 0, 264.0 / 197 / 2},
		"whole fleet, not known":    {1040, 788, 0, 0, 1040.0 / 788 / 2},
		"few":                       {90, 19, 2, 0, 22.5},
		"few, just restarted":       {90, 19, 2, time.Nanosecond, 0},
		"few, restarted a while":    {90, 19, 2, 4 * time.Second, 9},
		"few, a window ago":         {90, 19, 2, 10 * time.Second, 22.5},
		"a dozen":                   {116, 75, 12, 0, 116.0 / 24},
		"many":                      {264, 197, 53, time.Minute, 264.0 / 106},
		"more senders than retries": {90, 19, 390, 0, 90.0 / 780},
		"none allowed":              {0, 19, 2, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var startedAt time.Time
			if tt.age > 0 {
				startedAt = now.Add(-tt.age)
			}
			s := NewSharedBudgets(Allowance{Ratio: 0.2, Burst: tt.total, Window: burstWindow}, startedAt)
			s.ReportTargets(tt.targets)
			s.ReportSenders(tt.senders, now)
			got := s.For(ServiceKey("pool")).Left(now)
			is.True(got > tt.want-1e-6 && got < tt.want+1e-6)
		})
	}
}

// Guards against requests that are lost with a group of targets because the retries are divided
// among more senders than there are.
func TestFewSendersCanRetryAllTheyLose(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewSharedBudgets(Allowance{Ratio: 0.2, Burst: 90, Window: burstWindow}, time.Time{})
	s.ReportSenders(2, now)
	is.True(drain(s, now) >= 12)
}

// Guards against more retries than all senders may make together, when each spends its part,
// restarts and spends another one, several times within a window.
func TestRestartedSendersStayWithinTheBurst(t *testing.T) {
	is := is.New(t)
	for _, burst := range []float64{1, 90, 116, 264, 1040} {
		for senders := 1; senders <= 1000; senders += 1 + senders/8 {
			for lives := 1; lives <= 6; lives++ {
				now, made := time.Unix(1000, 0), 0
				startedAt := time.Time{}
				for range lives {
					s := NewSharedBudgets(Allowance{Burst: burst, Window: burstWindow}, startedAt)
					s.ReportSenders(senders, now)
					made += drain(s, now)
					now = now.Add(burstWindow / time.Duration(lives))
					made += drain(s, now)
					startedAt = now
				}
				is.True(float64(senders*made) <= burst)
			}
		}
	}
}

// Guards against retries that are paid for by what the callers of a lost process had sent to it.
func TestRequestsOfEndedProcessesPayForNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewSharedBudgets(Allowance{Ratio: 0.2, Burst: 0, Window: burstWindow}, now)
	is.Equal(drain(s, now), 0)
	for range 1000 {
		s.Request(ServiceKey("pool"), now)
	}
	paid := drain(s, now.Add(burstWindow/2))
	is.True(paid >= 94 && paid <= 95) // half of the ratio, less what arrives late
	is.Equal(drain(s, now.Add(burstWindow)), 0)
}

// Guards against requests that are lost with one of three groups although the others are sound.
func TestLossOfAGroupIsRetried(t *testing.T) {
	for _, d := range deployments {
		m := newModel(d, 1, 14*time.Second, []disruption{{"lose", 12 * time.Second, 12 * time.Second, 1. / 3}})
		m.run()
		t.Logf("%d senders: %d of %d retried", d.senders, m.made, m.wanted)
		if m.made < m.wanted {
			t.Errorf("%d senders: %d of %d retried", d.senders, m.made, m.wanted)
		}
	}
}
