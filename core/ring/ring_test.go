package ring_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"verbenashift/core/ring"
)

func TestOrderAndBound(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](3)
	for round := range 5 {
		for i := range 3 {
			is.True(r.Push(10*round + i))
		}
		is.True(!r.Push(99)) // full
		for i := range 3 {
			v, ok := r.TryPop()
			is.True(ok)
			is.Equal(v, 10*round+i)
		}
	}
	_, ok := r.TryPop()
	is.True(!ok)
}

// A producer is told that its item was taken in, then the ring is closed for a
// shutdown. An item dropped there would be a request without an answer.
func TestCloseDrains(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](4)
	is.True(r.Push(1))
	is.True(r.Push(2))
	r.Close()
	r.Close()
	is.True(!r.Push(3))
	is.True(errors.Is(r.PushWait(t.Context(), 3), ring.ErrClosed))
	for want := 1; want <= 2; want++ {
		v, err := r.Pop(t.Context())
		is.NoErr(err)
		is.Equal(v, want)
	}
	_, err := r.Pop(t.Context())
	is.True(errors.Is(err, ring.ErrClosed))
}

func TestWaitersEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := ring.New[int](1)
		ctx, cancel := context.WithCancel(t.Context())
		popped := make(chan error)
		go func() { _, err := r.Pop(ctx); popped <- err }()
		synctest.Wait()
		cancel()
		is.True(errors.Is(<-popped, context.Canceled))
		is.True(r.Push(1))
		is.True(errors.Is(r.PushWait(ctx, 2), context.Canceled))
		is.Equal(r.Len(), 1)
	})
}

// Several producers and consumers wait on a ring of one slot. A wake-up that is
// lost leaves one of them waiting for ever; in the bubble that is a deadlock,
// which ends the test.
func TestNoWakeUpIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const producers, items, consumers = 5, 200, 3
		r := ring.New[int](2)
		var producing, consuming sync.WaitGroup
		for range producers {
			producing.Go(func() {
				for i := range items {
					is.NoErr(r.PushWait(t.Context(), i))
				}
			})
		}
		sums := make([]int, consumers)
		for c := range consumers {
			consuming.Go(func() {
				for v, err := r.Pop(t.Context()); err == nil; v, err = r.Pop(t.Context()) {
					sums[c] += v
				}
			})
		}
		producing.Wait()
		r.Close()
		consuming.Wait()
		is.Equal(sums[0]+sums[1]+sums[2], producers*items*(items-1)/2)
	})
}

func TestNoAllocationPerItem(t *testing.T) {
	is := is.New(t)
	r, ctx := ring.New[[64]byte](8), t.Context()
	is.Equal(testing.AllocsPerRun(100, func() {
		_ = r.PushWait(ctx, [64]byte{})
		_, _ = r.Pop(ctx)
	}), 0.0)
}
