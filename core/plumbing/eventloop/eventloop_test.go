package eventloop_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/eventloop"
)

// Guards against functions that run concurrently: two requests that decide on the same
// state could both take the last free slot.
func TestTasksRunOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := eventloop.New(4)
		go l.Run(t.Context())
		n := 0
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() { is.NoErr(l.Do(t.Context(), func() { n++ })) })
		}
		wg.Wait()
		is.Equal(n, 50)
	})
}

// Guards against a timer that only fires with the next task: the caller of a queued
// request must get its answer when its deadline passes, even if nothing else happens.
func TestAfterRunsAtTheNextTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		at := start.Add(time.Minute)
		var ran []time.Duration
		l := eventloop.New(4)
		l.After(func() {
			ran = append(ran, time.Since(start))
			at = start.Add(time.Hour)
		}, func() (time.Time, bool) { return at, true })
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		time.Sleep(2 * time.Minute)
		cancel()
		synctest.Wait()
		is.Equal(ran[0], time.Minute)
	})
}

func TestDoEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l := eventloop.New(1)
	is.Equal(l.Do(ctx, func() {}), context.Canceled)
}
