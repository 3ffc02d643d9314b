package ring_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/ring"
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

// Guards against a close that drops an item after Push has accepted it: at a
// shutdown that would be a request without an answer.
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

// pausedContext is a context that stops a goroutine between its check of the ring and
// its wait, since it calls Done in between.
type pausedContext struct {
	context.Context
	entered chan struct{}
	release chan struct{}
}

func newPausedContext(ctx context.Context) pausedContext {
	return pausedContext{ctx, make(chan struct{}, 8), make(chan struct{})}
}

func (w pausedContext) Done() <-chan struct{} {
	w.entered <- struct{}{}
	<-w.release
	return w.Context.Done()
}

// Guards against a lost wake-up. Two consumers have found the ring empty and are about
// to wait when two items arrive at once. The second wake-up finds the first one's token
// still there: unless the first consumer passes it on, an item stays in the ring with a
// consumer waiting, which is a deadlock in the synctest bubble. Closing the ring after
// the items must not hide them either.
func TestEachWaitingConsumerGetsAnItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for round := range 40 { // select chooses randomly between items and done
			r, w := ring.New[int](2), newPausedContext(t.Context())
			got := make(chan int, 2)
			for range 2 {
				go func() {
					v, _ := r.Pop(w)
					got <- v
				}()
			}
			<-w.entered
			<-w.entered
			is.True(r.Push(1) && r.Push(2))
			if round%2 == 0 {
				r.Close()
			}
			close(w.release)
			is.Equal(<-got+<-got, 3)
		}
	})
}

// Guards against the same lost wake-up for producers: two have found the ring full and
// are about to wait when two slots become free at once.
func TestEachWaitingProducerGetsASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := ring.New[int](2), newPausedContext(t.Context())
		is.True(r.Push(1) && r.Push(2))
		pushed := make(chan error, 2)
		for range 2 {
			go func() { pushed <- r.PushWait(w, 3) }()
		}
		<-w.entered
		<-w.entered
		_, _ = r.TryPop()
		_, _ = r.TryPop()
		close(w.release)
		is.NoErr(<-pushed)
		is.NoErr(<-pushed)
		is.Equal(r.Len(), 2)
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
