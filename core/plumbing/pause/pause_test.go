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
		began := time.Now()
		is.True(For(t.Context(), time.Second))
		is.Equal(time.Since(began), time.Second)
		is.True(For(t.Context(), 0))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(began), 2*time.Second)
		is.True(!For(ctx, 0))
	})
}

func TestUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		is.True(Until(time.Second, func() bool { return time.Since(began) >= 100*time.Millisecond }))
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.True(!Until(time.Second, func() bool { return false }))
	})
}
