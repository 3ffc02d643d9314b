package retry

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// windowed returns budgets with a window of ten seconds.
func windowed() *Budgets {
	return NewBudgets(Limits{Ratio: 0.2, KeyBurst: 4, Window: 10 * time.Second})
}

// Guards against refusing retries of attempts that break at one moment although hardly any
// retry was made before.
func TestMomentMayUseTheWholeWindow(t *testing.T) {
	is := is.New(t)
	key := Key{Workspace: "pool", Hop: "pool"}
	b, bucketed := windowed(), NewBudgets(Limits{Ratio: 0.2, KeyBurst: 4, HopBurst: 4})
	now := time.Unix(1000, 0)
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		b.Request(key, now)
		bucketed.Request(key, now)
	}
	took, tookBucketed := 0, 0
	for range 40 {
		if b.For(key).Take(now) {
			took++
		}
		if bucketed.For(key).Take(now) {
			tookBucketed++
		}
	}
	is.Equal(took, 40)
	is.True(tookBucketed <= 5)
}

// Guards against more retries within a time span than its requests allow, wherever the span
// begins.
func TestNoSpanExceedsTheWindowLimit(t *testing.T) {
	is := is.New(t)
	key := Key{Workspace: "pool", Hop: "pool"}
	b := windowed()
	start := time.Unix(1000, 0)
	const step = 10 * time.Millisecond
	var retries []time.Duration
	for at := time.Duration(0); at < 45*time.Second; at += step {
		now := start.Add(at)
		b.Request(key, now) // 100 a second
		// Alternates between taking all that is allowed and nothing, for seven seconds each.
		for at/(7*time.Second)%2 == 0 && b.For(key).Take(now) {
			retries = append(retries, at)
		}
	}
	most := 0
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at-from <= 10*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("%d retries, at most %d in ten seconds", len(retries), most)
	is.True(most <= 204)
	is.True(len(retries) > 400)
}

// Guards against counting expired steps, or losing late reports, after the process was paused.
func TestCreditsAfterAPause(t *testing.T) {
	is := is.New(t)
	key := Key{Workspace: "pool", Hop: "pool"}
	b := windowed()
	now := time.Unix(1000, 0)
	for range 100 {
		b.Request(key, now)
	}
	left := func(now time.Time) float64 { return math.Round(1e6*b.For(key).Left(now)) / 1e6 }
	is.Equal(left(now), 12.0)
	is.Equal(left(now.Add(time.Minute)), 2.0)
	is.Equal(left(now), 2.0)
	is.True(b.For(key).Take(now))
	is.Equal(left(now), 1.0)
}

// Guards against a retry that is paid for by a request of more than a window ago, or twice.
func TestCreditsAreUsedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCredits(10 * time.Second)
	c.add(1.5, now)
	c.add(1, now.Add(4*time.Second))
	is.Equal(c.take(2, now.Add(5*time.Second)), 2.0)
	is.Equal(c.take(2, now.Add(5*time.Second)), 0.5) // of the second request
	c.add(1, now.Add(5*time.Second))
	is.Equal(c.left(now.Add(14*time.Second)), 1.0)
	is.Equal(c.left(now.Add(15*time.Second)), 0.0)
}
