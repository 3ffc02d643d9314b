package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(For(t.Context(), time.Second))
		is.Equal(time.Since(start), time.Second)
		is.True(For(t.Context(), 0))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(start), 2*time.Second)
		is.True(!For(ctx, 0))
	})
}

func TestUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(Until(time.Second, func() bool { return time.Since(start) >= 100*time.Millisecond }))
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.True(!Until(time.Second, func() bool { return false }))
	})
}
