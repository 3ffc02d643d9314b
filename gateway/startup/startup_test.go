package startup

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// reason returns the reason of a refusal, or "".
func reason(err error) string {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// waiter starts a request and returns the channel of its outcome.
func waiter(ctx context.Context, g *Gate, timeout time.Duration) chan error {
	out := make(chan error, 1)
	go func() { out <- g.Wait(ctx, timeout) }()
	synctest.Wait()
	return out
}

// Guards against refusing callers that could be served some milliseconds later.
func TestRequestsAreHeldUntilOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		first, second := waiter(t.Context(), g, 7*time.Second), waiter(t.Context(), g, 0)
		is.Equal(g.Held(), 2)
		time.Sleep(50 * time.Millisecond)
		is.Equal(len(first)+len(second), 0)
		g.Open()
		is.Equal(<-first, nil)
		is.Equal(<-second, nil)
		is.Equal(g.Wait(t.Context(), time.Second), nil)
		is.Equal(g.Held(), 0)
	})
}

// Guards against holding callers while the configuration is unreachable.
func TestLostConfigurationRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		held := waiter(t.Context(), g, 7*time.Second)
		g.Unreachable()
		g.Unreachable()
		is.Equal(reason(<-held), ReasonUnreachable)
		began := time.Now()
		is.Equal(reason(g.Wait(t.Context(), 7*time.Second)), ReasonUnreachable)
		is.Equal(time.Since(began), time.Duration(0))
		g.Open()
		is.Equal(g.Wait(t.Context(), 7*time.Second), nil)
	})
}

// Guards against holding a caller until it abandons the process.
func TestHoldIsBoundedInTime(t *testing.T) {
	for name, c := range map[string]struct{ timeout, want time.Duration }{
		"long timeout":  {7 * time.Second, maxHoldTime},
		"short timeout": {600 * time.Millisecond, 200 * time.Millisecond},
		"unknown":       {0, maxHoldTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				is.Equal(reason(New().Wait(t.Context(), c.timeout)), ReasonTimeout)
				is.Equal(time.Since(began), c.want)
			})
		})
	}
}

// Guards against unbounded memory for the callers of a process that cannot serve yet.
func TestHoldIsBoundedInNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		for range maxHeld {
			waiter(t.Context(), g, 7*time.Second)
		}
		is.Equal(reason(g.Wait(t.Context(), 7*time.Second)), ReasonFull)
		g.Open()
		synctest.Wait()
		is.Equal(g.Held(), 0)
	})
}

// Guards against counting disconnected callers as held.
func TestCallerThatLeavesIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		ctx, cancel := context.WithCancel(t.Context())
		held := waiter(ctx, g, 7*time.Second)
		cancel()
		is.Equal(<-held, context.Canceled)
		synctest.Wait()
		is.Equal(g.Held(), 0)
	})
}
